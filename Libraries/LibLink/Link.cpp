#include <LibLink/Link.h>

#include <LibKernel/DescriptorShare.h>
#include <LibKernel/EventLoop.h>
#include <LibKernel/Socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace chive {

namespace {

/// A connection that is not open by then counts as failed.
constexpr timeval connectTimeout{2, 0};

} // namespace

Link::Link(EventLoop &loop, bufferevent *buffer, WebSocketRole role, std::size_t maximumMessageSize,
           Events events)
    : loop_(loop)
    , buffer_(buffer)
    , writer_(loop.base(), buffer, {})
    , events_(std::move(events))
{
    WebSocketSession::Events session;
    session.writeBytes = [this](std::string_view bytes) {
        bytesSent_ += bytes.size();
        bufferevent_write(buffer_, bytes.data(), bytes.size());
        writer_.writeSoon();
    };
    session.opened = [this] {
        state_ = State::Open;
        hasOpened_ = true;
        bufferevent_set_timeouts(buffer_, nullptr, nullptr);
        events_.opened();
    };
    session.received = [this](std::string_view message) {
        if (state_ == State::Open)
            events_.received(message);
    };
    session.failed = [this] { close(); };
    session_ = std::make_unique<WebSocketSession>(role, maximumMessageSize, std::move(session));

    const auto onReadable = [](bufferevent *, void *argument) {
        static_cast<Link *>(argument)->handleReadable();
    };
    const auto onEvent = [](bufferevent *, short what, void *argument) {
        static_cast<Link *>(argument)->handleSocketEvent(what);
    };
    const auto onDrained = [](bufferevent *, void *argument) {
        static_cast<Link *>(argument)->writer_.handleDrained();
    };
    bufferevent_setcb(buffer_, onReadable, onDrained, onEvent, this);
}

Link::~Link()
{
    *alive_ = false;
    bufferevent_free(buffer_);
}

std::unique_ptr<Link> Link::connect(EventLoop &loop, const Endpoint &peer,
                                    std::size_t maximumMessageSize, Events events)
{
    bufferevent *buffer = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    std::unique_ptr<Link> link(
            new Link(loop, buffer, WebSocketRole::Client, maximumMessageSize, std::move(events)));
    bufferevent_set_timeouts(buffer, &connectTimeout, &connectTimeout);
    bufferevent_disable(buffer, EV_WRITE);
    bufferevent_enable(buffer, EV_READ);
    const sockaddr_in address = addressOf(peer);
    const int failed = bufferevent_socket_connect(
            buffer, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (failed != 0) {
        link->lackedDescriptor_
                = isWantOfDescriptors(std::error_code(errno, std::generic_category()));
        link->close();
    }
    return link;
}

std::unique_ptr<Link> Link::accept(EventLoop &loop, int socket, std::size_t maximumMessageSize,
                                   Events events)
{
    evutil_make_socket_nonblocking(socket);
    disableNagle(socket);
    failWhenSilent(socket);
    bufferevent *buffer = bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    std::unique_ptr<Link> link(
            new Link(loop, buffer, WebSocketRole::Server, maximumMessageSize, std::move(events)));
    bufferevent_set_timeouts(buffer, &connectTimeout, nullptr);
    bufferevent_disable(buffer, EV_WRITE);
    bufferevent_enable(buffer, EV_READ);
    link->writer_.start();
    link->session_->start();
    return link;
}

void Link::handleReadable()
{
    evbuffer *input = bufferevent_get_input(buffer_);
    while (state_ != State::Closed) {
        const std::size_t size = evbuffer_get_contiguous_space(input);
        if (size == 0)
            return;
        const auto *bytes = reinterpret_cast<const char *>(
                evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        bytesReceived_ += size;
        session_->feed({bytes, size});
        evbuffer_drain(input, size);
    }
}

void Link::handleSocketEvent(short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        disableNagle(bufferevent_getfd(buffer_));
        failWhenSilent(bufferevent_getfd(buffer_));
        writer_.start();
        session_->start();
        return;
    }
    close();
}

void Link::close()
{
    if (state_ == State::Closed)
        return;
    state_ = State::Closed;
    writer_.stop();
    bufferevent_disable(buffer_, EV_READ | EV_WRITE);
    // The owner destroys the link in its callback, which must not happen inside the session's.
    loop_.post([this, alive = alive_] {
        if (*alive)
            std::exchange(events_.closed, nullptr)();
    });
}

bool Link::send(std::string_view message)
{
    return isOpen() && session_->send(message);
}

std::size_t Link::backlog() const
{
    return evbuffer_get_length(bufferevent_get_output(buffer_));
}

} // namespace chive
