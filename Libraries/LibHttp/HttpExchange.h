#pragma once

#include <LibHttp/HttpMessage.h>

#include <cstdint>
#include <functional>
#include <string_view>

namespace chive {

class HttpServerConnection;

/// One request of a peer that waits for its response.
class HttpExchange
{
public:
    enum class ConnectionUse : std::uint8_t {
        First,
        Reused, ///< An earlier request came on the same connection.
    };

    HttpExchange(HttpServerConnection &connection, ConnectionUse connectionUse);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /// Sends the whole response, after those to the requests before it on the connection. Only the
    /// first call counts; none is sent to a peer that is gone.
    void respond(const HttpResponse &response);

    /// Writes bytes to the connection as they are, ahead of any response. Short writes are not
    /// repeated.
    void writeRaw(std::string_view bytes);

    [[nodiscard]] bool isConnectionReused() const
    {
        return connectionUse_ == ConnectionUse::Reused;
    }

    /// Closes the connection without a response.
    void abandon();

    /// Calls back once if the peer closes its connection before the response was sent.
    void onPeerGone(std::function<void()> callback) { peerGone_ = std::move(callback); }

private:
    friend class HttpServerConnection;

    void handleClosed();

    HttpServerConnection *connection_; ///< Null once the response is sent or the connection closed.
    ConnectionUse connectionUse_;
    std::function<void()> peerGone_;
};

} // namespace chive
