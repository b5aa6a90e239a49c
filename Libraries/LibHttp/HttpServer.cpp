#include <LibHttp/HttpServer.h>

#include <LibKernel/Socket.h>

#include <event2/listener.h>

#include <algorithm>
#include <utility>

namespace chive {

namespace {

/// Connections that may wait in the kernel to be accepted.
constexpr int backlog = 512;
constexpr Milliseconds checkInterval{100};

} // namespace

HttpServer::HttpServer(EventLoop &loop, std::size_t maximumBodySize, Handler handler)
    : loop_(loop)
    , context_{loop}
{
    context_.maximumBodySize = maximumBodySize;
    context_.handler = std::move(handler);
    context_.onClosed = [this](HttpServerConnection &connection) { handleClosed(connection); };
}

HttpServer::~HttpServer()
{
    stopAccepting();
    // Closing a connection calls back into the server.
    while (!connections_.empty())
        connections_.begin()->second->close();
    closed_.clear();
}

void HttpServer::accept(int socket)
{
    auto connection = std::make_unique<HttpServerConnection>(context_, socket, share_);
    const HttpServerConnection *key = connection.get();
    connections_.emplace(key, std::move(connection));
    if (share_ != nullptr && share_->isShort())
        makeRoomSoon();
    if (share_ != nullptr && share_->isFull())
        pauseAccepting();
}

void HttpServer::handleAcceptFailure()
{
    hasAcceptFailed_ = true;
    pauseAccepting();
}

void HttpServer::pauseAccepting()
{
    if (isPaused_ || listener_ == nullptr)
        return;
    isPaused_ = true;
    evconnlistener_disable(listener_);
    if (share_ != nullptr)
        share_->noteRefused();
}

void HttpServer::resumeAccepting()
{
    const bool isFull = share_ != nullptr && share_->isFull();
    if (!isPaused_ || hasAcceptFailed_ || isFull || listener_ == nullptr)
        return;
    isPaused_ = false;
    evconnlistener_enable(listener_);
}

void HttpServer::handleClosed(const HttpServerConnection &connection)
{
    const auto found = connections_.find(&connection);
    if (found == connections_.end())
        return;
    closed_.push_back(std::move(found->second));
    connections_.erase(found);
    if (releaseTimer_.isActive())
        return;
    releaseTimer_ = loop_.after(Milliseconds(0), [this] {
        releaseTimer_.cancel();
        releaseClosed();
    });
}

void HttpServer::releaseClosed()
{
    // Destroying a connection may close others.
    for (auto closed = std::exchange(closed_, {}); !closed.empty();
         closed = std::exchange(closed_, {}))
        closed.clear();
    if (share_ != nullptr)
        share_->setIdle(idle());
    resumeAccepting();
}

void HttpServer::check()
{
    hasAcceptFailed_ = false;
    std::vector<HttpServerConnection *> open;
    open.reserve(connections_.size());
    for (const auto &[key, connection] : connections_)
        open.push_back(connection.get());
    // Those that close stay valid until releaseClosed().
    for (HttpServerConnection *connection : open)
        connection->checkTimeouts(checkInterval);
    releaseClosed();
    makeRoom();
}

void HttpServer::makeRoomSoon()
{
    if (makeRoomTimer_.isActive())
        return;
    makeRoomTimer_ = loop_.after(Milliseconds(0), [this] {
        makeRoomTimer_.cancel();
        makeRoom();
    });
}

void HttpServer::makeRoom()
{
    if (share_ == nullptr || !share_->isShort())
        return;
    std::vector<HttpServerConnection *> longestIdle;
    for (const auto &[key, connection] : connections_) {
        if (connection->isIdle() || connection->isLingering())
            longestIdle.push_back(connection.get());
    }
    std::ranges::sort(longestIdle, {}, &HttpServerConnection::idleOrder);
    for (HttpServerConnection *connection : longestIdle) {
        if (share_->hasEnough())
            break;
        if (connection->hasUnreadBytes())
            continue;
        connection->close();
        share_->noteReclaimed();
    }
    releaseClosed();
}

std::size_t HttpServer::idle() const
{
    return std::ranges::count_if(connections_,
                                 [](const auto &entry) { return entry.second->isIdle(); });
}

std::size_t HttpServer::receiving() const
{
    return std::ranges::count_if(connections_,
                                 [](const auto &entry) { return entry.second->isReceiving(); });
}

std::size_t HttpServer::unanswered() const
{
    std::size_t count = 0;
    for (const auto &[key, connection] : connections_)
        count += connection->unanswered();
    return count;
}

Result<std::unique_ptr<HttpServer>> HttpServer::listen(EventLoop &loop, const Endpoint &endpoint,
                                                       std::size_t maximumBodySize, Handler handler)
{
    std::unique_ptr<HttpServer> server(new HttpServer(loop, maximumBodySize, std::move(handler)));
    const auto onAccepted
            = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *argument) {
                  static_cast<HttpServer *>(argument)->accept(socket);
              };
    sockaddr_in address = addressOf(endpoint);
    constexpr unsigned flags = LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC;
    server->listener_
            = evconnlistener_new_bind(loop.base(), onAccepted, server.get(), flags, backlog,
                                      reinterpret_cast<sockaddr *>(&address), sizeof address);
    if (server->listener_ == nullptr)
        return Error{Error::Kind::Unavailable, "cannot listen on " + format(endpoint)};
    // Without a callback libevent logs each failure and tries again at once.
    const auto onAcceptFailure = [](evconnlistener *, void *argument) {
        static_cast<HttpServer *>(argument)->handleAcceptFailure();
    };
    evconnlistener_set_error_cb(server->listener_, onAcceptFailure);
    HttpServer *self = server.get();
    self->checkTimer_ = loop.every(checkInterval, [self] { self->check(); });
    return server;
}

void HttpServer::closeAfterResponses()
{
    context_.closesAfterResponses = true;
}

void HttpServer::stopAccepting()
{
    if (listener_ != nullptr)
        evconnlistener_free(std::exchange(listener_, nullptr));
}

} // namespace chive
