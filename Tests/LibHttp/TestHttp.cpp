#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>
#include <LibKernel/EventLoop.h>

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <optional>
#include <utility>
#include <vector>

using namespace chive;

namespace {

constexpr std::size_t bodyLimit = 1024 * 1024;
const Endpoint endpoint{"127.0.0.1", 19'471};
const Endpoint nobody{"127.0.0.1", 19'472};

/// A server that answers every connection with fixed bytes and closes it.
class RawServer
{
public:
    RawServer(EventLoop &loop, std::string bytes)
        : bytes_(std::move(bytes))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const auto accept = [](evconnlistener *listener, evutil_socket_t socket, sockaddr *, int,
                               void *argument) {
            auto *self = static_cast<RawServer *>(argument);
            bufferevent *peer = bufferevent_socket_new(evconnlistener_get_base(listener), socket,
                                                       BEV_OPT_CLOSE_ON_FREE);
            bufferevent_setcb(peer, handleRead, handleWritten, nullptr, self);
            bufferevent_enable(peer, EV_READ | EV_WRITE);
        };
        listener_ = evconnlistener_new_bind(loop.base(), accept, this,
                                            LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
                                            reinterpret_cast<sockaddr *>(&address), sizeof address);
        REQUIRE(listener_ != nullptr);
    }
    ~RawServer() { evconnlistener_free(listener_); }

private:
    static void handleRead(bufferevent *peer, void *argument)
    {
        evbuffer_drain(bufferevent_get_input(peer), bodyLimit);
        const auto &bytes = static_cast<RawServer *>(argument)->bytes_;
        bufferevent_write(peer, bytes.data(), bytes.size());
    }

    static void handleWritten(bufferevent *peer, void *) { bufferevent_free(peer); }

    std::string bytes_;
    evconnlistener *listener_ = nullptr;
};

/// A client that writes and reads when it is told to.
class RawPeer
{
public:
    explicit RawPeer(EventLoop &loop)
        : loop_(loop)
        , handle_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bufferevent_enable(handle_, EV_READ | EV_WRITE);
        bufferevent_socket_connect(handle_, reinterpret_cast<sockaddr *>(&address), sizeof address);
    }
    ~RawPeer() { close(); }
    RawPeer(const RawPeer &) = delete;
    RawPeer &operator=(const RawPeer &) = delete;

    void write(std::string_view bytes) { bufferevent_write(handle_, bytes.data(), bytes.size()); }
    void pauseReading() { bufferevent_disable(handle_, EV_READ); }
    void resumeReading() { bufferevent_enable(handle_, EV_READ); }
    [[nodiscard]] std::size_t received() const
    {
        return evbuffer_get_length(bufferevent_get_input(handle_));
    }
    void close()
    {
        if (handle_ != nullptr)
            bufferevent_free(std::exchange(handle_, nullptr));
    }

    void runFor(Milliseconds duration)
    {
        const Timer end = loop_.after(duration, [this] { loop_.stop(); });
        loop_.run();
    }

    /// Runs the loop until the condition holds; false when it did not within two seconds.
    template<typename Condition>
    bool runUntil(const Condition &condition)
    {
        for (int i = 0; i < 2000 && !condition(); ++i)
            runFor(Milliseconds(1));
        return condition();
    }

private:
    EventLoop &loop_;
    bufferevent *handle_;
};

HttpClient::Outcome exchange(EventLoop &loop, HttpClient &client, const HttpRequest &request)
{
    std::optional<HttpClient::Outcome> result;
    client.send(request, Milliseconds(2000), [&](HttpClient::Outcome outcome) {
        result = std::move(outcome);
        loop.stop();
    });
    loop.run();
    REQUIRE(result.has_value());
    return std::move(*result);
}

} // namespace

