#include <LibHttp/HttpClient.h>

#include <LibHttp/ResponseReader.h>
#include <LibKernel/EventLoop.h>
#include <LibKernel/Socket.h>
#include <LibKernel/SocketWriter.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <deque>
#include <functional>
#include <optional>
#include <system_error>
#include <utility>

namespace chive {

namespace {

constexpr std::size_t maximumIdleConnections = 512;

/// Idle connections are looked over this often.
constexpr Milliseconds idleCheckInterval{250};
/// How long a connection rests at most when the server does not say. Servers seldom close sooner.
constexpr Milliseconds idleLimit{4'000};
/// How long before the time that the server names a connection is given up, so that no request
/// crosses the server's close.
constexpr Milliseconds idleMargin{1'500};

/// A connection remembers so many of the latest failures. A second response to an earlier one would
/// have come between the responses since then, and closed the connection.
constexpr std::size_t maximumFailures = 256;
/// Responses to other requests that may come ahead of the one that is due.
constexpr std::size_t maximumSkipped = 16;

HttpClient::RequestId nextRequestId()
{
    static HttpClient::RequestId last = 0;
    return ++last;
}

/// Headers that this client sets itself.
bool isFramingHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 4> framing{"Connection", "Content-Length",
                                                             "Transfer-Encoding", "Keep-Alive"};
    return isOneOfHeaders(framing, name);
}

/// Whether the request may come again after this status, RFC 9110 sections 15.5 and 15.6.
bool isFailure(int status)
{
    constexpr int leastFailure = 400;
    return status >= leastFailure;
}

bool usuallyHasBody(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

std::string formatHead(const HttpRequest &request, const Endpoint &server)
{
    std::string head;
    head.reserve(512);
    head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    if (findHeader(request.headers, "Host").empty())
        head.append("Host: ").append(server.ip).append("\r\n");
    for (const auto &[name, value] : request.headers) {
        if (!isFramingHeader(name))
            head.append(name).append(": ").append(value).append("\r\n");
    }
    const std::size_t size = bytesOf(request.body).size();
    if (size > 0 || usuallyHasBody(request.method))
        head.append("Content-Length: ").append(std::to_string(size)).append("\r\n");
    head.append("\r\n");
    return head;
}

/// The time for which the server keeps an idle connection, from `Keep-Alive: timeout=SECONDS`.
Milliseconds idleLimitOf(std::span<const Header> headers)
{
    const std::string_view text = findHeader(headers, "Keep-Alive");
    constexpr std::string_view name = "timeout=";
    const auto start = text.find(name);
    if (start == std::string_view::npos)
        return idleLimit;
    std::int64_t seconds = 0;
    std::from_chars(text.data() + start + name.size(), text.data() + text.size(), seconds);
    return std::max(Milliseconds(seconds * 1000) - idleMargin, Milliseconds(0));
}

} // namespace

struct HttpClient::Connection
{
    HttpClient &client;
    DescriptorLease lease;
    bufferevent *handle = nullptr;
    std::optional<SocketWriter> writer;
    Active *active = nullptr;  ///< The request that is out, or null while idle.
    std::size_t bytesSent = 0; ///< Of the current request, as taken by the kernel.
    bool hasAnswered = false;  ///< A response has come on it before.
    Milliseconds idleFor{0};
    Milliseconds idleLimit{0};
    /// Hashes of the echoed values of the latest requests that failed, the oldest first.
    std::deque<std::size_t> failures;

    explicit Connection(HttpClient &owner)
        : client(owner)
    {
        if (owner.share_ != nullptr)
            lease = DescriptorLease(*owner.share_);
        handle = bufferevent_socket_new(owner.loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        const auto count = [](evbuffer *, const evbuffer_cb_info *info, void *argument) {
            static_cast<Connection *>(argument)->bytesSent += info->n_deleted;
        };
        evbuffer_add_cb(bufferevent_get_output(handle), count, this);
        const auto onReadable = [](bufferevent *, void *argument) {
            auto *self = static_cast<Connection *>(argument);
            self->client.handleReadable(*self);
        };
        const auto onEvent = [](bufferevent *, short what, void *argument) {
            auto *self = static_cast<Connection *>(argument);
            self->client.handleEvent(*self, what);
        };
        const auto onDrained = [](bufferevent *, void *argument) {
            static_cast<Connection *>(argument)->writer->handleDrained();
        };
        bufferevent_setcb(handle, onReadable, onDrained, onEvent, this);
        bufferevent_disable(handle, EV_WRITE);
        bufferevent_enable(handle, EV_READ);
        writer.emplace(owner.loop_.base(), handle, nullptr);
    }
    ~Connection()
    {
        writer->stop();
        // libevent would close the socket later, but the lease ends now.
        const evutil_socket_t socket = bufferevent_getfd(handle);
        if (socket >= 0) {
            bufferevent_setfd(handle, -1);
            evutil_closesocket(socket);
        }
        bufferevent_free(handle);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Starts to connect; an error if there is no socket or no way to the server. libevent reports
    /// such an error to nobody else.
    [[nodiscard]] std::error_code connect()
    {
        const sockaddr_in address = addressOf(client.server_);
        const int failed = bufferevent_socket_connect(
                handle, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        return failed == 0 ? std::error_code() : std::error_code(errno, std::generic_category());
    }

    /// Whether the connection is open and holds no byte. A request on a connection that the server
    /// has closed fails without a word on whether it ran.
    [[nodiscard]] bool isQuiet() const
    {
        if (evbuffer_get_length(bufferevent_get_input(handle)) != 0)
            return false;
        char byte = 0;
        const ssize_t size = recv(bufferevent_getfd(handle), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    void noteFailure(std::string_view echoed)
    {
        if (failures.size() == maximumFailures)
            failures.pop_front();
        failures.push_back(std::hash<std::string_view>()(echoed));
    }

    /// Whether a request with this value has failed on it before. Were it sent once more, a late
    /// second response to the first could not be told from the answer.
    [[nodiscard]] bool hasFailed(std::string_view echoed) const
    {
        return std::ranges::find(failures, std::hash<std::string_view>()(echoed)) != failures.end();
    }

    /// Whether the server has received the whole request, and the connection is not reset. A server
    /// that closes before has not read all of the request, so its response was cut off.
    [[nodiscard]] bool isRequestReceived() const
    {
        if (hasUnsentBytes())
            return false;
        const evutil_socket_t socket = bufferevent_getfd(handle);
        int unacknowledged = 0;
        int error = 0;
        socklen_t errorSize = sizeof error;
        // Not every kernel can tell what is unacknowledged; then only our own buffer counts.
        if (ioctl(socket, SIOCOUTQ, &unacknowledged) != 0)
            unacknowledged = 0;
        return unacknowledged == 0
               && getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &errorSize) == 0 && error == 0;
    }

    [[nodiscard]] bool hasUnsentBytes() const
    {
        return evbuffer_get_length(bufferevent_get_output(handle)) != 0;
    }
};

struct HttpClient::Active
{
    RequestId id = 0;
    std::string method;
    ResponseRules rules;
    std::unique_ptr<Connection> connection;
    std::unique_ptr<ResponseReader> reader;
    std::size_t skipped = 0; ///< Responses to other requests that have come before.
    Callback callback;
    Timer limit;
};

HttpClient::HttpClient(EventLoop &loop, Endpoint server, std::size_t maximumBodySize)
    : loop_(loop)
    , server_(std::move(server))
    , maximumBodySize_(maximumBodySize)
{}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient::Connection> HttpClient::takeIdle(std::string_view echoed)
{
    // The most recently used connection is the least likely to have been closed by the server.
    for (auto next = idle_.end(); next != idle_.begin();) {
        --next;
        if (!echoed.empty() && (*next)->hasFailed(echoed))
            continue;
        auto connection = std::move(*next);
        next = idle_.erase(next);
        if (!connection->isQuiet())
            continue;
        connection->bytesSent = 0;
        return connection;
    }
    return nullptr;
}

outcome::result<std::unique_ptr<HttpClient::Connection>, HttpFailure, outcome::policy::all_narrow>
HttpClient::openConnection()
{
    const auto failure = [](const std::string &cause, bool lacksDescriptor) {
        return HttpFailure{HttpFailure::Stage::NotSent, "no connection could be opened: " + cause,
                           lacksDescriptor};
    };
    closeIdleForRoom();
    if (share_ != nullptr && share_->isFull()) {
        share_->noteRefused();
        return failure("all " + std::to_string(share_->most())
                               + " descriptors for this use are taken",
                       true);
    }
    auto connection = std::make_unique<Connection>(*this);
    const std::error_code error = connection->connect();
    if (!error)
        return connection;
    const bool lacksDescriptor = isWantOfDescriptors(error);
    if (share_ != nullptr && lacksDescriptor)
        share_->noteRefused();
    return failure(error.message(), lacksDescriptor);
}

void HttpClient::closeIdleForRoom()
{
    while (share_ != nullptr && share_->isFull() && !idle_.empty()) {
        // The first one has been idle for longest.
        idle_.erase(idle_.begin());
        share_->noteReclaimed();
    }
}

HttpClient::RequestId HttpClient::send(const HttpRequest &request, Milliseconds timeout,
                                       Callback callback, ResponseRules rules)
{
    auto owned = std::make_unique<Active>();
    Active &active = *owned;
    active.id = nextRequestId();
    active.method = request.method;
    active.rules = std::move(rules);
    active.callback = std::move(callback);
    active.reader = std::make_unique<ResponseReader>(active.method, maximumBodySize_);
    active_.emplace(active.id, std::move(owned));
    active.connection = takeIdle(active.rules.echo.value);
    if (active.connection == nullptr) {
        auto opened = openConnection();
        if (!opened.has_value()) {
            const RequestId id = active.id;
            finish(active, opened.error(), false);
            return id;
        }
        active.connection = std::move(opened.value());
    }
    active.connection->active = &active;
    active.limit = loop_.after(timeout, [this, id = active.id] {
        const auto found = active_.find(id);
        if (found != active_.end())
            fail(*found->second, "no response in time");
    });
    write(*active.connection, request);
    return active.id;
}

void HttpClient::write(Connection &connection, const HttpRequest &request) const
{
    evbuffer *output = bufferevent_get_output(connection.handle);
    const std::string head = formatHead(request, server_);
    evbuffer_add(output, head.data(), head.size());
    connection.writer->writeSoon();
    const std::string_view body = bytesOf(request.body);
    if (body.empty())
        return;
    auto *owner = new std::shared_ptr<const std::string>(request.body);
    const auto release = [](const void *, std::size_t, void *argument) {
        delete static_cast<std::shared_ptr<const std::string> *>(argument);
    };
    evbuffer_add_reference(output, body.data(), body.size(), release, owner);
}

void HttpClient::handleReadable(Connection &connection)
{
    evbuffer *input = bufferevent_get_input(connection.handle);
    while (connection.active != nullptr) {
        Active &active = *connection.active;
        const std::size_t size = evbuffer_get_contiguous_space(input);
        if (size == 0)
            return;
        const auto *bytes = reinterpret_cast<const char *>(
                evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        const std::size_t held = active.reader->bytesHeld();
        evbuffer_drain(input, active.reader->feed({bytes, size}));
        bytesHeld_ += active.reader->bytesHeld() - held;
        if (active.reader->state() == ResponseReader::State::Complete)
            handleResponse(active);
        else if (active.reader->state() == ResponseReader::State::Malformed)
            fail(active, "the server sent bytes that are no response");
        if (bytesHeld_ > maximumBytesHeld_)
            failLargest();
    }
    // Nobody asked for these bytes: no request may follow on this connection.
    if (evbuffer_get_length(input) > 0)
        dropIdle(connection);
}

void HttpClient::failLargest()
{
    const auto largest = std::ranges::max_element(
            active_, {}, [](const auto &entry) { return entry.second->reader->bytesHeld(); });
    if (largest != active_.end())
        fail(*largest->second, "the server's responses exceed the memory for them");
}

void HttpClient::handleResponse(Active &active)
{
    bytesHeld_ -= active.reader->bytesHeld();
    HttpResponse response = active.reader->take();
    const EchoedHeader &echo = active.rules.echo;
    const bool expectsEcho = !echo.name.empty();
    const std::string_view echoed = expectsEcho ? findHeader(response.headers, echo.name) : "";
    const bool isTied = expectsEcho && echoed == echo.value;
    if (!echoed.empty() && !isTied) {
        // A late second response to the request before. The one that is due may still follow.
        if (++active.skipped > maximumSkipped) {
            fail(active, "the server sends responses to other requests");
            return;
        }
        active.reader = std::make_unique<ResponseReader>(active.method, maximumBodySize_);
        return;
    }
    Connection &connection = *active.connection;
    const bool isFirst = !std::exchange(connection.hasAnswered, true);
    if (expectsEcho && !isTied && (!isFirst || active.skipped > 0)) {
        fail(active, "the response does not say to which request it belongs");
        return;
    }
    connection.idleLimit = idleLimitOf(response.headers);
    const bool isQuiet = evbuffer_get_length(bufferevent_get_input(connection.handle)) == 0
                         && !connection.hasUnsentBytes();
    const bool isTrusted = !expectsEcho && trustsServer_;
    if (isTied && isFailure(response.status))
        connection.noteFailure(echoed);
    const bool isReusable = (isTied || isTrusted) && active.skipped == 0 && isQuiet
                            && active.reader->keepsConnection();
    finish(active, std::move(response), isReusable);
}

void HttpClient::handleEvent(Connection &connection, short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        disableNagle(bufferevent_getfd(connection.handle));
        if (detectsSilence_)
            failWhenSilent(bufferevent_getfd(connection.handle));
        connection.writer->start();
        return;
    }
    if (connection.active == nullptr) {
        dropIdle(connection);
        return;
    }
    Active &active = *connection.active;
    // A reset cuts a body without a length; only an orderly close ends it, after the whole request.
    if ((what & BEV_EVENT_EOF) != 0 && active.rules.bodyEnd == BodyEnd::FramedOrClose
        && connection.isRequestReceived())
        active.reader->finishAtClose();
    if (active.reader->state() == ResponseReader::State::Complete)
        handleResponse(active);
    if (connection.active != nullptr)
        fail(active, "the connection failed before a whole response came");
}

void HttpClient::fail(Active &active, std::string message)
{
    auto stage = HttpFailure::Stage::Sent;
    if (active.connection->bytesSent == 0)
        stage = HttpFailure::Stage::NotSent;
    else if (active.reader->state() != ResponseReader::State::Empty)
        stage = HttpFailure::Stage::Incomplete;
    finish(active, HttpFailure{stage, std::move(message)}, false);
}

void HttpClient::cancel(RequestId id)
{
    const auto found = active_.find(id);
    if (found == active_.end())
        return;
    Active &active = *found->second;
    const auto stage = active.connection->bytesSent == 0 ? HttpFailure::Stage::NotSent
                                                         : HttpFailure::Stage::Sent;
    finish(active, HttpFailure{stage, "cancelled"}, false);
}

std::size_t HttpClient::unsent() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            active_, [](const auto &entry) { return entry.second->connection->bytesSent == 0; }));
}

void HttpClient::failUnsent(const std::string &message)
{
    std::vector<Active *> unsent;
    for (const auto &[id, active] : active_) {
        if (active->connection->bytesSent == 0)
            unsent.push_back(active.get());
    }
    for (Active *active : unsent)
        fail(*active, message);
}

void HttpClient::keepIdle(std::unique_ptr<Connection> connection)
{
    connection->idleFor = Milliseconds(0);
    idle_.push_back(std::move(connection));
    if (!idleTimer_.isActive())
        idleTimer_ = loop_.every(idleCheckInterval, [this] { ageIdle(); });
}

void HttpClient::ageIdle()
{
    std::erase_if(idle_, [](const auto &connection) {
        connection->idleFor += idleCheckInterval;
        return connection->idleFor >= connection->idleLimit;
    });
    if (idle_.empty())
        idleTimer_.cancel();
}

void HttpClient::dropIdle(const Connection &connection)
{
    std::erase_if(idle_, [&](const auto &idle) { return idle.get() == &connection; });
}

void HttpClient::finish(Active &active, Outcome outcome, bool isReusable)
{
    const auto found = active_.find(active.id);
    std::shared_ptr<Active> ended = std::move(found->second);
    active_.erase(found);
    bytesHeld_ -= ended->reader->bytesHeld();
    ended->limit.cancel();
    std::unique_ptr<Connection> connection = std::move(ended->connection);
    if (connection != nullptr)
        connection->active = nullptr;
    if (isReusable && idle_.size() < maximumIdleConnections) {
        keepIdle(std::move(connection));
    } else if (connection != nullptr) {
        // No further event may reach a connection that waits to be freed.
        connection->writer->stop();
        bufferevent_disable(connection->handle, EV_READ | EV_WRITE);
        bufferevent_setcb(connection->handle, nullptr, nullptr, nullptr, nullptr);
    }
    // The connection is freed outside its own callbacks.
    loop_.post([ended = std::move(ended), gone = std::shared_ptr(std::move(connection)),
                outcome = std::move(outcome)]() mutable {
        gone.reset();
        ended->callback(std::move(outcome));
    });
}

} // namespace chive
