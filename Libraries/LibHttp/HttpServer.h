#pragma once

#include <LibCore/Result.h>
#include <LibHttp/HttpMessage.h>
#include <LibSettings/Settings.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

struct event;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace chive {

class EventLoop;

/// One request of a peer that waits for its response.
class HttpExchange
{
public:
    /// `closesAfter` is shared with the server and read when the response is sent.
    HttpExchange(evhttp_request *request, std::shared_ptr<const bool> closesAfter);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /// Sends the whole response. Only the first call counts; none is sent to a peer that is gone.
    void respond(const HttpResponse &response);

    /// Writes bytes to the connection as they are, ahead of any response. Short writes are not
    /// repeated.
    void writeRaw(std::string_view bytes);

    /// Closes the connection without a response.
    void abandon();

    /// Calls back once if the peer closes its connection before the response was sent.
    void onPeerGone(std::function<void()> callback) { peerGone_ = std::move(callback); }

private:
    void handleClosed();

    evhttp_request *request_ = nullptr;
    std::shared_ptr<const bool> closesAfter_;
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

    /// Accepts no more connections; those that are open go on.
    void stopAccepting();

    /// From now on, closes each connection after the response that it gets next.
    void closeAfterResponses();

private:
    HttpServer(evhttp *server, Handler handler);

    evhttp *server_ = nullptr;
    evhttp_bound_socket *socket_ = nullptr;
    std::shared_ptr<bool> closesAfter_ = std::make_shared<bool>(false);
    Handler handler_;
};

} // namespace chive
