#pragma once

#include <LibHttp/HttpExchange.h>
#include <LibHttp/RequestReader.h>
#include <LibKernel/DescriptorShare.h>
#include <LibKernel/EventLoop.h>
#include <LibKernel/SocketWriter.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct bufferevent;
struct event;

namespace chive {

/// What the connections of one server have in common.
struct HttpServerContext
{
    EventLoop &loop;
    std::size_t maximumBodySize = 0;
    std::size_t maximumPipelined = 1; ///< Requests of one connection that are served at once.
    Milliseconds idleTimeout{0};      ///< 0: none.
    Milliseconds headTimeout{0};      ///< 0: none.
    bool closesAfterResponses = false;
    std::string headerWithAnyBytes = {}; ///< Its values may hold control bytes; empty: none.
    std::uint64_t lastIdleOrder = 0;
    std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)> handler = {};
    /// Called once for each connection, which must not be destroyed in the call.
    std::function<void(HttpServerConnection &)> onClosed = {};
};

/// A connection of a peer to a server. Requests are served in the order in which they come, and
/// those with safe methods at the same time up to a limit (RFC 9112, section 9.3.2). Responses are
/// sent in the order of the requests. Requests behind a response that closes the connection are not
/// read.
class HttpServerConnection
{
public:
    /// Takes over the socket, which counts towards the share unless that is null.
    HttpServerConnection(HttpServerContext &context, int socket, DescriptorShare *share);
    ~HttpServerConnection();
    HttpServerConnection(const HttpServerConnection &) = delete;
    HttpServerConnection &operator=(const HttpServerConnection &) = delete;

    /// For HttpExchange.
    void respond(HttpExchange &exchange, const HttpResponse &response);
    void writeRaw(std::string_view bytes);

    /// Closes the connection at once. The requests on it learn that the peer is gone.
    void close();

    /// Nothing is owed, and no byte has been read that the handler has not seen.
    [[nodiscard]] bool isIdle() const;
    /// A request, or a part of one, waits on the socket.
    [[nodiscard]] bool hasUnreadBytes() const;
    /// The last response has been sent, and the peer has not closed its side yet.
    [[nodiscard]] bool isLingering() const { return isLingering_; }
    /// A part of a request has come that the handler has not seen.
    [[nodiscard]] bool isReceiving() const;
    /// Requests that the handler has seen and whose whole response has not been sent.
    [[nodiscard]] std::size_t unanswered() const { return pending_.size() + unsentResponses_; }

    /// Lower for a connection that has been idle for longer.
    [[nodiscard]] std::uint64_t idleOrder() const { return idleOrder_; }

    /// Closes the connection if one of its time limits has passed. Must be called once in each
    /// interval; time in which the process does not run does not count.
    void checkTimeouts(Milliseconds interval);

private:
    /// A request whose response has not been sent: one that the handler has seen, or one that was
    /// not readable and is answered with an error.
    struct PendingResponse
    {
        HttpExchange *exchange = nullptr; ///< Null once it has responded.
        std::string method;
        HttpVersion version = HttpVersion::Http11;
        bool isLast = false; ///< The connection closes after the response.
        std::optional<HttpResponse> response;
    };

    struct DeferredRequest
    {
        HttpRequest request;
        HttpVersion version = HttpVersion::Http11;
    };

    void processInput();
    void processInputSoon();
    [[nodiscard]] bool canReadRequest() const;
    void handleReaderState();
    void serve(HttpRequest request, HttpVersion version);
    void refuse(int status);
    void sendContinueIfAwaited();
    void sendReadyResponses();
    void send(const PendingResponse &next, bool isClosing);
    void handleSent();
    void closeAfterLastResponse();
    void updateReading();
    void discardInput();
    [[nodiscard]] std::size_t unsentBytes() const;
    [[nodiscard]] std::size_t unreadBytes() const;

    HttpServerContext &context_;
    DescriptorLease lease_;
    bufferevent *handle_ = nullptr;
    std::optional<SocketWriter> writer_;
    event *peerClosed_ = nullptr; ///< Armed while the socket is not read.
    event *processSoon_ = nullptr;
    RequestReader reader_;
    std::deque<PendingResponse> pending_;
    std::optional<DeferredRequest> deferred_; ///< Served once the requests before it are answered.
    std::size_t unsentResponses_ = 0;         ///< Of which some bytes are not on the wire.
    bool isReading_ = true;                   ///< Bytes are read from the socket.
    bool isProcessing_ = false;               ///< processInput() is running.
    bool hasSentContinue_ = false;            ///< For the request that is being received.
    bool hasReadLast_ = false;                ///< No further request is read.
    bool hasPeerAskedToClose_ = false;        ///< The peer sends nothing more.
    bool isClosingAfterResponses_ = false;    ///< The last response is being sent.
    bool isLingering_ = false;
    bool isClosed_ = false;
    HttpExchange::ConnectionUse use_ = HttpExchange::ConnectionUse::First;
    std::uint64_t idleOrder_ = 0;
    Milliseconds idleFor_{0}; ///< Since the last response.
    Milliseconds headFor_{0}; ///< Since the first byte of a head that is not whole.
    Milliseconds lingerFor_{0};
    Milliseconds stalledFor_{0}; ///< Since the peer last read.
    std::size_t unsentBefore_ = 0;
};

} // namespace chive
