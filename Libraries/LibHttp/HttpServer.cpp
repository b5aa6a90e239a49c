#include <LibHttp/HttpServer.h>

#include <LibKernel/EventLoop.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace chive {

namespace {

constexpr std::size_t maximumHeaderBytes = 64 * 1024;
/// The records of closed connections are let go this often. Their sockets stay open until then.
constexpr Milliseconds checkInterval{100};
/// The first check of an idle time comes before a whole interval has passed, and the next one may
/// come early when the one before it was late.
constexpr Milliseconds idleMargin = 2 * checkInterval;

std::string methodName(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "OTHER";
    }
}

HttpRequest readRequest(evhttp_request *request)
{
    HttpRequest result;
    result.method = methodName(evhttp_request_get_command(request));
    result.target = evhttp_request_get_uri(request);
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    for (const evkeyval *header = headers->tqh_first; header != nullptr;
         header = header->next.tqe_next)
        result.headers.emplace_back(header->key, header->value);
    evbuffer *input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    result.body = makeBody(std::move(body));
    return result;
}

/// A listener of evhttp passes on its evhttp only.
std::map<const void *, HttpServer *> &serversByHandle()
{
    static std::map<const void *, HttpServer *> servers;
    return servers;
}

/// The framing of a response belongs to this connection, not to the answer that it carries.
bool isFramingHeader(std::string_view name)
{
    return isSameHeaderName(name, "Content-Length") || isSameHeaderName(name, "Transfer-Encoding")
           || isSameHeaderName(name, "Connection");
}

} // namespace

HttpExchange::HttpExchange(evhttp_request *request, std::shared_ptr<const bool> closesAfter,
                           ConnectionUse connectionUse)
    : request_(request)
    , closesAfter_(std::move(closesAfter))
    , connectionUse_(connectionUse)
{
    evhttp_connection *connection = evhttp_request_get_connection(request);
    bufferevent *buffer = evhttp_connection_get_bufferevent(connection);
    // evhttp does not read while a response is owed, so it does not see the peer leave, and its
    // own reads must not be enabled: pipelined bytes in that state end the process.
    const auto onClosed = [](evutil_socket_t, short, void *argument) {
        static_cast<HttpExchange *>(argument)->handleClosed();
    };
    closed_ = event_new(evhttp_connection_get_base(connection), bufferevent_getfd(buffer),
                        EV_CLOSED, onClosed, this);
    event_add(closed_, nullptr);
    // The library frees the request with its connection, a timeout or the end of the server.
    const auto onFreed = [](evhttp_connection *, void *argument) {
        auto *self = static_cast<HttpExchange *>(argument);
        self->request_ = nullptr;
        self->handleClosed();
    };
    evhttp_connection_set_closecb(connection, onFreed, this);
}

HttpExchange::~HttpExchange()
{
    if (request_ != nullptr)
        respond({500, {}, nullptr});
}

void HttpExchange::handleClosed()
{
    if (closed_ != nullptr)
        event_free(std::exchange(closed_, nullptr));
    const auto callback = std::exchange(peerGone_, nullptr);
    if (callback)
        callback();
}

void HttpExchange::respond(const HttpResponse &response)
{
    if (request_ == nullptr)
        return;
    if (closed_ != nullptr)
        event_free(std::exchange(closed_, nullptr));
    evhttp_request *request = std::exchange(request_, nullptr);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    for (const auto &[name, value] : response.headers) {
        if (!isFramingHeader(name))
            evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    if (*closesAfter_)
        evhttp_add_header(headers, "Connection", "close");
    evbuffer *body = evbuffer_new();
    if (response.body && !response.body->empty()) {
        // The buffer keeps the shared body alive until its bytes are on the wire.
        auto *owner = new std::shared_ptr<const std::string>(response.body);
        const auto release = [](const void *, std::size_t, void *argument) {
            delete static_cast<std::shared_ptr<const std::string> *>(argument);
        };
        evbuffer_add_reference(body, response.body->data(), response.body->size(), release, owner);
    }
    evhttp_send_reply(request, response.status, nullptr, body);
    evbuffer_free(body);
}

void HttpExchange::writeRaw(std::string_view bytes)
{
    if (request_ == nullptr)
        return;
    evhttp_connection *connection = evhttp_request_get_connection(request_);
    const int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    [[maybe_unused]] const ssize_t sent = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

void HttpExchange::abandon()
{
    if (request_ == nullptr)
        return;
    evhttp_connection *connection = evhttp_request_get_connection(request_);
    shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), SHUT_RDWR);
    // The library closes the connection when it fails to write this response.
    respond({500, {}, nullptr});
}

