#include <FaultProxy/FaultProxy.h>

#include <FaultProxy/ProxyPipe.h>
#include <LibHttp/HttpServer.h>
#include <LibKernel/Socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace chive {

namespace {

/// Lets the bytes before a cut leave first.
constexpr Milliseconds cutDelay{20};
constexpr std::size_t maximumControlSize = 64 * 1024;

/// The close sends a reset in place of an orderly end, as a cut does.
void resetOnClose(int socket)
{
    const linger abort{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
}

} // namespace

/// A client's connection and the one to the server that belongs to it.
class FaultProxy::Connection
{
public:
    Connection(FaultProxy &proxy, std::uint64_t id, int socket)
        : proxy_(proxy)
        , id_(id)
        , client_(bufferevent_socket_new(proxy.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE))
        , server_(bufferevent_socket_new(proxy.loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE))
        , up_({proxy.loop_, proxy.clock_, proxy.faults_, proxy.random_}, Way::Up, server_,
              [this] { cut(); })
        , down_({proxy.loop_, proxy.clock_, proxy.faults_, proxy.random_}, Way::Down, client_,
                [this] { cut(); })
    {
        bufferevent_setcb(client_, handleRead, handleWritten, handleEvent, this);
        bufferevent_setcb(server_, handleRead, handleWritten, handleEvent, this);
        const sockaddr_in address = addressOf(proxy.options_.server);
        bufferevent_socket_connect(server_, reinterpret_cast<const sockaddr *>(&address),
                                   sizeof address);
        disableNagle(socket);
        disableNagle(bufferevent_getfd(server_));
        bufferevent_enable(client_, EV_READ | EV_WRITE);
        bufferevent_enable(server_, EV_READ | EV_WRITE);
    }
    ~Connection()
    {
        bufferevent_free(client_);
        bufferevent_free(server_);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void restartCount()
    {
        up_.restartCount();
        down_.restartCount();
    }

    void flush()
    {
        up_.flush();
        down_.flush();
    }

    void reset()
    {
        resetOnClose(bufferevent_getfd(client_));
        resetOnClose(bufferevent_getfd(server_));
    }

private:
    static void handleRead(bufferevent *source, void *argument)
    {
        auto *self = static_cast<Connection *>(argument);
        (source == self->client_ ? self->up_ : self->down_).take(source);
    }

    static void handleWritten(bufferevent *, void *argument)
    {
        static_cast<Connection *>(argument)->closeIfFinished();
    }

    static void handleEvent(bufferevent *source, short events, void *argument)
    {
        auto *self = static_cast<Connection *>(argument);
        if ((events & BEV_EVENT_ERROR) != 0) {
            self->proxy_.close(self->id_);
            return;
        }
        if ((events & BEV_EVENT_EOF) == 0)
            return;
        (source == self->client_ ? self->up_ : self->down_).takeEnd();
        self->closeIfFinished();
    }

    void closeIfFinished()
    {
        if (up_.isFinished())
            up_.flush();
        if (down_.isFinished())
            down_.flush();
        const bool isWritten = evbuffer_get_length(bufferevent_get_output(client_)) == 0
                               && evbuffer_get_length(bufferevent_get_output(server_)) == 0;
        if (up_.isFinished() && down_.isFinished() && isWritten)
            proxy_.close(id_);
    }

    void cut()
    {
        ++proxy_.cuts_;
        --proxy_.faults_.connectionsToCut;
        if (proxy_.faults_.connectionsToCut == 0)
            proxy_.faults_.apply(nlohmann::json::object());
        bufferevent_disable(client_, EV_READ);
        bufferevent_disable(server_, EV_READ);
        cutTimer_ = proxy_.loop_.after(cutDelay, [this] { proxy_.close(id_); });
    }

    FaultProxy &proxy_;
    std::uint64_t id_;
    bufferevent *client_;
    bufferevent *server_;
    ProxyPipe up_;
    ProxyPipe down_;
    Timer cutTimer_;
};

FaultProxy::FaultProxy(EventLoop &loop, const Clock &clock, Options options)
    : loop_(loop)
    , clock_(clock)
    , options_(std::move(options))
    , random_(options_.seed)
{}

FaultProxy::~FaultProxy()
{
    if (listener_ != nullptr)
        evconnlistener_free(listener_);
}

Result<void> FaultProxy::start()
{
    const auto onAccept
            = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *argument) {
                  static_cast<FaultProxy *>(argument)->accept(socket);
              };
    const sockaddr_in address = addressOf(options_.listen);
    listener_ = evconnlistener_new_bind(
            loop_.base(), onAccept, this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
            reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (listener_ == nullptr)
        return Error{Error::Kind::Unavailable, "cannot listen on " + format(options_.listen)};
    CHIVE_TRY(server, HttpServer::listen(loop_, options_.control, maximumControlSize,
                                         [this](const HttpRequest &request, const auto &exchange) {
                                             control(request, *exchange);
                                         }));
    controlServer_ = std::move(server);
    return outcome::success();
}

void FaultProxy::accept(int socket)
{
    if (faults_.isRefusing) {
        resetOnClose(socket);
        ::close(socket);
        return;
    }
    const std::uint64_t id = nextId_++;
    connections_.emplace(id, std::make_unique<Connection>(*this, id, socket));
}

void FaultProxy::close(std::uint64_t id)
{
    // The caller may stand inside this connection's callbacks.
    loop_.post([this, id] { connections_.erase(id); });
}

void FaultProxy::control(const HttpRequest &request, HttpExchange &exchange)
{
    const auto order = nlohmann::json::parse(bytesOf(request.body), nullptr, false);
    if (order.is_object()) {
        faults_.apply(order);
        for (const auto &[id, connection] : connections_) {
            connection->restartCount();
            connection->flush();
        }
        if (order.value("cut_all", false)) {
            cuts_ += connections_.size();
            for (const auto &[id, connection] : connections_)
                connection->reset();
            connections_.clear();
        }
    }
    const nlohmann::json report = {{"connections", connections_.size()}, {"cuts", cuts_}};
    exchange.respond({200, {{"Content-Type", "application/json"}}, makeBody(report.dump())});
}

} // namespace chive
