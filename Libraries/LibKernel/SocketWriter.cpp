#include <LibKernel/SocketWriter.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <utility>

namespace chive {

SocketWriter::SocketWriter(event_base *base, bufferevent *buffer, std::function<void()> onSent)
    : buffer_(buffer)
    , onSent_(std::move(onSent))
{
    const auto run = [](evutil_socket_t, short, void *argument) {
        static_cast<SocketWriter *>(argument)->write();
    };
    writeSoon_ = event_new(base, -1, 0, run, this);
}

SocketWriter::~SocketWriter()
{
    event_free(writeSoon_);
}

void SocketWriter::start()
{
    isStarted_ = true;
    writeSoon();
}

void SocketWriter::writeSoon()
{
    if (isStarted_ && !isWaiting_)
        event_active(writeSoon_, EV_TIMEOUT, 0);
}

void SocketWriter::handleDrained()
{
    isWaiting_ = false;
    bufferevent_disable(buffer_, EV_WRITE);
    if (isStarted_ && onSent_)
        onSent_();
}

void SocketWriter::stop()
{
    isStarted_ = false;
    event_del(writeSoon_);
}

void SocketWriter::write()
{
    evbuffer *output = bufferevent_get_output(buffer_);
    if (!isStarted_ || isWaiting_ || evbuffer_get_length(output) == 0)
        return;
    // A bufferevent keeps the front of its output frozen except while it writes.
    evbuffer_unfreeze(output, 1);
    evbuffer_write(output, bufferevent_getfd(buffer_));
    evbuffer_freeze(output, 1);
    if (evbuffer_get_length(output) == 0) {
        if (onSent_)
            onSent_();
        return;
    }
    // libevent writes the rest, or meets the error of the socket again and reports it.
    isWaiting_ = true;
    bufferevent_enable(buffer_, EV_WRITE);
}

} // namespace chive
