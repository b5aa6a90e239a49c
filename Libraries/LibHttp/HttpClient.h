#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibHttp/HttpMessage.h>
#include <LibKernel/DescriptorShare.h>
#include <LibKernel/EventLoop.h>
#include <LibSettings/Settings.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

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
    /// No connection could be opened for want of a descriptor, which says nothing about the server.
    bool lacksDescriptor = false;
};

/// A header that the server is expected to repeat from the request, so that a response can be tied
/// to it.
struct EchoedHeader
{
    std::string_view name; ///< Empty: the server repeats none.
    std::string value;
};

/// Where the body of a response may end.
enum class BodyEnd : std::uint8_t {
    Framed, ///< By its length or its last chunk only.
    /// Also by an orderly close of the connection, RFC 9112 section 6.3, once the server has
    /// received the whole request.
    FramedOrClose,
};

/// What a response must be to count as the answer to its request.
struct ResponseRules
{
    EchoedHeader echo;
    BodyEnd bodyEnd = BodyEnd::Framed;
};

/// A client of one server, with a pool of kept connections, one request on each at a time.
///
/// Where an echoed header is asked for, a response that bears another value belongs to another
/// request and is skipped, and a connection is used again only after a response that bore the
/// value. A request with the value of one that failed goes over another connection. Surplus bytes,
/// an answer before the whole request was sent and any other irregularity close the connection.
/// evhttp's client shows none of these, so this one reads with http_parser.
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

    /// From now on connections are used again also where no echoed header is asked for. Only for
    /// servers that are known to send one response to each request.
    void trustServer() { trustsServer_ = true; }

    /// From now on, new connections that fall silent without a reset fail within a few seconds also
    /// while nothing is due on them.
    void detectSilentConnections() { detectsSilence_ = true; }

    /// From now on, the responses that are being received take at most that many bytes of memory
    /// together. Beyond that the request with the largest one fails.
    void limitBytesHeld(std::size_t most) { maximumBytesHeld_ = most; }

    /// From now on, new connections count towards the share. While it is full, an idle connection
    /// is closed for a new one, and without any a request that needs a new one fails.
    void countIn(DescriptorShare &share) { share_ = &share; }

    /// Bytes of memory that the responses take that are being received.
    [[nodiscard]] std::size_t bytesHeld() const { return bytesHeld_; }

    /// Sends the request; calls back exactly once, never inside this call. A request without a
    /// response after the timeout fails.
    RequestId send(const HttpRequest &request, Milliseconds timeout, Callback callback,
                   ResponseRules rules = {});

    /// Closes the request's connection. The callback is called with Stage::Sent or NotSent.
    void cancel(RequestId id);

    [[nodiscard]] std::size_t inFlight() const { return active_.size(); }

    /// Requests in flight of which no byte has left yet, such as while their connection opens.
    [[nodiscard]] std::size_t unsent() const;

    /// Fails the unsent requests with Stage::NotSent. Nothing of them leaves afterwards.
    void failUnsent(const std::string &message);

private:
    struct Connection;
    struct Active;

    std::unique_ptr<Connection> takeIdle(std::string_view echoed);
    outcome::result<std::unique_ptr<Connection>, HttpFailure, outcome::policy::all_narrow>
    openConnection();
    void closeIdleForRoom();
    void write(Connection &connection, const HttpRequest &request) const;
    void handleReadable(Connection &connection);
    void handleEvent(Connection &connection, short what);
    void handleResponse(Active &active);
    void failLargest();
    void fail(Active &active, std::string message);
    void finish(Active &active, Outcome outcome, bool isReusable);
    void dropIdle(const Connection &connection);
    void keepIdle(std::unique_ptr<Connection> connection);
    void ageIdle();

    EventLoop &loop_;
    Endpoint server_;
    std::size_t maximumBodySize_;
    std::size_t maximumBytesHeld_ = std::numeric_limits<std::size_t>::max();
    std::size_t bytesHeld_ = 0;
    DescriptorShare *share_ = nullptr;
    bool trustsServer_ = false;
    bool detectsSilence_ = false;
    std::map<RequestId, std::unique_ptr<Active>> active_;
    std::vector<std::unique_ptr<Connection>> idle_;
    Timer idleTimer_;
};

} // namespace chive
