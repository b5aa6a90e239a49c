#include <Harness/KeptConnections.h>

#include <LibHttp/ResponseReader.h>
#include <LibKernel/Socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <string>
#include <utility>

namespace chive {

namespace {

constexpr std::size_t maximumBodySize = 64 * 1024 * 1024;
/// A request that crossed the server's close is answered by a reset within this time.
constexpr Milliseconds resetLimit{50};

std::string wireFormat(const HttpRequest &request)
{
    std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\nHost: test\r\n";
    for (const auto &[name, value] : request.headers)
        bytes += name + ": " + value + "\r\n";
    const std::string_view body = bytesOf(request.body);
    if (!body.empty() || request.method == "POST")
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return bytes + "\r\n" + std::string(body);
}

} // namespace

class KeptConnections::Connection
{
public:
    Connection(KeptConnections &owner, int socket)
        : owner_(owner)
        , handle_(bufferevent_socket_new(owner.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE))
    {
        const auto onReadable = [](bufferevent *, void *argument) {
            static_cast<Connection *>(argument)->handleReadable();
        };
        const auto onEvent = [](bufferevent *, short what, void *argument) {
            static_cast<Connection *>(argument)->handleEvent(what);
        };
        bufferevent_setcb(handle_, onReadable, nullptr, onEvent, this);
        bufferevent_enable(handle_, EV_READ | EV_WRITE);
    }
    ~Connection() { bufferevent_free(handle_); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    [[nodiscard]] bool isBusy() const { return reader_ != nullptr; }

    /// Whether the server has not closed it, seen before or in this moment.
    [[nodiscard]] bool isOpen() const
    {
        char byte = 0;
        const ssize_t size = recv(bufferevent_getfd(handle_), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return !isClosed_ && size < 0 && errno == EAGAIN;
    }

    void send(const HttpRequest &request, Callback callback)
    {
        reader_ = std::make_unique<ResponseReader>(request.method, maximumBodySize);
        callback_ = std::move(callback);
        begin_ = SystemClock().now();
        const std::string bytes = wireFormat(request);
        bufferevent_write(handle_, bytes.data(), bytes.size());
    }

    void pauseReading() { bufferevent_disable(handle_, EV_READ); }
    void resumeReading() { bufferevent_enable(handle_, EV_READ); }

private:
    void handleReadable()
    {
        evbuffer *input = bufferevent_get_input(handle_);
        while (reader_ != nullptr) {
            const std::size_t size = evbuffer_get_contiguous_space(input);
            if (size == 0)
                return;
            const auto *bytes = reinterpret_cast<const char *>(
                    evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
            evbuffer_drain(input, reader_->feed({bytes, size}));
            if (reader_->state() == ResponseReader::State::Complete) {
                isClosed_ = isClosed_ || !reader_->keepsConnection();
                KeptResult result;
                result.call.isWhole = true;
                result.call.response = reader_->take();
                result.wasRead = true;
                finish(std::move(result));
            } else if (reader_->state() == ResponseReader::State::Malformed) {
                isClosed_ = true;
                fail("the server sent bytes that are no response", true);
            }
        }
    }

    void handleEvent(short what)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
        isClosed_ = true;
        if (!isBusy()) {
            owner_.release(*this);
            return;
        }
        if (reader_->state() != ResponseReader::State::Empty) {
            fail("the connection was closed within the response", true);
        } else if ((what & BEV_EVENT_ERROR) != 0) {
            fail("the connection was reset", false);
        } else {
            resetTimer_ = owner_.loop_.after(resetLimit, [this] {
                int error = 0;
                socklen_t size = sizeof error;
                getsockopt(bufferevent_getfd(handle_), SOL_SOCKET, SO_ERROR, &error, &size);
                fail("the connection was closed without a response", error == 0);
            });
        }
    }

    void fail(std::string message, bool wasRead)
    {
        KeptResult result;
        result.wasRead = wasRead;
        result.call.failure = {HttpFailure::Stage::Sent, std::move(message)};
        finish(std::move(result));
    }

    void finish(KeptResult result)
    {
        result.call.took = std::chrono::duration_cast<Milliseconds>(SystemClock().now() - begin_);
        reader_.reset();
        const Callback callback = std::exchange(callback_, nullptr);
        if (isClosed_)
            owner_.release(*this);
        callback(std::move(result));
    }

    KeptConnections &owner_;
    bufferevent *handle_;
    bool isClosed_ = false;
    TimePoint begin_;
    std::unique_ptr<ResponseReader> reader_; ///< Set while a request is out.
    Callback callback_;
    Timer resetTimer_;
};

KeptConnections::KeptConnections(EventLoop &loop, Endpoint server)
    : loop_(loop)
    , server_(std::move(server))
{}

KeptConnections::~KeptConnections() = default;

std::size_t KeptConnections::open(std::size_t count)
{
    const sockaddr_in address = addressOf(server_);
    for (std::size_t i = 0; i < count; ++i) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receiveBuffer_ > 0)
            setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer_, sizeof receiveBuffer_);
        if (connectLimit_ > Milliseconds(0)) {
            const timeval limit{connectLimit_.count() / 1000, 0};
            setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        }
        if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            close(socket);
            return i;
        }
        evutil_make_socket_nonblocking(socket);
        disableNagle(socket);
        connections_.push_back(std::make_unique<Connection>(*this, socket));
    }
    return count;
}

bool KeptConnections::send(const HttpRequest &request, Callback callback)
{
    const auto found = std::ranges::find_if(connections_, [](const auto &connection) {
        return !connection->isBusy() && connection->isOpen();
    });
    if (found == connections_.end())
        return false;
    Connection &connection = **found;
    // The connection that has been idle longest goes first.
    std::rotate(found, found + 1, connections_.end());
    connection.send(request, std::move(callback));
    return true;
}

void KeptConnections::pauseReading()
{
    for (const auto &connection : connections_)
        connection->pauseReading();
}

void KeptConnections::resumeReading()
{
    for (const auto &connection : connections_)
        connection->resumeReading();
}

std::size_t KeptConnections::idle() const
{
    return std::ranges::count_if(connections_, [](const auto &connection) {
        return !connection->isBusy() && connection->isOpen();
    });
}

std::size_t KeptConnections::inFlight() const
{
    return std::ranges::count_if(connections_,
                                 [](const auto &connection) { return connection->isBusy(); });
}

void KeptConnections::release(const Connection &connection)
{
    const auto found = std::ranges::find_if(
            connections_, [&](const auto &one) { return one.get() == &connection; });
    if (found == connections_.end())
        return;
    // The caller may stand inside this connection's callbacks.
    released_.push_back(std::move(*found));
    connections_.erase(found);
    loop_.post([this, isAlive = std::weak_ptr<bool>(isAlive_)] {
        if (!isAlive.expired())
            released_.clear();
    });
}

} // namespace chive