TEST_CASE("A request is answered whole")
{
    EventLoop loop;
    auto server = HttpServer::listen(
            loop, endpoint, bodyLimit, [](const HttpRequest &request, const auto &exchange) {
                exchange->respond({201, {{"X-Target", request.target}}, request.body});
            });
    REQUIRE(server.has_value());
    HttpClient client(loop, endpoint, bodyLimit);

    SUBCASE("with its own body, and again over the kept connection")
    {
        for (int round = 0; round < 3; ++round) {
            HttpRequest request{"POST", "/a?b=c", {}, makeBody(std::string(100'000, 'x'))};
            const auto outcome = exchange(loop, client, request);
            REQUIRE(outcome.has_value());
            CHECK(outcome.value().status == 201);
            CHECK(findHeader(outcome.value().headers, "x-target") == "/a?b=c");
            CHECK(bytesOf(outcome.value().body) == *request.body);
        }
    }

    SUBCASE("a body over the limit is refused")
    {
        HttpClient generous(loop, endpoint, 4 * bodyLimit);
        HttpRequest request{"POST", "/", {}, makeBody(std::string(2 * bodyLimit, 'x'))};
        const auto outcome = exchange(loop, generous, request);
        CHECK((!outcome.has_value() || outcome.value().status == 413));
    }
}

TEST_CASE("A caller that leaves is noticed before it is answered")
{
    EventLoop loop;
    bool isGone = false;
    HttpClient::RequestId sent = 0;
    std::shared_ptr<HttpExchange> pending;
    HttpClient client(loop, endpoint, bodyLimit);
    auto server = HttpServer::listen(loop, endpoint, bodyLimit,
                                     [&](const HttpRequest &, const auto &exchange) {
                                         pending = exchange;
                                         exchange->onPeerGone([&] {
                                             isGone = true;
                                             loop.stop();
                                         });
                                         client.cancel(sent);
                                     });
    REQUIRE(server.has_value());
    sent = client.send({}, Milliseconds(2000), [](const auto &) {});
    const Timer limit = loop.after(Milliseconds(2000), [&] { loop.stop(); });
    loop.run();
    CHECK(isGone);
}

TEST_CASE("An id of one client cancels nothing at another")
{
    EventLoop loop;
    HttpClient before(loop, nobody, bodyLimit);
    HttpClient after(loop, nobody, bodyLimit);
    const auto old = before.send({}, Milliseconds(2000), [](const auto &) {});
    const auto current = after.send({}, Milliseconds(2000), [](const auto &) {});
    CHECK(old != current);
    after.cancel(old);
    CHECK(after.inFlight() == 1);
}

TEST_CASE("A failed request says whether any of it was sent")
{
    EventLoop loop;

    SUBCASE("nothing, when nobody listens")
    {
        HttpClient client(loop, nobody, bodyLimit);
        const auto outcome = exchange(loop, client, {});
        REQUIRE_FALSE(outcome.has_value());
        CHECK(outcome.error().stage == HttpFailure::Stage::NotSent);
    }

    SUBCASE("something, when the server closes without an answer")
    {
        const RawServer server(loop, "");
        HttpClient client(loop, endpoint, bodyLimit);
        HttpRequest request;
        std::optional<HttpClient::Outcome> result;
        const auto id = client.send(request, Milliseconds(500), [&](auto outcome) {
            result = std::move(outcome);
            loop.stop();
        });
        const Timer limit = loop.after(Milliseconds(200), [&] { client.cancel(id); });
        loop.run();
        REQUIRE_FALSE(result->has_value());
        CHECK(result->error().stage == HttpFailure::Stage::Sent);
    }
}

TEST_CASE("A cut response is never taken for a whole one")
{
    EventLoop loop;
    std::string bytes;
    SUBCASE("shorter than its Content-Length")
    {
        bytes = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort";
    }
    SUBCASE("chunked without its last chunk")
    {
        bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n";
    }
    SUBCASE("ended only by the close of the connection")
    {
        bytes = "HTTP/1.1 200 OK\r\n\r\nshort";
    }
    const RawServer server(loop, bytes);
    HttpClient client(loop, endpoint, bodyLimit);
    const auto outcome = exchange(loop, client, {});
    REQUIRE_FALSE(outcome.has_value());
    CHECK(outcome.error().stage != HttpFailure::Stage::NotSent);
}

TEST_CASE("A response that comes twice is never taken for the answer to the next request")
{
    EventLoop loop;
    const auto repeatFirst = [](const HttpRequest &request, const auto &exchange) {
        if (request.target == "/first")
            exchange->writeRaw("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n/first");
        exchange->respond({200, {}, makeBody(request.target)});
    };
    auto server = HttpServer::listen(loop, endpoint, bodyLimit, repeatFirst);
    REQUIRE(server.has_value());
    HttpClient client(loop, endpoint, bodyLimit);
    for (int round = 0; round < 20; ++round) {
        const auto first = exchange(loop, client, {"GET", "/first", {}, nullptr});
        REQUIRE(first.has_value());
        CHECK(bytesOf(first.value().body) == "/first");
        const auto second = exchange(loop, client, {"GET", "/second", {}, nullptr});
        REQUIRE(second.has_value());
        CHECK(bytesOf(second.value().body) == "/second");
    }
}

TEST_CASE("A closed connection takes no bytes from whoever gets its descriptor next")
{
    EventLoop loop;
    auto server = HttpServer::listen(loop, endpoint, bodyLimit,
                                     [](const HttpRequest &, const auto &exchange) {
                                         exchange->respond({200, {}, nullptr});
                                     });
    REQUIRE(server.has_value());
    server.value()->closeAfterResponses();
    for (int round = 0; round < 5; ++round) {
        {
            HttpClient client(loop, endpoint, bodyLimit);
            REQUIRE(exchange(loop, client, {}).has_value());
        }
        const Timer closed = loop.after(Milliseconds(20), [&] { loop.stop(); });
        loop.run();
        // New descriptors get the lowest numbers that are free, so one of them is the server's.
        std::array<std::array<bufferevent *, 2>, 8> pairs{};
        const std::string bytes(60'000, 'x'); // More than libevent reads at once.
        for (auto &pair : pairs) {
            std::array<int, 2> sockets{};
            REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets.data()) == 0);
            for (std::size_t i = 0; i < pair.size(); ++i) {
                pair[i] = bufferevent_socket_new(loop.base(), sockets[i], BEV_OPT_CLOSE_ON_FREE);
                bufferevent_enable(pair[i], EV_READ | EV_WRITE);
                bufferevent_write(pair[i], bytes.data(), bytes.size());
            }
        }
        const Timer taken = loop.after(Milliseconds(20), [&] { loop.stop(); });
        loop.run();
        for (const auto &pair : pairs) {
            for (bufferevent *end : pair) {
                CHECK(evbuffer_get_length(bufferevent_get_input(end)) == bytes.size());
                bufferevent_free(end);
            }
        }
    }
}

TEST_CASE("The server tells how many requests are still being received")
{
    EventLoop loop;
    std::size_t served = 0;
    auto server = HttpServer::listen(loop, endpoint, bodyLimit,
                                     [&](const HttpRequest &request, const auto &exchange) {
                                         ++served;
                                         exchange->respond({200, {}, request.body});
                                     });
    REQUIRE(server.has_value());
    CHECK(server.value()->receiving() == 0);
    bufferevent *peer = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bufferevent_enable(peer, EV_READ | EV_WRITE);
    bufferevent_socket_connect(peer, reinterpret_cast<sockaddr *>(&address), sizeof address);
    const auto runUntil = [&](const auto &condition) {
        for (int i = 0; i < 2000 && !condition(); ++i) {
            const Timer step = loop.after(Milliseconds(1), [&] { loop.stop(); });
            loop.run();
        }
        return condition();
    };
    const auto write
            = [&](std::string_view bytes) { bufferevent_write(peer, bytes.data(), bytes.size()); };

    SUBCASE("one with a part of its body, none once it is whole, again on the next")
    {
        for (std::size_t round = 1; round <= 3; ++round) {
            write("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
            CHECK(runUntil([&] { return server.value()->receiving() == 1; }));
            write("cd");
            CHECK(runUntil([&] { return served == round; }));
            CHECK(server.value()->receiving() == 0);
        }
        bufferevent_free(peer);
    }

    SUBCASE("none when the peer leaves in the middle")
    {
        write("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
        CHECK(runUntil([&] { return server.value()->receiving() == 1; }));
        bufferevent_free(peer);
        CHECK(runUntil([&] { return server.value()->receiving() == 0; }));
        CHECK(served == 0);
    }

    SUBCASE("and looks at it while a long response is being written")
    {
        const std::string body(bodyLimit - 100, 'x');
        write("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
              + body);
        CHECK(runUntil([&] { return served == 1; }));
        bufferevent_disable(peer, EV_READ);
        CHECK(runUntil([&] { return server.value()->receiving() == 0; }));
        bufferevent_enable(peer, EV_READ);
        CHECK(runUntil(
                [&] { return evbuffer_get_length(bufferevent_get_input(peer)) > body.size(); }));
        write("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
        CHECK(runUntil([&] { return server.value()->receiving() == 1; }));
        bufferevent_free(peer);
    }
}

TEST_CASE("The server tells how many requests have not got their whole response")
{
    EventLoop loop;
    constexpr std::size_t largeBody = 16 * bodyLimit; // More than the sockets hold.
    std::vector<std::shared_ptr<HttpExchange>> pending;
    auto server = HttpServer::listen(
            loop, endpoint, bodyLimit,
            [&](const HttpRequest &, const auto &exchange) { pending.push_back(exchange); });
    REQUIRE(server.has_value());
    HttpServer &counted = *server.value();
    CHECK(counted.unanswered() == 0);
    RawPeer peer(loop);
    peer.write("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
    REQUIRE(peer.runUntil([&] { return counted.receiving() == 1; }));
    CHECK(counted.unanswered() == 0);
    peer.write("cd");
    REQUIRE(peer.runUntil([&] { return pending.size() == 1; }));
    CHECK(counted.receiving() == 0);
    CHECK(counted.unanswered() == 1);

    SUBCASE("none once it has left, again with the next request on the connection")
    {
        for (std::size_t round = 2; round <= 4; ++round) {
            pending.back()->respond({200, {}, makeBody("done")});
            CHECK(peer.runUntil([&] { return counted.unanswered() == 0; }));
            peer.write("GET / HTTP/1.1\r\n\r\n");
            REQUIRE(peer.runUntil([&] { return pending.size() == round; }));
            CHECK(counted.unanswered() == 1);
        }
    }

    SUBCASE("one as long as the peer does not read all of it")
    {
        peer.pauseReading();
        pending.back()->respond({200, {}, makeBody(std::string(largeBody, 'x'))});
        peer.runFor(Milliseconds(200));
        CHECK(counted.unanswered() == 1);
        peer.resumeReading();
        CHECK(peer.runUntil([&] { return counted.unanswered() == 0; }));
        CHECK(peer.runUntil([&] { return peer.received() > largeBody; }));
    }

    SUBCASE("also while the connection closes after it")
    {
        counted.closeAfterResponses();
        counted.stopAccepting();
        peer.pauseReading();
        pending.back()->respond({200, {}, makeBody(std::string(largeBody, 'x'))});
        peer.runFor(Milliseconds(200));
        CHECK(counted.unanswered() == 1);
        peer.resumeReading();
        CHECK(peer.runUntil([&] { return counted.unanswered() == 0; }));
        CHECK(peer.runUntil([&] { return peer.received() > largeBody; }));
    }

    SUBCASE("none when the peer leaves in the middle of it")
    {
        peer.pauseReading();
        pending.back()->respond({200, {}, makeBody(std::string(largeBody, 'x'))});
        peer.runFor(Milliseconds(200));
        CHECK(counted.unanswered() == 1);
        peer.close();
        CHECK(peer.runUntil([&] { return counted.unanswered() == 0; }));
    }

    SUBCASE("none when the peer has left before it")
    {
        peer.close();
        loop.post([&] { loop.stop(); });
        loop.run();
        pending.back()->respond({200, {}, makeBody("done")});
        CHECK(peer.runUntil([&] { return counted.unanswered() == 0; }));
    }
}
