#pragma once

#include <LibCore/Result.h>
#include <LibHttp/HttpExchange.h>
#include <LibHttp/HttpServerConnection.h>
#include <LibKernel/DescriptorShare.h>
#include <LibKernel/EventLoop.h>
#include <LibSettings/Settings.h>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <vector>

struct evconnlistener;

namespace chive {

/// An HTTP/1.1 server on one endpoint. A body over the limit is answered with 413, a head that is
/// too long with 431, a malformed request with 400; each closes its connection.
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

    /// Closes connections that have been idle for longer, or whose peer has read nothing of its
    /// responses for longer, but never sooner. 0: none.
    void setIdleTimeout(Milliseconds timeout) { context_.idleTimeout = timeout; }

    /// How many requests of one connection are served at the same time, at least 1. The handler may
    /// see the next one before the response to the one before it is sent.
    void setMaximumPipelined(std::size_t most) { context_.maximumPipelined = most; }

    /// Answers a request with 408 whose head takes longer to come, but never sooner. 0: none.
    void setHeadTimeout(Milliseconds timeout) { context_.headTimeout = timeout; }

    /// From now on, requests whose header of this name holds control bytes reach the handler, which
    /// must not pass it on. In other headers they make the request malformed. Empty: none.
    void allowControlBytesIn(std::string_view header) { context_.headerWithAnyBytes = header; }

    /// Requests of which some bytes have come and others have not. The handler has not seen them.
    [[nodiscard]] std::size_t receiving() const;

    /// Requests that the handler has seen and whose whole response has not been sent.
    [[nodiscard]] std::size_t unanswered() const;

    /// Accepts no more connections; those that are open go on.
    void stopAccepting();

    /// From now on, closes each connection after the response that it gets next. The idle timeout
    /// no longer counts; idle connections still give way as the share gets short.
    void closeAfterResponses();

private:
    HttpServer(EventLoop &loop, std::size_t maximumBodySize, Handler handler);

    [[nodiscard]] std::size_t idle() const; ///< Connections on which nothing is owed or received.
    void accept(int socket);
    void handleAcceptFailure();
    void pauseAccepting();
    void resumeAccepting();
    void check();
    void releaseClosed();
    void handleClosed(const HttpServerConnection &connection);
    void makeRoom();
    void makeRoomSoon();

    using ConnectionPointer = std::unique_ptr<HttpServerConnection>;

    EventLoop &loop_;
    HttpServerContext context_;
    evconnlistener *listener_ = nullptr;
    DescriptorShare *share_ = nullptr;
    std::map<const HttpServerConnection *, ConnectionPointer> connections_;
    std::vector<ConnectionPointer> closed_; ///< Destroyed once their callbacks have returned.
    bool isPaused_ = false;                 ///< New connections wait in the backlog.
    bool hasAcceptFailed_ = false;          ///< Since the last check.
    Timer checkTimer_;
    Timer makeRoomTimer_;
    Timer releaseTimer_;
};

} // namespace chive
