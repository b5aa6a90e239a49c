#include <LibLink/WebSocketSession.h>

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include <utility>

namespace chive {

namespace {

constexpr std::size_t maximumHandshakeBody = 4096;

/// The library's own configuration, without its locks: a session lives on one thread.
template<typename Base>
struct Unlocked : Base
{
    using type = Unlocked;
    using base = Base;
    using concurrency_type = websocketpp::concurrency::none;
    using alog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::alevel>;
    using elog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::elevel>;

    // NOLINTNEXTLINE(readability-identifier-naming): the library looks it up by this name.
    struct transport_config : Base::transport_config
    {
        using concurrency_type = typename Unlocked::concurrency_type;
        using elog_type = typename Unlocked::elog_type;
        using alog_type = typename Unlocked::alog_type;
    };
    using transport_type = websocketpp::transport::iostream::endpoint<transport_config>;
};

using Server = websocketpp::server<Unlocked<websocketpp::config::core>>;
using Client = websocketpp::client<Unlocked<websocketpp::config::core_client>>;

} // namespace

class WebSocketSession::Implementation
{
public:
    virtual ~Implementation() = default;
    virtual void start() = 0;
    virtual void feed(std::string_view bytes) = 0;
    virtual bool send(std::string_view message) = 0;
};

namespace {

template<typename Connection>
void prepare(Connection &connection, std::size_t maximumMessageSize,
             const WebSocketSession::Events &events)
{
    connection.set_max_message_size(maximumMessageSize);
    connection.set_write_handler(
            [&events](const websocketpp::connection_hdl &, const char *bytes, std::size_t size) {
                events.writeBytes(std::string_view(bytes, size));
                return websocketpp::lib::error_code();
            });
    connection.set_open_handler(
            [&events](const websocketpp::connection_hdl &) { events.opened(); });
    connection.set_message_handler(
            [&events](const websocketpp::connection_hdl &, const auto &message) {
                events.received(message->get_payload());
            });
    connection.set_fail_handler(
            [&events](const websocketpp::connection_hdl &) { events.failed(); });
    connection.set_close_handler(
            [&events](const websocketpp::connection_hdl &) { events.failed(); });
}

template<typename Endpoint>
void silence(Endpoint &endpoint)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.set_max_http_body_size(maximumHandshakeBody);
}

} // namespace

/// One session as either endpoint type of the library.
template<typename Endpoint>
class SessionOf final : public WebSocketSession::Implementation
{
public:
    SessionOf(std::size_t maximumMessageSize, WebSocketSession::Events events)
        : events_(std::move(events))
    {
        silence(endpoint_);
        connection_ = makeConnection(endpoint_);
        prepare(*connection_, maximumMessageSize, events_);
    }

    void start() override { begin(endpoint_, connection_); }

    void feed(std::string_view bytes) override
    {
        // A callback may drop the session's last outside owner; the connection must outlive it.
        const auto connection = connection_;
        connection->read_all(bytes.data(), bytes.size());
    }

    bool send(std::string_view message) override
    {
        const auto error = connection_->send(message.data(), message.size(),
                                             websocketpp::frame::opcode::binary);
        return !error;
    }

private:
    static Server::connection_ptr makeConnection(Server &server) { return server.get_connection(); }
    static Client::connection_ptr makeConnection(Client &client)
    {
        websocketpp::lib::error_code error;
        return client.get_connection("ws://node/", error);
    }
    static void begin(Server &, const Server::connection_ptr &connection) { connection->start(); }
    static void begin(Client &client, const Client::connection_ptr &connection)
    {
        client.connect(connection);
    }

    WebSocketSession::Events events_;
    Endpoint endpoint_;
    typename Endpoint::connection_ptr connection_;
};

WebSocketSession::WebSocketSession(WebSocketRole role, std::size_t maximumMessageSize,
                                   Events events)
{
    if (role == WebSocketRole::Server)
        implementation_
                = std::make_unique<SessionOf<Server>>(maximumMessageSize, std::move(events));
    else
        implementation_
                = std::make_unique<SessionOf<Client>>(maximumMessageSize, std::move(events));
}

WebSocketSession::~WebSocketSession() = default;

void WebSocketSession::start()
{
    implementation_->start();
}

void WebSocketSession::feed(std::string_view bytes)
{
    implementation_->feed(bytes);
}

bool WebSocketSession::send(std::string_view message)
{
    return implementation_->send(message);
}

} // namespace chive
