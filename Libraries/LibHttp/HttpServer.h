#pragma once

#include <LibCore/Result.h>
#include <LibHttp/HttpMessage.h>
#include <LibKernel/DescriptorShare.h>
#include <LibKernel/EventLoop.h>
#include <LibSettings/Settings.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

struct bufferevent;
struct evbuffer_cb_entry;
struct event;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace chive {

/// One request of a peer that waits for its response.
class HttpExchange
{
public:
    enum class ConnectionUse : std::uint8_t {
        First,
        Reused, ///< An earlier request came on the same connection.
    };

    /// `closesAfter` is shared with the server and read when the response is sent.
    HttpExchange(evhttp_request *request, std::shared_ptr<const bool> closesAfter,
                 ConnectionUse connectionUse);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /// Sends the whole response. Only the first call counts; none is sent to a peer that is gone.
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
    void handleClosed();

    evhttp_request *request_ = nullptr;
    std::shared_ptr<const bool> closesAfter_;
    ConnectionUse connectionUse_;
    event *closed_ = nullptr;
    std::function<void()> peerGone_;
};

/// An HTTP/1.1 server on one endpoint (evhttp). A body over the limit is answered with 413 by the
/// library, a malformed request with 400.
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

    [[nodiscard]] static Result<std::unique_ptr<HttpServer>>
    listen(EventLoop &loop, const Endpoint &endpoint, std::size_t maximumBodySize, Handler handler);

    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// From now on, new connections count towards the share. As it gets short, those that have been
    /// idle for longest are closed; while it is full, none is accepted. The share must outlive the
    /// server.
    void countIn(DescriptorShare &share) { share_ = &share; }

    /// Closes connections that have been idle for longer, but never sooner. 0: none.
    void setIdleTimeout(Milliseconds timeout) { idleTimeout_ = timeout; }

    /// Requests of which some bytes have come and others have not. The handler has not seen them.
    [[nodiscard]] std::size_t receiving();

    /// Requests that the handler has seen and whose whole response has not been sent.
    [[nodiscard]] std::size_t unanswered();

    /// Accepts no more connections; those that are open go on.
    void stopAccepting();

    /// From now on, closes each connection after the response that it gets next. The idle timeout
    /// no longer counts; idle connections still give way as the share gets short.
    void closeAfterResponses();

private:
    HttpServer(EventLoop &loop, Handler handler);

    /// What evhttp does not tell of one connection.
    struct Connection
    {
        Connection(bufferevent *handle, DescriptorShare *share);
        ~Connection();
        Connection(const Connection &) = delete;
        Connection &operator=(const Connection &) = delete;

        /// Nothing is owed, and no byte has been read that the handler has not seen.
        [[nodiscard]] bool isIdle() const;
        /// A request, or a part of one, waits on the socket.
        [[nodiscard]] bool hasUnreadBytes() const;
        /// evhttp has freed its connection.
        [[nodiscard]] bool isClosed() const;

        DescriptorLease lease;
        bufferevent *handle = nullptr; ///< Referenced, so that it never dangles.
        evbuffer_cb_entry *watch = nullptr;
        bool isReceiving = false;
        bool isUnanswered = false;
        Milliseconds idleFor{0};     ///< As counted in checks since the last response.
        std::uint64_t idleOrder = 0; ///< Lower for a connection that has been idle for longer.
        HttpExchange::ConnectionUse use = HttpExchange::ConnectionUse::First;
    };

    [[nodiscard]] std::size_t idle() const; ///< Connections on which nothing is owed or received.
    bufferevent *addConnection();
    void handleAcceptFailure();
    void pauseAccepting();
    void resumeAccepting();
    void check();
    void releaseClosed();
    void closeTimedOut();
    void makeRoom();
    void makeRoomSoon();
    void closeIdle(bufferevent *handle);
    void handle(evhttp_request *request);
    void handleResponseSent(evhttp_request *request);
    [[nodiscard]] Connection *connectionOf(evhttp_request *request);

    evhttp *server_ = nullptr;
    evhttp_bound_socket *socket_ = nullptr;
    std::shared_ptr<bool> closesAfter_ = std::make_shared<bool>(false);
    Handler handler_;
    EventLoop &loop_;
    DescriptorShare *share_ = nullptr;
    std::map<bufferevent *, std::unique_ptr<Connection>> connections_;
    Milliseconds idleTimeout_{0};
    std::uint64_t lastIdleOrder_ = 0;
    bool isPaused_ = false;        ///< New connections wait in the backlog.
    bool hasAcceptFailed_ = false; ///< Since the last check.
    Timer checkTimer_;
    Timer makeRoomTimer_;
};

} // namespace chive
