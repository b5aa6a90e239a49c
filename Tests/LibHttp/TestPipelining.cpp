#include <LibHttp/HttpServer.h>
#include <LibKernel/EventLoop.h>
#include <LibKernel/Socket.h>

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace chive;

namespace {

constexpr std::size_t bodyLimit = 1024 * 1024;
constexpr std::size_t mostAtOnce = 4;
constexpr Milliseconds moreThanOneCheck{150};
const Endpoint endpoint{"127.0.0.1", 19'476};

/// A caller that writes bytes as it is told to.
class Peer
{
public:
    Peer()
        : socket_(socket(AF_INET, SOCK_STREAM, 0))
    {
        const sockaddr_in address = addressOf(endpoint);
        REQUIRE(connect(socket_, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                == 0);
        disableNagle(socket_);
    }
    ~Peer() { close(); }
    Peer(const Peer &) = delete;
    Peer &operator=(const Peer &) = delete;

    void write(std::string_view bytes)
    {
        [[maybe_unused]] const ssize_t sent
                = send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }

    /// All bytes received until now.
    const std::string &received()
    {
        std::array<char, 65'536> bytes{};
        ssize_t size = 0;
        while ((size = recv(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT)) > 0)
            received_.append(bytes.data(), static_cast<std::size_t>(size));
        if (size == 0)
            isEnded_ = true;
        else if (errno != EAGAIN && errno != EWOULDBLOCK)
            isReset_ = true;
        return received_;
    }

    /// The server has closed the connection in order.
    bool isEnded()
    {
        received();
        return isEnded_ && !isReset_;
    }

    /// The targets of the requests that were answered with 200, in the order of the responses.
    std::vector<std::string> answers()
    {
        std::vector<std::string> targets;
        const std::string &text = received();
        constexpr std::string_view name = "X-Target: ";
        for (auto at = text.find(name); at != std::string::npos; at = text.find(name, at + 1)) {
            const auto start = at + name.size();
            targets.push_back(text.substr(start, text.find("\r\n", start) - start));
        }
        return targets;
    }

    [[nodiscard]] bool hasReceived(std::string_view text)
    {
        return received().find(text) != std::string::npos;
    }

    void close()
    {
        if (socket_ >= 0)
            ::close(std::exchange(socket_, -1));
    }

private:
    int socket_;
    std::string received_;
    bool isEnded_ = false;
    bool isReset_ = false;
};

std::string get(std::string_view target)
{
    return "GET " + std::string(target) + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::string post(std::string_view target, std::string_view body)
{
    return "POST " + std::string(target) + " HTTP/1.1\r\nHost: a\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

/// A server whose handler keeps the requests until they are answered one by one.
struct Served
{
    EventLoop loop;
    std::unique_ptr<HttpServer> server;
    std::vector<std::string> seen; ///< Targets in the order in which the handler saw them.
    std::map<std::string, std::shared_ptr<HttpExchange>> pending; ///< By target.
    std::size_t gone = 0;
    bool answersAtOnce = false;

    Served()
    {
        auto result = HttpServer::listen(
                loop, endpoint, bodyLimit,
                [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
                    seen.push_back(request.target);
                    exchange->onPeerGone([this] { ++gone; });
                    pending[request.target] = exchange;
                    if (answersAtOnce)
                        answer(request.target);
                });
        REQUIRE(result.has_value());
        server = std::move(result.value());
        server->setMaximumPipelined(mostAtOnce);
    }

    void answer(const std::string &target, std::size_t size = 4)
    {
        const auto exchange = pending.extract(target).mapped();
        exchange->respond({200, {{"X-Target", target}}, makeBody(std::string(size, 'x'))});
    }

    void runFor(Milliseconds duration)
    {
        const Timer end = loop.after(duration, [this] { loop.stop(); });
        loop.run();
    }

    /// Runs the loop until the condition holds; false when it did not within two seconds.
    template<typename Condition>
    bool runUntil(const Condition &condition)
    {
        for (int i = 0; i < 2000 && !condition(); ++i)
            runFor(Milliseconds(1));
        return condition();
    }
};

using Targets = std::vector<std::string>;

} // namespace

TEST_CASE("Pipelined requests with safe methods are served at the same time")
{
    Served served;
    Peer peer;
    peer.write(get("/1") + get("/2") + get("/3"));
    REQUIRE(served.runUntil([&] { return served.seen.size() == 3; }));
    CHECK(served.server->unanswered() == 3);

    SUBCASE("and their responses are sent in the order of the requests")
    {
        served.answer("/3");
        served.answer("/2");
        served.runFor(Milliseconds(20));
        CHECK(peer.answers().empty());
        served.answer("/1");
        CHECK(served.runUntil([&] { return peer.answers().size() == 3; }));
        CHECK(peer.answers() == Targets{"/1", "/2", "/3"});
        CHECK(served.runUntil([&] { return served.server->unanswered() == 0; }));
    }

    SUBCASE("up to the limit, and the others once there is room")
    {
        peer.write(get("/4") + get("/5") + get("/6"));
        served.runFor(Milliseconds(20));
        CHECK(served.seen.size() == mostAtOnce);
        served.answer("/1");
        CHECK(served.runUntil([&] { return served.seen.size() == mostAtOnce + 1; }));
        served.runFor(Milliseconds(20));
        CHECK(served.seen.size() == mostAtOnce + 1);
    }

    SUBCASE("and all of them end when the peer leaves")
    {
        peer.close();
        CHECK(served.runUntil([&] { return served.gone == 3; }));
        served.pending.clear();
        CHECK(served.server->unanswered() == 0);
    }

    SUBCASE("also when the peer leaves with bytes that the server has not read")
    {
        peer.write(get("/4"));
        for (int i = 0; i < 1'000; ++i)
            peer.write(get("/unread"));
        served.runFor(Milliseconds(50));
        peer.close();
        CHECK(served.runUntil([&] { return served.gone == mostAtOnce; }));
        served.pending.clear();
    }
}

TEST_CASE("A request that must not run at the same time as others waits for those before it")
{
    Served served;
    Peer peer;

    SUBCASE("and those behind it wait for it")
    {
        peer.write(get("/1") + post("/2", "body") + get("/3"));
        REQUIRE(served.runUntil([&] { return !served.seen.empty(); }));
        served.runFor(Milliseconds(20));
        CHECK(served.seen == Targets{"/1"});
        served.answer("/1");
        REQUIRE(served.runUntil([&] { return served.seen.size() == 2; }));
        served.runFor(Milliseconds(20));
        CHECK(served.seen == Targets{"/1", "/2"});
        served.answer("/2");
        REQUIRE(served.runUntil([&] { return served.seen.size() == 3; }));
        served.answer("/3");
        CHECK(served.runUntil([&] { return peer.answers() == Targets{"/1", "/2", "/3"}; }));
    }

    SUBCASE("and an interim response to it too")
    {
        peer.write(get("/1")
                   + "POST /2 HTTP/1.1\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
        REQUIRE(served.runUntil([&] { return !served.seen.empty(); }));
        served.runFor(Milliseconds(20));
        CHECK_FALSE(peer.hasReceived("100 Continue"));
        served.answer("/1");
        CHECK(served.runUntil([&] { return peer.hasReceived("100 Continue"); }));
        peer.write("body");
        CHECK(served.runUntil([&] { return served.seen.size() == 2; }));
    }
}

TEST_CASE("Requests behind a response that closes the connection are not read")
{
    Served served;
    Peer peer;

    SUBCASE("as the peer asked to close")
    {
        peer.write(get("/1") + "GET /2 HTTP/1.1\r\nConnection: close\r\n\r\n" + get("/3"));
        REQUIRE(served.runUntil([&] { return served.seen.size() == 2; }));
        served.answer("/2");
        served.answer("/1");
        CHECK(served.runUntil([&] { return peer.isEnded() || peer.answers().size() == 2; }));
        served.runFor(Milliseconds(20));
        CHECK(peer.answers() == Targets{"/1", "/2"});
        CHECK(served.seen == Targets{"/1", "/2"});
    }

    SUBCASE("as the server closes, which it does after the last request that it has read")
    {
        peer.write(get("/1") + get("/2"));
        REQUIRE(served.runUntil([&] { return served.seen.size() == 2; }));
        served.server->closeAfterResponses();
        peer.write(get("/3"));
        served.runFor(Milliseconds(20));
        CHECK(served.seen.size() == 2);
        served.answer("/1");
        CHECK(served.runUntil([&] { return peer.answers().size() == 1; }));
        CHECK_FALSE(peer.hasReceived("Connection: close"));
        served.answer("/2");
        CHECK(served.runUntil([&] { return peer.isEnded(); }));
        CHECK(peer.hasReceived("Connection: close"));
        CHECK(peer.answers() == Targets{"/1", "/2"});
        CHECK(served.seen == Targets{"/1", "/2"});
    }

    SUBCASE("as one of them is not readable, which is said after the responses before it")
    {
        peer.write(get("/1") + "nonsense\r\n\r\n" + get("/2"));
        REQUIRE(served.runUntil([&] { return served.seen.size() == 1; }));
        served.runFor(Milliseconds(20));
        CHECK(peer.received().empty());
        served.answer("/1");
        CHECK(served.runUntil([&] { return peer.isEnded(); }));
        CHECK(peer.answers() == Targets{"/1"});
        CHECK(peer.hasReceived("HTTP/1.1 501"));
        CHECK(served.seen == Targets{"/1"});
    }

    SUBCASE("nor is the one that was held back for those before it")
    {
        peer.write(get("/1") + post("/2", "body"));
        REQUIRE(served.runUntil([&] { return served.seen.size() == 1; }));
        served.runFor(Milliseconds(20));
        served.server->closeAfterResponses();
        served.answer("/1");
        CHECK(served.runUntil([&] { return peer.isEnded(); }));
        CHECK(served.seen == Targets{"/1"});
    }

    SUBCASE("and the peer gets the last response whole, however much it goes on sending")
    {
        constexpr std::size_t large = 4 * 1024 * 1024;
        peer.write(get("/1"));
        REQUIRE(served.runUntil([&] { return served.seen.size() == 1; }));
        served.server->closeAfterResponses();
        served.answer("/1", large);
        for (int i = 0; i < 1'000; ++i)
            peer.write(get("/unread"));
        CHECK(served.runUntil([&] { return peer.isEnded(); }));
        CHECK(peer.received().size() > large);
        CHECK(served.seen == Targets{"/1"});
    }
}

TEST_CASE("Callers that break off or go on without end disturb nobody else")
{
    Served served;
    served.answersAtOnce = true;
    constexpr Milliseconds limit{300};

    SUBCASE("a head that does not end is answered with 408 after the limit, not sooner")
    {
        served.server->setHeadTimeout(limit);
        Peer peer;
        peer.write("GET / HTTP/1.1\r\nHost: a");
        served.runFor(limit - Milliseconds(50));
        CHECK(peer.received().empty());
        CHECK(served.runUntil([&] { return peer.isEnded(); }));
        CHECK(peer.hasReceived("HTTP/1.1 408"));
        CHECK(served.seen.empty());
    }

    SUBCASE("a head that comes slowly within the limit is served")
    {
        served.server->setHeadTimeout(10 * limit);
        Peer peer;
        for (const char byte : get("/slow")) {
            peer.write({&byte, 1});
            served.runFor(Milliseconds(5));
        }
        CHECK(served.runUntil([&] { return peer.answers().size() == 1; }));
    }

    SUBCASE("a caller that never reads is closed after the idle timeout and holds little memory")
    {
        served.server->setIdleTimeout(limit);
        served.answersAtOnce = false;
        Peer peer;
        constexpr std::size_t large = 1024 * 1024;
        std::size_t answered = 0;
        for (int round = 0; round < 200; ++round) {
            peer.write(get("/" + std::to_string(round)));
            served.runFor(Milliseconds(2));
            while (!served.pending.empty()) {
                served.answer(served.pending.begin()->first, large);
                ++answered;
            }
        }
        // The sockets hold some of them, the server at most one for each request at once.
        CHECK(answered < 40);
        CHECK(served.runUntil([&] { return served.server->unanswered() == 0; }));
    }

    SUBCASE("a caller that pipelines without end is served in order beside another one")
    {
        Peer endless;
        Peer other;
        std::string many;
        for (int i = 0; i < 5'000; ++i)
            many += get("/endless");
        endless.write(many);
        other.write(get("/other"));
        CHECK(served.runUntil([&] { return other.answers().size() == 1; }));
        CHECK(served.runUntil([&] {
            endless.received();
            return endless.answers().size() > 100;
        }));
    }
}

TEST_CASE("No bytes of callers end the server, and every whole request gets its own answer")
{
    Served served;
    served.answersAtOnce = true;
    const std::vector<std::string> parts{
            get("/a"),
            post("/b", "body"),
            "PUT /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "GET /d HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
            "HEAD /e HTTP/1.1\r\n\r\n",
            "POST /f HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab",
            "GET /g HTTP/1.1\r\nConnection: close\r\n\r\n",
            "nonsense\r\n\r\n",
            "GET /h HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
            std::string("\0\xff\r\n\r\n", 6),
    };
    for (unsigned seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        served.seen.clear();
        Peer peer;
        std::string bytes;
        for (int i = 0; i < 6; ++i)
            bytes += parts[random() % parts.size()];
        const std::size_t end = random() % 4 == 0 ? random() % bytes.size() : bytes.size();
        for (std::size_t at = 0; at < end;) {
            const std::size_t size = std::min(end - at, 1 + random() % 40);
            peer.write(std::string_view(bytes).substr(at, size));
            at += size;
            if (random() % 4 == 0)
                served.runFor(Milliseconds(1));
        }
        served.runFor(Milliseconds(5));
        CHECK(served.runUntil([&] { return served.server->unanswered() == 0; }));
        CHECK(peer.answers() == served.seen);
        peer.close();
        served.runFor(Milliseconds(1));
    }
    Peer sound;
    sound.write(get("/sound"));
    CHECK(served.runUntil([&] { return sound.answers() == Targets{"/sound"}; }));
}