HttpServer::HttpServer(EventLoop &loop, Handler handler)
    : server_(evhttp_new(loop.base()))
    , handler_(std::move(handler))
    , loop_(loop)
{
    serversByHandle().emplace(server_, this);
}

HttpServer::~HttpServer()
{
    serversByHandle().erase(server_);
    evhttp_free(server_);
}

HttpServer::Connection::Connection(bufferevent *handle, DescriptorShare *share)
    : handle(handle)
{
    if (share != nullptr)
        lease = DescriptorLease(*share);
    bufferevent_incref(handle);
    const auto onBytes = [](evbuffer *, const evbuffer_cb_info *info, void *argument) {
        if (info->n_added > 0)
            static_cast<Connection *>(argument)->isReceiving = true;
    };
    watch = evbuffer_add_cb(bufferevent_get_input(handle), onBytes, this);
}

HttpServer::Connection::~Connection()
{
    evbuffer_remove_cb_entry(bufferevent_get_input(handle), watch);
    bufferevent_decref(handle);
}

bool HttpServer::Connection::isIdle() const
{
    return !isReceiving && !isUnanswered && evbuffer_get_length(bufferevent_get_input(handle)) == 0;
}

bool HttpServer::Connection::hasUnreadBytes() const
{
    char byte = 0;
    return recv(bufferevent_getfd(handle), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool HttpServer::Connection::isClosed() const
{
    // evhttp takes its callbacks and their argument away from a connection that it frees. While it
    // writes a response only the read callback is missing.
    void *argument = nullptr;
    bufferevent_getcb(handle, nullptr, nullptr, nullptr, &argument);
    return argument == nullptr;
}

bufferevent *HttpServer::addConnection()
{
    // The record outlives evhttp's connection, with read events that libevent keeps. The descriptor
    // must not be closed before they are gone, or they take bytes from whoever gets it next.
    bufferevent *handle = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    const auto added = connections_.emplace(handle, std::make_unique<Connection>(handle, share_));
    added.first->second->idleOrder = ++lastIdleOrder_;
    if (share_ != nullptr && share_->isShort())
        makeRoomSoon();
    if (share_ != nullptr && share_->isFull())
        pauseAccepting();
    return handle;
}

void HttpServer::handleAcceptFailure()
{
    hasAcceptFailed_ = true;
    pauseAccepting();
}

void HttpServer::pauseAccepting()
{
    if (isPaused_ || socket_ == nullptr)
        return;
    isPaused_ = true;
    evconnlistener_disable(evhttp_bound_socket_get_listener(socket_));
    if (share_ != nullptr)
        share_->noteRefused();
}

void HttpServer::resumeAccepting()
{
    const bool isFull = share_ != nullptr && share_->isFull();
    if (!isPaused_ || hasAcceptFailed_ || isFull || socket_ == nullptr)
        return;
    isPaused_ = false;
    evconnlistener_enable(evhttp_bound_socket_get_listener(socket_));
}

void HttpServer::check()
{
    hasAcceptFailed_ = false;
    releaseClosed();
    closeTimedOut();
    makeRoom();
}

void HttpServer::closeTimedOut()
{
    const bool closesIdle = idleTimeout_ > Milliseconds(0) && !*closesAfter_;
    std::vector<bufferevent *> timedOut;
    for (const auto &[handle, connection] : connections_) {
        if (!connection->isIdle())
            continue;
        connection->idleFor += checkInterval;
        const bool isTimedOut = closesIdle && connection->idleFor >= idleTimeout_ + idleMargin;
        if (isTimedOut && !connection->hasUnreadBytes())
            timedOut.push_back(handle);
    }
    for (bufferevent *handle : timedOut)
        closeIdle(handle);
}

void HttpServer::releaseClosed()
{
    std::erase_if(connections_, [](const auto &entry) { return entry.second->isClosed(); });
    if (share_ != nullptr)
        share_->setIdle(idle());
    resumeAccepting();
}

void HttpServer::makeRoomSoon()
{
    if (makeRoomTimer_.isActive())
        return;
    // Not in evhttp's callbacks, in which it still uses its connections.
    makeRoomTimer_ = loop_.after(Milliseconds(0), [this] {
        makeRoomTimer_.cancel();
        makeRoom();
    });
}

void HttpServer::makeRoom()
{
    releaseClosed();
    if (share_ == nullptr || !share_->isShort())
        return;
    std::vector<const Connection *> longestIdle;
    for (const auto &[handle, connection] : connections_) {
        if (connection->isIdle())
            longestIdle.push_back(connection.get());
    }
    std::ranges::sort(longestIdle, {}, &Connection::idleOrder);
    for (const Connection *connection : longestIdle) {
        if (share_->hasEnough())
            break;
        if (connection->hasUnreadBytes())
            continue;
        closeIdle(connection->handle);
        share_->noteReclaimed();
    }
    share_->setIdle(idle());
    resumeAccepting();
}

void HttpServer::closeIdle(bufferevent *handle)
{
    // To evhttp this is the end of the input, at which it frees the connection without reading.
    bufferevent_trigger_event(handle, BEV_EVENT_EOF | BEV_EVENT_READING, 0);
    const auto found = connections_.find(handle);
    if (found->second->isClosed())
        connections_.erase(found);
}

std::size_t HttpServer::idle() const
{
    return std::count_if(connections_.begin(), connections_.end(),
                         [](const auto &entry) { return entry.second->isIdle(); });
}

std::size_t HttpServer::receiving()
{
    releaseClosed();
    return std::count_if(connections_.begin(), connections_.end(),
                         [](const auto &entry) { return entry.second->isReceiving; });
}

std::size_t HttpServer::unanswered()
{
    releaseClosed();
    return std::count_if(connections_.begin(), connections_.end(),
                         [](const auto &entry) { return entry.second->isUnanswered; });
}

HttpServer::Connection *HttpServer::connectionOf(evhttp_request *request)
{
    evhttp_connection *connection = evhttp_request_get_connection(request);
    const auto found = connections_.find(evhttp_connection_get_bufferevent(connection));
    return found == connections_.end() ? nullptr : found->second.get();
}

void HttpServer::handle(evhttp_request *request)
{
    auto use = HttpExchange::ConnectionUse::First;
    if (Connection *connection = connectionOf(request)) {
        // Bytes of the next request may have come with this one.
        connection->isReceiving
                = evbuffer_get_length(bufferevent_get_input(connection->handle)) > 0;
        connection->isUnanswered = true;
        use = std::exchange(connection->use, HttpExchange::ConnectionUse::Reused);
    }
    const auto onSent = [](evhttp_request *sent, void *argument) {
        static_cast<HttpServer *>(argument)->handleResponseSent(sent);
    };
    evhttp_request_set_on_complete_cb(request, onSent, this);
    handler_(readRequest(request), std::make_shared<HttpExchange>(request, closesAfter_, use));
}

void HttpServer::handleResponseSent(evhttp_request *request)
{
    if (Connection *connection = connectionOf(request)) {
        connection->isUnanswered = false;
        connection->idleFor = Milliseconds(0);
        connection->idleOrder = ++lastIdleOrder_;
    }
}

Result<std::unique_ptr<HttpServer>> HttpServer::listen(EventLoop &loop, const Endpoint &endpoint,
                                                       std::size_t maximumBodySize, Handler handler)
{
    std::unique_ptr<HttpServer> result(new HttpServer(loop, std::move(handler)));
    evhttp *server = result->server_;
    result->socket_ = evhttp_bind_socket_with_handle(server, endpoint.ip.c_str(), endpoint.port);
    if (result->socket_ == nullptr)
        return Error{Error::Kind::Unavailable, "cannot listen on " + format(endpoint)};
    evhttp_set_max_body_size(server, static_cast<ev_ssize_t>(maximumBodySize));
    evhttp_set_max_headers_size(server, maximumHeaderBytes);
    evhttp_set_allowed_methods(server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD
                                               | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
                                               | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS);
    const auto handle = [](evhttp_request *request, void *argument) {
        static_cast<HttpServer *>(argument)->handle(request);
    };
    evhttp_set_gencb(server, handle, result.get());
    const auto add = [](event_base *, void *argument) {
        return static_cast<HttpServer *>(argument)->addConnection();
    };
    evhttp_set_bevcb(server, add, result.get());
    // Without a callback libevent logs each failure and tries again at once.
    const auto onAcceptFailure = [](evconnlistener *, void *handle) {
        serversByHandle().at(handle)->handleAcceptFailure();
    };
    evconnlistener_set_error_cb(evhttp_bound_socket_get_listener(result->socket_), onAcceptFailure);
    HttpServer *self = result.get();
    self->checkTimer_ = loop.every(checkInterval, [self] { self->check(); });
    return result;
}

void HttpServer::closeAfterResponses()
{
    *closesAfter_ = true;
}

void HttpServer::stopAccepting()
{
    if (socket_ != nullptr)
        evhttp_del_accept_socket(server_, std::exchange(socket_, nullptr));
}

} // namespace chive
