#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace chive {

/// Which side of the connection speaks first, RFC 6455 section 4.
enum class WebSocketRole {
    Client,
    Server,
};

/// The WebSocket protocol (RFC 6455, by websocketpp) without a socket: bytes in, bytes out.
/// This header must compile as C++17.
class WebSocketSession
{
public:
    struct Events
    {
        std::function<void(std::string_view)> writeBytes; ///< Bytes for the socket.
        std::function<void()> opened; ///< The handshake is done; messages may be sent.
        std::function<void(std::string_view)> received; ///< One whole binary message.
        std::function<void()> failed; ///< Protocol error or close; close the socket.
    };

    /// Messages over the limit (bytes) end the session. Callbacks may come inside any call below.
    WebSocketSession(WebSocketRole role, std::size_t maximumMessageSize, Events events);
    ~WebSocketSession();
    WebSocketSession(const WebSocketSession &) = delete;
    WebSocketSession &operator=(const WebSocketSession &) = delete;

    /// Begins the handshake.
    void start();

    /// Takes bytes that came from the socket.
    void feed(std::string_view bytes);

    /// Sends one binary message; false when the session is not open.
    bool send(std::string_view message);

    /// Hides the library's types.
    class Implementation;

private:
    std::unique_ptr<Implementation> implementation_;
};

} // namespace chive
