#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibHttp/HttpMessage.h>
#include <LibKernel/EventLoop.h>
#include <LibSettings/Settings.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct evhttp_connection;

namespace chive {

/// Why an HTTP request got no whole response.
struct HttpFailure
{
    enum class Stage {
        NotSent,    ///< Proved: not one byte of the request left this process.
        Sent,       ///< Some bytes left; the server may have acted on them.
        Incomplete, ///< A response began, but its end could not be seen.
    };

    Stage stage = Stage::NotSent;
    std::string message;
};

/// A client of one server, with a pool of kept connections (evhttp), one request on each at a time.
class HttpClient
{
public:
    using Outcome = outcome::result<HttpResponse, HttpFailure, outcome::policy::all_narrow>;
    using Callback = std::function<void(Outcome)>;
    /// Unique over all clients of the process, so that an id outlives a change of the client.
    using RequestId = std::uint64_t;

    HttpClient(EventLoop &loop, Endpoint server, std::size_t maximumBodySize);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends the request; calls back exactly once, never inside this call. The timeout counts
    /// silence on the connection; callers that need a total limit cancel.
    RequestId send(const HttpRequest &request, Milliseconds timeout, Callback callback);

    /// Closes the request's connection. The callback is called with Stage::Sent or NotSent.
    void cancel(RequestId id);

    [[nodiscard]] std::size_t inFlight() const { return active_.size(); }

private:
    struct Connection;
    struct Active;

    std::unique_ptr<Connection> takeConnection();
    void rest(std::unique_ptr<Connection> connection);
    void endRest();
    void finish(RequestId id, Outcome outcome, bool isReusable);

    EventLoop &loop_;
    Endpoint server_;
    std::size_t maximumBodySize_;
    std::map<RequestId, std::unique_ptr<Active>> active_;
    std::vector<std::unique_ptr<Connection>> idle_;
    std::vector<std::unique_ptr<Connection>> rested_;  ///< For at least one interval.
    std::vector<std::unique_ptr<Connection>> resting_; ///< For less than one interval.
    Timer restTimer_;
};

} // namespace chive
