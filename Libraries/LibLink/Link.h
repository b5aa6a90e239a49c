#pragma once

#include <LibKernel/SocketWriter.h>
#include <LibLink/WebSocketSession.h>
#include <LibSettings/Settings.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct bufferevent;

namespace chive {

class EventLoop;

/// One TCP connection to another node that carries whole binary messages.
class Link
{
public:
    struct Events
    {
        std::function<void()> opened;
        std::function<void(std::string_view)> received;
        std::function<void()> closed; ///< Called once; the link may be destroyed afterwards only.
    };

    /// Connects to a peer. `opened` or `closed` follows.
    [[nodiscard]] static std::unique_ptr<Link>
    connect(EventLoop &loop, const Endpoint &peer, std::size_t maximumMessageSize, Events events);

    /// Takes over a socket that a listener accepted.
    [[nodiscard]] static std::unique_ptr<Link>
    accept(EventLoop &loop, int socket, std::size_t maximumMessageSize, Events events);

    ~Link();
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    [[nodiscard]] bool isOpen() const { return state_ == State::Open; }

    /// Whether any byte of a message may have left this process.
    [[nodiscard]] bool hasOpened() const { return hasOpened_; }

    /// Whether it closed for want of a descriptor, which says nothing about the peer.
    [[nodiscard]] bool lackedDescriptor() const { return lackedDescriptor_; }

    /// Sends one message; false, with nothing sent, unless the link is open.
    bool send(std::string_view message);

    /// Bytes that wait for the socket.
    [[nodiscard]] std::size_t backlog() const;

    [[nodiscard]] std::size_t bytesSent() const { return bytesSent_; }
    [[nodiscard]] std::size_t bytesReceived() const { return bytesReceived_; }

private:
    enum class State {
        Connecting,
        Open,
        Closed,
    };

    Link(EventLoop &loop, bufferevent *buffer, WebSocketRole role, std::size_t maximumMessageSize,
         Events events);

    void handleReadable();
    void handleSocketEvent(short what);
    void close();

    EventLoop &loop_;
    bufferevent *buffer_ = nullptr;
    SocketWriter writer_;
    Events events_;
    State state_ = State::Connecting;
    bool hasOpened_ = false;
    bool lackedDescriptor_ = false;
    std::size_t bytesSent_ = 0;
    std::size_t bytesReceived_ = 0;
    std::unique_ptr<WebSocketSession> session_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace chive
