#include <LibHttp/HttpServerConnection.h>

#include <LibKernel/Socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <http_parser.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <string>
#include <utility>

namespace chive {

namespace {

/// Read from the socket while no request can be taken; more waits in the kernel.
constexpr std::size_t maximumUnreadBytes = 16 * 1024;
/// Responses that the peer has not read, beyond which no request is taken.
constexpr std::size_t maximumUnsentBytes = 256 * 1024;
/// How long a connection stays open after its last response for the peer to close it. Closing it
/// with unread bytes would reset it, and the peer could lose the response (RFC 9112, section 9.6).
constexpr Milliseconds lingerTime{1'000};
/// The first check of a time limit comes before a whole interval has passed, and the next one may
/// come early when the one before it was late.
constexpr int marginInChecks = 2;

/// Methods whose requests may be served at the same time as others, RFC 9110 section 9.2.1.
bool isSafe(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

bool isFramingHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 4> framing{"Connection", "Content-Length",
                                                             "Transfer-Encoding", "Keep-Alive"};
    return isOneOfHeaders(framing, name);
}

bool hasLineBreak(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos;
}

/// Whether responses with this status have no length of a body, RFC 9110 section 8.6.
bool hasNoBody(int status)
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    constexpr int firstFinal = 200;
    return status < firstFinal || status == noContent || status == notModified;
}

std::string_view reasonPhrase(int status)
{
    const std::string_view known = http_status_str(static_cast<http_status>(status));
    return known.starts_with('<') ? std::string_view() : known;
}

/// RFC 9110 section 5.6.7; formatted once a second.
const std::string &currentDate()
{
    static std::time_t last = 0;
    static std::string text;
    const std::time_t now = std::time(nullptr);
    if (now != last) {
        std::tm fields{};
        gmtime_r(&now, &fields);
        std::array<char, 64> formatted{};
        const std::size_t size = std::strftime(formatted.data(), formatted.size(),
                                               "%a, %d %b %Y %H:%M:%S GMT", &fields);
        text.assign(formatted.data(), size);
        last = now;
    }
    return text;
}

std::string formatHead(const HttpResponse &response, HttpVersion version, bool isClosing)
{
    std::string head;
    head.reserve(512);
    head.append(version == HttpVersion::Http10 ? "HTTP/1.0 " : "HTTP/1.1 ");
    head.append(std::to_string(response.status)).append(" ");
    head.append(reasonPhrase(response.status)).append("\r\n");
    for (const auto &[name, value] : response.headers) {
        if (!isFramingHeader(name) && !hasLineBreak(name) && !hasLineBreak(value))
            head.append(name).append(": ").append(value).append("\r\n");
    }
    if (findHeader(response.headers, "Date").empty())
        head.append("Date: ").append(currentDate()).append("\r\n");
    if (!hasNoBody(response.status)) {
        const std::size_t size = bytesOf(response.body).size();
        head.append("Content-Length: ").append(std::to_string(size)).append("\r\n");
    }
    if (isClosing)
        head.append("Connection: close\r\n");
    else if (version == HttpVersion::Http10)
        head.append("Connection: keep-alive\r\n");
    return head.append("\r\n");
}

int statusFor(RequestReader::State state)
{
    switch (state) {
    case RequestReader::State::Unsupported:
        return 501;
    case RequestReader::State::HeadTooLarge:
        return 431;
    case RequestReader::State::BodyTooLarge:
        return 413;
    default:
        return 400;
    }
}

} // namespace

HttpServerConnection::HttpServerConnection(HttpServerContext &context, int socket,
                                           DescriptorShare *share)
    : context_(context)
    , reader_(context.maximumBodySize)
    , idleOrder_(++context.lastIdleOrder)
{
    if (share != nullptr)
        lease_ = DescriptorLease(*share);
    disableNagle(socket);
    event_base *base = context.loop.base();
    handle_ = bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
    const auto onReadable = [](bufferevent *, void *argument) {
        static_cast<HttpServerConnection *>(argument)->processInput();
    };
    const auto onDrained = [](bufferevent *, void *argument) {
        static_cast<HttpServerConnection *>(argument)->writer_->handleDrained();
    };
    const auto onEvent = [](bufferevent *, short, void *argument) {
        static_cast<HttpServerConnection *>(argument)->close();
    };
    bufferevent_setcb(handle_, onReadable, onDrained, onEvent, this);
    const auto onPeerClosed = [](evutil_socket_t, short, void *argument) {
        static_cast<HttpServerConnection *>(argument)->close();
    };
    peerClosed_ = event_new(base, socket, EV_CLOSED, onPeerClosed, this);
    const auto onProcessSoon = [](evutil_socket_t, short, void *argument) {
        static_cast<HttpServerConnection *>(argument)->processInput();
    };
    processSoon_ = event_new(base, -1, 0, onProcessSoon, this);
    bufferevent_disable(handle_, EV_WRITE);
    bufferevent_enable(handle_, EV_READ);
    writer_.emplace(base, handle_, [this] { handleSent(); });
    writer_->start();
}

HttpServerConnection::~HttpServerConnection()
{
    close();
    event_free(processSoon_);
    writer_.reset();
    bufferevent_free(handle_);
}

void HttpServerConnection::close()
{
    if (std::exchange(isClosed_, true))
        return;
    // libevent would close the socket later, but the lease ends now. The descriptor must not be
    // closed before its events are gone, or they take bytes from whoever gets it next.
    event_free(std::exchange(peerClosed_, nullptr));
    event_del(processSoon_);
    writer_->stop();
    bufferevent_disable(handle_, EV_READ | EV_WRITE);
    const evutil_socket_t socket = bufferevent_getfd(handle_);
    bufferevent_setfd(handle_, -1);
    evutil_closesocket(socket);
    lease_ = DescriptorLease();
    deferred_.reset();
    unsentResponses_ = 0;
    for (const PendingResponse &unsent : std::exchange(pending_, {})) {
        if (unsent.exchange != nullptr)
            unsent.exchange->handleClosed();
    }
    context_.onClosed(*this);
}

bool HttpServerConnection::isIdle() const
{
    return !isClosed_ && pending_.empty() && unsentResponses_ == 0 && !deferred_ && !hasReadLast_
           && reader_.state() == RequestReader::State::Empty && unreadBytes() == 0;
}

bool HttpServerConnection::hasUnreadBytes() const
{
    char byte = 0;
    return recv(bufferevent_getfd(handle_), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool HttpServerConnection::isReceiving() const
{
    return !hasReadLast_ && reader_.state() == RequestReader::State::Reading;
}

std::size_t HttpServerConnection::unsentBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(handle_));
}

std::size_t HttpServerConnection::unreadBytes() const
{
    return evbuffer_get_length(bufferevent_get_input(handle_));
}

void HttpServerConnection::writeRaw(std::string_view bytes)
{
    [[maybe_unused]] const ssize_t sent
            = ::send(bufferevent_getfd(handle_), bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

bool HttpServerConnection::canReadRequest() const
{
    if (isClosed_ || hasReadLast_ || deferred_)
        return false;
    if (pending_.empty())
        return unsentBytes() < maximumUnsentBytes;
    // The response to the last request that was taken will close the connection.
    if (context_.closesAfterResponses)
        return false;
    return pending_.size() < context_.maximumPipelined && isSafe(pending_.back().method)
           && unsentBytes() < maximumUnsentBytes;
}

void HttpServerConnection::processInput()
{
    // A handler may respond at once, which calls this function again.
    if (isClosed_ || std::exchange(isProcessing_, true))
        return;
    if (pending_.empty() && deferred_) {
        DeferredRequest next = std::move(*deferred_);
        deferred_.reset();
        serve(std::move(next.request), next.version);
    }
    reader_.allowControlBytesIn(context_.headerWithAnyBytes);
    while (canReadRequest()) {
        evbuffer *input = bufferevent_get_input(handle_);
        const std::size_t size = evbuffer_get_contiguous_space(input);
        if (size == 0)
            break;
        const auto *bytes = reinterpret_cast<const char *>(
                evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        evbuffer_drain(input, reader_.feed({bytes, size}));
        handleReaderState();
    }
    isProcessing_ = false;
    if (isClosed_)
        return;
    if (hasReadLast_)
        discardInput();
    sendContinueIfAwaited();
    updateReading();
}

void HttpServerConnection::processInputSoon()
{
    const bool isDue = deferred_ || unreadBytes() > 0 || !isReading_ || reader_.awaitsContinue();
    if (!isProcessing_ && isDue)
        event_active(processSoon_, EV_TIMEOUT, 0);
}

void HttpServerConnection::handleReaderState()
{
    const RequestReader::State state = reader_.state();
    if (state == RequestReader::State::Empty || state == RequestReader::State::Reading)
        return;
    headFor_ = Milliseconds(0);
    hasSentContinue_ = false;
    if (state != RequestReader::State::Complete) {
        refuse(statusFor(state));
        return;
    }
    const HttpVersion version = reader_.version();
    if (!reader_.keepsConnection())
        hasReadLast_ = hasPeerAskedToClose_ = true;
    HttpRequest request = reader_.take();
    if (pending_.empty() || isSafe(request.method))
        serve(std::move(request), version);
    else
        deferred_ = DeferredRequest{std::move(request), version};
}

void HttpServerConnection::serve(HttpRequest request, HttpVersion version)
{
    const auto exchange = std::make_shared<HttpExchange>(
            *this, std::exchange(use_, HttpExchange::ConnectionUse::Reused));
    pending_.push_back({exchange.get(), request.method, version, hasReadLast_, std::nullopt});
    context_.handler(std::move(request), exchange);
}

void HttpServerConnection::refuse(int status)
{
    hasReadLast_ = true;
    PendingResponse error;
    error.isLast = true;
    error.response = HttpResponse{status, {}, nullptr};
    pending_.push_back(std::move(error));
    sendReadyResponses();
}

void HttpServerConnection::sendContinueIfAwaited()
{
    if (hasSentContinue_ || !pending_.empty() || hasReadLast_ || !reader_.awaitsContinue())
        return;
    hasSentContinue_ = true;
    constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    bufferevent_write(handle_, interim.data(), interim.size());
    writer_->writeSoon();
}

void HttpServerConnection::respond(HttpExchange &exchange, const HttpResponse &response)
{
    const auto found = std::ranges::find(pending_, &exchange, &PendingResponse::exchange);
    if (found == pending_.end())
        return;
    found->exchange = nullptr;
    found->response = response;
    sendReadyResponses();
    processInputSoon();
}

void HttpServerConnection::sendReadyResponses()
{
    while (!pending_.empty() && pending_.front().response) {
        const PendingResponse next = std::move(pending_.front());
        pending_.pop_front();
        const bool isClosing = next.isLast || (context_.closesAfterResponses && pending_.empty());
        send(next, isClosing);
        if (isClosing) {
            hasReadLast_ = isClosingAfterResponses_ = true;
            deferred_.reset();
        }
    }
    if (pending_.empty()) {
        idleFor_ = Milliseconds(0);
        idleOrder_ = ++context_.lastIdleOrder;
    }
}

void HttpServerConnection::send(const PendingResponse &next, bool isClosing)
{
    ++unsentResponses_;
    const std::string head = formatHead(*next.response, next.version, isClosing);
    evbuffer *output = bufferevent_get_output(handle_);
    evbuffer_add(output, head.data(), head.size());
    writer_->writeSoon();
    const std::string_view body = bytesOf(next.response->body);
    if (body.empty() || next.method == "HEAD" || hasNoBody(next.response->status))
        return;
    // The buffer keeps the shared body alive until its bytes are on the wire.
    auto *owner = new std::shared_ptr<const std::string>(next.response->body);
    const auto release = [](const void *, std::size_t, void *argument) {
        delete static_cast<std::shared_ptr<const std::string> *>(argument);
    };
    evbuffer_add_reference(output, body.data(), body.size(), release, owner);
}

void HttpServerConnection::handleSent()
{
    unsentResponses_ = 0;
    stalledFor_ = Milliseconds(0);
    if (isClosingAfterResponses_)
        closeAfterLastResponse();
    else
        processInput();
}

void HttpServerConnection::closeAfterLastResponse()
{
    if (hasPeerAskedToClose_) {
        close();
        return;
    }
    if (std::exchange(isLingering_, true))
        return;
    shutdown(bufferevent_getfd(handle_), SHUT_WR);
    discardInput();
    updateReading();
}

void HttpServerConnection::discardInput()
{
    evbuffer_drain(bufferevent_get_input(handle_), unreadBytes());
}

void HttpServerConnection::updateReading()
{
    const bool shouldRead = unreadBytes() < maximumUnreadBytes;
    if (shouldRead == isReading_)
        return;
    isReading_ = shouldRead;
    if (shouldRead) {
        event_del(peerClosed_);
        bufferevent_enable(handle_, EV_READ);
    } else {
        bufferevent_disable(handle_, EV_READ);
        event_add(peerClosed_, nullptr);
    }
}

void HttpServerConnection::checkTimeouts(Milliseconds interval)
{
    const Milliseconds margin = marginInChecks * interval;
    if (isLingering_) {
        lingerFor_ += interval;
        if (lingerFor_ >= lingerTime)
            close();
        return;
    }
    const bool hasIdleTimeout
            = context_.idleTimeout > Milliseconds(0) && !context_.closesAfterResponses;
    if (isIdle()) {
        idleFor_ += interval;
        if (hasIdleTimeout && idleFor_ >= context_.idleTimeout + margin && !hasUnreadBytes())
            close();
        return;
    }
    const std::size_t unsent = unsentBytes();
    const bool isStalled = unsent > 0 && unsent == std::exchange(unsentBefore_, unsent);
    stalledFor_ = isStalled ? stalledFor_ + interval : Milliseconds(0);
    if (context_.idleTimeout > Milliseconds(0) && stalledFor_ >= context_.idleTimeout + margin) {
        close();
        return;
    }
    if (!isReceiving() || reader_.isHeadRead() || !pending_.empty()) {
        headFor_ = Milliseconds(0);
        return;
    }
    headFor_ += interval;
    constexpr int requestTimeout = 408;
    if (context_.headTimeout > Milliseconds(0) && headFor_ >= context_.headTimeout + margin)
        refuse(requestTimeout);
}

} // namespace chive
