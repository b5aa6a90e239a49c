#include <LibHttp/HttpClient.h>
#include <LibKernel/EventLoop.h>
#include <LibNode/Dialect.h>

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace chive;

namespace {

constexpr std::size_t bodyLimit = 1024 * 1024;
constexpr Milliseconds patience{300};
const Endpoint endpoint{"127.0.0.1", 19'481};

const Dialect &dialect()
{
    const Dialect *found = Registry<Dialect>::find("platform");
    REQUIRE(found != nullptr);
    return *found;
}

/// Whose id a response of the target bears; empty: none.
std::string idLine(std::string_view id)
{
    return id.empty() ? std::string() : "X-Chiverouter-Attempt-Id: " + std::string(id) + "\r\n";
}

std::string refusal(std::string_view id)
{
    return "HTTP/1.1 503 Service Unavailable\r\nX-Chiverouter-Not-Executed: 1\r\n" + idLine(id)
           + "Content-Length: 0\r\n\r\n";
}

std::string misdirected(std::string_view id)
{
    return "HTTP/1.1 421 Misdirected Request\r\n" + idLine(id) + "Content-Length: 0\r\n\r\n";
}

std::string answer(std::string_view id)
{
    return "HTTP/1.1 200 OK\r\nX-Chiverouter-Response-Stamp: s\r\n" + idLine(id)
           + "Content-Length: 3\r\n\r\nran";
}

/// A target whose answers a test writes byte by byte.
class ScriptedTarget
{
public:
    struct Connection
    {
        ScriptedTarget *target = nullptr;
        bufferevent *handle = nullptr;
        int requests = 0;

        void write(std::string_view bytes) const
        {
            bufferevent_write(handle, bytes.data(), bytes.size());
        }
    };
    using Script = std::function<void(Connection &connection)>;

    ScriptedTarget(EventLoop &loop, Script onRequest, Script onAccept = {})
        : onRequest_(std::move(onRequest))
        , onAccept_(std::move(onAccept))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener_ = evconnlistener_new_bind(loop.base(), accept, this,
                                            LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
                                            reinterpret_cast<sockaddr *>(&address), sizeof address);
        REQUIRE(listener_ != nullptr);
    }
    ~ScriptedTarget()
    {
        for (const auto &connection : connections_)
            bufferevent_free(connection->handle);
        evconnlistener_free(listener_);
    }
    ScriptedTarget(const ScriptedTarget &) = delete;
    ScriptedTarget &operator=(const ScriptedTarget &) = delete;

    [[nodiscard]] std::size_t connections() const { return connections_.size(); }

private:
    static void accept(evconnlistener *listener, evutil_socket_t socket, sockaddr *, int,
                       void *argument)
    {
        auto *self = static_cast<ScriptedTarget *>(argument);
        auto connection = std::make_unique<Connection>();
        connection->target = self;
        connection->handle = bufferevent_socket_new(evconnlistener_get_base(listener), socket,
                                                    BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(connection->handle, handleRead, nullptr, nullptr, connection.get());
        bufferevent_enable(connection->handle, EV_READ | EV_WRITE);
        self->connections_.push_back(std::move(connection));
        if (self->onAccept_)
            self->onAccept_(*self->connections_.back());
    }

    static void handleRead(bufferevent *handle, void *argument)
    {
        auto *connection = static_cast<Connection *>(argument);
        evbuffer *input = bufferevent_get_input(handle);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_copyout(input, bytes.data(), bytes.size());
        constexpr std::string_view headEnd = "\r\n\r\n";
        const auto end = bytes.find(headEnd);
        if (end == std::string::npos)
            return;
        evbuffer_drain(input, end + headEnd.size());
        ++connection->requests;
        connection->target->onRequest_(*connection);
    }

    Script onRequest_;
    Script onAccept_;
    std::vector<std::unique_ptr<Connection>> connections_;
    evconnlistener *listener_ = nullptr;
};

Judged<Answer> call(EventLoop &loop, HttpClient &client, std::string_view id)
{
    const HttpRequest request{"GET", "/", {{"X-Chiverouter-Attempt-Id", std::string(id)}}, nullptr};
    std::optional<HttpClient::Outcome> result;
    client.send(
            request, patience,
            [&](HttpClient::Outcome outcome) {
                result = std::move(outcome);
                loop.stop();
            },
            rulesFor(dialect(), request));
    loop.run();
    REQUIRE(result.has_value());
    if (result->has_value())
        return dialect().readAnswer(std::move(result->value()));
    if (result->error().stage == HttpFailure::Stage::NotSent)
        return notRun(Reason::TargetUnreachable, result->error().message);
    return mayHaveRun(Reason::TargetFailed, result->error().message);
}

bool isRefusal(const Judged<Answer> &result)
{
    return !result.has_value() && result.error().execution == Execution::NotRun;
}

void letPass(EventLoop &loop, Milliseconds time)
{
    const Timer timer = loop.after(time, [&] { loop.stop(); });
    loop.run();
}

using Connection = ScriptedTarget::Connection;

} // namespace

TEST_CASE("A refusal written once more refuses no other request")
{
    EventLoop loop;
    HttpClient client(loop, endpoint, bodyLimit);

    SUBCASE("with the earlier request's id, while the next request runs")
    {
        const ScriptedTarget target(loop, [](Connection &connection) {
            connection.write(refusal("first"));
            if (connection.requests == 2)
                connection.write(answer("second"));
        });
        CHECK(isRefusal(call(loop, client, "first")));
        const auto second = call(loop, client, "second");
        REQUIRE(second.has_value());
        CHECK(bytesOf(second.value().body) == "ran");
        CHECK(target.connections() == 1);
    }

    SUBCASE("with no id, while the next request runs")
    {
        const ScriptedTarget target(loop, [](Connection &connection) {
            connection.write(refusal(connection.requests == 1 ? "first" : ""));
        });
        CHECK(isRefusal(call(loop, client, "first")));
        const auto second = call(loop, client, "second");
        REQUIRE_FALSE(second.has_value());
        CHECK(second.error().execution == Execution::MayHaveRun);
    }

    SUBCASE("with no id and status 421 after a late answer to another request")
    {
        const ScriptedTarget target(loop, [](Connection &connection) {
            connection.write(answer("first"));
            if (connection.requests == 2)
                connection.write(misdirected(""));
        });
        CHECK(call(loop, client, "first").has_value());
        const auto second = call(loop, client, "second");
        REQUIRE_FALSE(second.has_value());
        CHECK(second.error().execution == Execution::MayHaveRun);
    }

    SUBCASE("with the same id, where the same request comes again and runs")
    {
        const ScriptedTarget target(loop, [](Connection &connection) {
            const bool isRefused = connection.target->connections() == 1;
            connection.write(isRefused ? refusal("same") : answer("same"));
        });
        CHECK(isRefusal(call(loop, client, "same")));
        CHECK(call(loop, client, "same").has_value());
        CHECK(target.connections() == 2);
    }

    SUBCASE("with the same id, where that request comes again after others")
    {
        const ScriptedTarget target(loop, [](Connection &connection) {
            if (connection.target->connections() == 2)
                connection.write(answer("same"));
            else if (connection.requests == 2)
                connection.write(answer("second"));
            else
                connection.write(refusal("same"));
        });
        CHECK(isRefusal(call(loop, client, "same")));
        CHECK(call(loop, client, "second").has_value());
        CHECK(call(loop, client, "same").has_value());
        CHECK(target.connections() == 2);
    }

    SUBCASE("before the next request is written")
    {
        const ScriptedTarget target(loop, [&](Connection &connection) {
            if (connection.target->connections() == 2) {
                connection.write(answer("second"));
                return;
            }
            connection.write(refusal("first"));
            loop.post([&connection] { connection.write(refusal("")); });
        });
        CHECK(isRefusal(call(loop, client, "first")));
        letPass(loop, Milliseconds(20));
        CHECK(call(loop, client, "second").has_value());
        CHECK(target.connections() == 2);
    }

    SUBCASE("in the same segment as the answer before it")
    {
        const ScriptedTarget target(loop, [](Connection &connection) {
            const bool isFirst = connection.target->connections() == 1;
            connection.write(isFirst ? answer("first") + refusal("") : answer("second"));
        });
        CHECK(call(loop, client, "first").has_value());
        CHECK(call(loop, client, "second").has_value());
    }
}

TEST_CASE("A refusal that names no request proves nothing, also as a connection's first response")
{
    EventLoop loop;
    HttpClient client(loop, endpoint, bodyLimit);
    std::string bytes;
    SUBCASE("status 503, in answer to the request")
    {
        bytes = refusal("");
    }
    SUBCASE("status 421, in answer to the request")
    {
        bytes = misdirected("");
    }
    const ScriptedTarget target(loop, [&](Connection &connection) { connection.write(bytes); });
    const auto result = call(loop, client, "first");
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().execution == Execution::MayHaveRun);
}

TEST_CASE("A refusal that was written before any request was read proves nothing")
{
    EventLoop loop;
    HttpClient client(loop, endpoint, bodyLimit);
    const ScriptedTarget target(
            loop, [](Connection &) {},
            [](Connection &connection) { connection.write(refusal("")); });
    const auto result = call(loop, client, "first");
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().execution == Execution::MayHaveRun);
}
