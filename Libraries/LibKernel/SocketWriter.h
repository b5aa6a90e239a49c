#pragma once

#include <functional>

struct bufferevent;
struct event;
struct event_base;

namespace chive {

/// Writes the output of one bufferevent. Output is written directly after the callbacks that are
/// active in the event loop, and libevent waits for the socket only while it takes no more bytes.
/// If it waited before every write, two calls of epoll_ctl would come with each, a third of the
/// system calls of a forwarded request.
class SocketWriter
{
public:
    /// `onSent` is called whenever all output has been written; may be empty. The bufferevent must
    /// not be enabled for EV_WRITE, and its write callback must call handleDrained().
    SocketWriter(event_base *base, bufferevent *buffer, std::function<void()> onSent);
    ~SocketWriter();
    SocketWriter(const SocketWriter &) = delete;
    SocketWriter &operator=(const SocketWriter &) = delete;

    /// Must be called once the socket is connected. Nothing is written before.
    void start();

    /// Must be called after output was added.
    void writeSoon();

    /// Must be called by the write callback of the bufferevent.
    void handleDrained();

    /// Writes nothing more.
    void stop();

private:
    void write();

    bufferevent *buffer_ = nullptr;
    event *writeSoon_ = nullptr;
    std::function<void()> onSent_;
    bool isStarted_ = false;
    bool isWaiting_ = false; ///< libevent waits for the socket and writes.
};

} // namespace chive
