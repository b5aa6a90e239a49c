#include <LibHttp/HttpServer.h>
#include <LibKernel/EventLoop.h>

#include <doctest/doctest.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <iterator>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

using namespace chive;

namespace {

constexpr std::size_t bodyLimit = 1024 * 1024;
const Endpoint endpoint{"127.0.0.1", 19'471};
constexpr std::string_view request = "GET / HTTP/1.1\r\n\r\n";
/// More than the time after which the server looks at its connections again.
constexpr Milliseconds moreThanOneCheck{150};

/// A caller's connection. It keeps it open until the server closes it.
class Peer
{
public:
    Peer()
        : socket_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(connect(socket_, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
    }
    ~Peer() { close(); }
    Peer(const Peer &) = delete;
    Peer &operator=(const Peer &) = delete;

    void write(std::string_view bytes)
    {
        [[maybe_unused]] const ssize_t sent
                = send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /// All bytes received until now.
    const std::string &received()
    {
        std::array<char, 65'536> bytes{};
        ssize_t size = 0;
        while ((size = recv(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT)) > 0)
            received_.append(bytes.data(), static_cast<std::size_t>(size));
        isOpen_ = isOpen_ && size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        return received_;
    }

    bool isOpen()
    {
        received();
        return isOpen_;
    }

    std::size_t responses()
    {
        std::size_t count = 0;
        const std::string &text = received();
        for (auto at = text.find("HTTP/1.1 200"); at != std::string::npos;
             at = text.find("HTTP/1.1 200", at + 1))
            ++count;
        return count;
    }

    void close()
    {
        if (socket_ >= 0)
            ::close(std::exchange(socket_, -1));
    }

private:
    int socket_;
    std::string received_;
    bool isOpen_ = true;
};

using Peers = std::vector<std::unique_ptr<Peer>>;

/// A server that answers at once, or when it is told to.
struct Served
{
    EventLoop loop;
    DescriptorShare share;
    bool answersAtOnce = true;
    std::size_t requests = 0;
    std::vector<std::shared_ptr<HttpExchange>> pending;
    std::unique_ptr<HttpServer> server;

    explicit Served(std::size_t most)
        : share(most)
    {
        auto result = HttpServer::listen(
                loop, endpoint, bodyLimit,
                [this](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
                    ++requests;
                    if (answersAtOnce)
                        exchange->respond({200, {}, makeBody("done")});
                    else
                        pending.push_back(exchange);
                });
        REQUIRE(result.has_value());
        server = std::move(result.value());
        server->countIn(share);
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

    /// Opens one more connection, sends a request and waits for the response.
    bool isAnswered(Peers &peers)
    {
        peers.push_back(std::make_unique<Peer>());
        peers.back()->write(request);
        return runUntil([&] { return peers.back()->responses() == 1; });
    }

    /// Opens connections that the server has accepted when this returns.
    void connect(Peers &peers, std::size_t count)
    {
        const std::size_t expected = share.used() + count;
        for (std::size_t i = 0; i < count; ++i)
            peers.push_back(std::make_unique<Peer>());
        REQUIRE(runUntil([&] { return share.used() == expected; }));
    }

    /// Runs `callback` just before the server looks at its connections, with no read between them.
    template<typename Callback>
    void runBeforeCheck(const Callback &callback)
    {
        Timer before;
        loop.post([&] {
            before = loop.after(Milliseconds(0), callback);
            std::this_thread::sleep_for(moreThanOneCheck);
        });
        runFor(3 * moreThanOneCheck);
    }
};

std::size_t countOpen(const Peers &peers)
{
    return std::ranges::count_if(peers, [](const auto &peer) { return peer->isOpen(); });
}

std::size_t countResponses(const Peers &peers)
{
    std::size_t count = 0;
    for (const auto &peer : peers)
        count += peer->responses();
    return count;
}

std::size_t openDescriptors()
{
    const std::filesystem::directory_iterator files("/proc/self/fd");
    return std::distance(begin(files), end(files));
}

/// Leaves no room in the share, as the connections of another server that counts in it would.
std::vector<DescriptorLease> takeRest(DescriptorShare &share)
{
    std::vector<DescriptorLease> leases;
    while (!share.isFull())
        leases.emplace_back(share);
    return leases;
}

/// Lets this process open no descriptor, while it lives.
class NoDescriptors
{
public:
    NoDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const int firstFree = dup(STDERR_FILENO);
        ::close(firstFree);
        rlimit none = before_;
        none.rlim_cur = static_cast<rlim_t>(firstFree);
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
    NoDescriptors(const NoDescriptors &) = delete;
    NoDescriptors &operator=(const NoDescriptors &) = delete;

private:
    rlimit before_{};
};

/// Counts what libevent logs, while it lives.
class LibraryLog
{
public:
    LibraryLog()
    {
        lines() = 0;
        event_set_log_callback([](int, const char *) { ++lines(); });
    }
    ~LibraryLog() { event_set_log_callback(nullptr); }
    LibraryLog(const LibraryLog &) = delete;
    LibraryLog &operator=(const LibraryLog &) = delete;

    static std::size_t &lines()
    {
        static std::size_t count = 0;
        return count;
    }
};

} // namespace

TEST_CASE("Idle connections do not use up the descriptors of a server")
{
    constexpr std::size_t most = 16;
    constexpr std::size_t more = 50;
    Served served(most);
    Peers peers;

    SUBCASE("each of more callers than it may hold gets its answer")
    {
        const std::size_t before = openDescriptors();
        for (std::size_t i = 0; i < more; ++i) {
            REQUIRE(served.isAnswered(peers));
            CHECK(served.share.used() < most);
        }
        served.runFor(moreThanOneCheck);
        CHECK(countOpen(peers) == served.share.used());
        CHECK(served.share.reclaimed() == more - countOpen(peers));
        CHECK(openDescriptors() == before + more + served.share.used());
    }

    SUBCASE("those that are idle for longest are closed first")
    {
        served.connect(peers, 8);
        peers.front()->write(request);
        REQUIRE(served.runUntil([&] { return peers.front()->responses() == 1; }));
        served.connect(peers, 5);
        REQUIRE(countOpen(peers) == 13);
        peers.push_back(std::make_unique<Peer>());
        REQUIRE(served.runUntil([&] { return served.share.reclaimed() > 0; }));
        served.runFor(moreThanOneCheck);
        CHECK(countOpen(peers) == 12);
        CHECK(peers[0]->isOpen());
        CHECK_FALSE(peers[1]->isOpen());
        CHECK_FALSE(peers[2]->isOpen());
        CHECK(peers[3]->isOpen());
    }

    SUBCASE("those on which nothing ever came are closed without waiting for a timer")
    {
        for (std::size_t i = 0; i < most - 1; ++i)
            peers.push_back(std::make_unique<Peer>());
        REQUIRE(served.runUntil([&] { return served.share.used() > 0; }));
        served.runFor(Milliseconds(20));
        CHECK(served.share.used() == 12);
    }

    SUBCASE("but none is closed while there is room")
    {
        served.connect(peers, 13);
        served.runFor(3 * moreThanOneCheck);
        CHECK(countOpen(peers) == 13);
        CHECK(served.share.reclaimed() == 0);
    }

    SUBCASE("one that its peer has closed leaves no trace")
    {
        served.connect(peers, 4);
        std::vector<DescriptorLease> others;
        served.runBeforeCheck([&] {
            others = takeRest(served.share);
            for (const auto &peer : peers)
                peer->close();
        });
        CHECK(served.share.used() == others.size());
    }

    SUBCASE("the server may go while it is about to close some")
    {
        for (std::size_t i = 0; i < most - 1; ++i)
            peers.push_back(std::make_unique<Peer>());
        while (served.share.used() == 0)
            event_base_loop(served.loop.base(), EVLOOP_ONCE);
        served.server.reset();
        served.runFor(moreThanOneCheck);
        CHECK(countOpen(peers) == 0);
        CHECK(served.share.used() == 0);
    }
}

TEST_CASE("A server short of descriptors closes no connection that has a request")
{
    constexpr std::size_t most = 16;
    Served served(most);
    Peers peers;
    std::vector<DescriptorLease> others;

    SUBCASE("of which a part has come")
    {
        served.connect(peers, 4);
        for (const auto &peer : peers)
            peer->write("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
        REQUIRE(served.runUntil([&] { return served.server->receiving() == 4; }));
        others = takeRest(served.share);
        served.runFor(3 * moreThanOneCheck);
        for (const auto &peer : peers)
            peer->write("cd");
        CHECK(served.runUntil([&] { return countResponses(peers) == 4; }));
        CHECK(served.share.reclaimed() == 0);
    }

    SUBCASE("that has not been answered")
    {
        served.answersAtOnce = false;
        served.connect(peers, 4);
        for (const auto &peer : peers)
            peer->write(request);
        REQUIRE(served.runUntil([&] { return served.pending.size() == 4; }));
        others = takeRest(served.share);
        served.runFor(3 * moreThanOneCheck);
        CHECK(countOpen(peers) == 4);

        SUBCASE("until it is idle again")
        {
            for (const auto &exchange : served.pending)
                exchange->respond({200, {}, makeBody("done")});
            CHECK(served.runUntil([&] { return served.share.reclaimed() == 4; }));
            CHECK(countResponses(peers) == 4);
            CHECK(countOpen(peers) == 0);
        }
    }

    SUBCASE("whose response is being written")
    {
        const std::string large(16 * bodyLimit, 'x'); // More than the sockets hold.
        served.answersAtOnce = false;
        served.connect(peers, 1);
        peers.front()->write(request);
        REQUIRE(served.runUntil([&] { return served.pending.size() == 1; }));
        served.pending.front()->respond({200, {}, makeBody(large)});
        others = takeRest(served.share);
        served.runFor(3 * moreThanOneCheck);
        CHECK(served.share.reclaimed() == 0);
        CHECK(served.runUntil([&] { return peers.front()->received().size() > large.size(); }));
    }

    SUBCASE("that waits unread on the socket")
    {
        served.connect(peers, 4);
        served.runBeforeCheck([&] {
            others = takeRest(served.share);
            for (const auto &peer : peers)
                peer->write(request);
        });
        CHECK(served.requests == 4);
        CHECK(countResponses(peers) == 4);
    }

    SUBCASE("that was read along with the one before it")
    {
        served.answersAtOnce = false;
        served.connect(peers, 1);
        peers.front()->write(std::string(request) + std::string(request));
        REQUIRE(served.runUntil([&] { return served.pending.size() == 1; }));
        others = takeRest(served.share);
        served.loop.post([&] {
            served.pending.front()->respond({200, {}, makeBody("done")});
            std::this_thread::sleep_for(moreThanOneCheck);
        });
        CHECK(served.runUntil([&] { return served.pending.size() == 2; }));
        CHECK(peers.front()->isOpen());
        CHECK(served.share.reclaimed() == 0);
    }

    SUBCASE("whose head was read along with the one before it")
    {
        served.answersAtOnce = false;
        served.connect(peers, 1);
        peers.front()->write(std::string(request) + "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n");
        REQUIRE(served.runUntil([&] { return served.pending.size() == 1; }));
        others = takeRest(served.share);
        served.pending.front()->respond({200, {}, makeBody("done")});
        served.runFor(3 * moreThanOneCheck);
        CHECK(served.share.reclaimed() == 0);
        CHECK(served.server->receiving() == 1);
        peers.front()->write("body");
        CHECK(served.runUntil([&] { return served.pending.size() == 2; }));
    }
}

TEST_CASE("A request that crosses the close of its connection is not read")
{
    Served served(16);
    Peers peers;
    served.connect(peers, 4);
    std::vector<DescriptorLease> others;
    Timer after;
    served.loop.post([&] {
        others = takeRest(served.share);
        // Runs next after the check of the server.
        after = served.loop.after(moreThanOneCheck - Milliseconds(50), [&] {
            for (const auto &peer : peers)
                peer->write(request);
        });
        std::this_thread::sleep_for(moreThanOneCheck);
    });
    served.runFor(3 * moreThanOneCheck);
    CHECK(served.share.reclaimed() == 4);
    CHECK(served.requests == 0);
    CHECK(countOpen(peers) == 0);
}

TEST_CASE("A connection that waits within a stop is closed after its next response only")
{
    Served served(16);
    Peers peers;
    REQUIRE(served.isAnswered(peers));
    served.server->closeAfterResponses();
    served.runFor(3 * moreThanOneCheck);
    REQUIRE(peers.front()->isOpen());

    SUBCASE("while descriptors suffice")
    {
        peers.front()->write(request);
        CHECK(served.runUntil([&] { return peers.front()->responses() == 2; }));
        CHECK(served.runUntil([&] { return !peers.front()->isOpen(); }));
    }

    SUBCASE("but gives way to new ones as they get short")
    {
        const std::vector<DescriptorLease> others = takeRest(served.share);
        CHECK(served.runUntil([&] { return !peers.front()->isOpen(); }));
        CHECK(served.share.reclaimed() == 1);
    }
}

TEST_CASE("A connection is closed once it was idle for longer than the idle timeout")
{
    using std::chrono::steady_clock;
    constexpr Milliseconds timeout{500};
    constexpr Milliseconds longer{1'000};
    Served served(16);
    Peers peers;

    SUBCASE("never without one")
    {
        served.connect(peers, 2);
        served.runFor(longer);
        CHECK(countOpen(peers) == 2);
    }

    SUBCASE("never sooner, counted from its last response")
    {
        served.server->setIdleTimeout(timeout);
        for (std::size_t round = 0; round < 3; ++round) {
            Peers one;
            REQUIRE(served.isAnswered(one));
            served.runFor(timeout * 4 / 5);
            one.front()->write(request);
            REQUIRE(served.runUntil([&] { return one.front()->responses() == 2; }));
            const auto idleSince = steady_clock::now();
            CHECK(served.runUntil([&] { return !one.front()->isOpen(); }));
            CHECK(steady_clock::now() - idleSince >= timeout);
        }
        CHECK(served.share.reclaimed() == 0);
    }

    SUBCASE("also when nothing ever came on it")
    {
        served.server->setIdleTimeout(timeout);
        served.connect(peers, 2);
        CHECK(served.runUntil([&] { return countOpen(peers) == 0; }));
        CHECK(served.runUntil([&] { return served.share.used() == 0; }));
    }

    SUBCASE("but not sooner than a timeout that was raised meanwhile")
    {
        served.server->setIdleTimeout(timeout);
        served.connect(peers, 2);
        served.runFor(timeout / 2);
        served.server->setIdleTimeout(10 * timeout);
        served.runFor(longer);
        CHECK(countOpen(peers) == 2);
    }

    SUBCASE("but not while it owes an answer")
    {
        served.server->setIdleTimeout(timeout);
        served.answersAtOnce = false;
        peers.push_back(std::make_unique<Peer>());
        peers.front()->write(request);
        REQUIRE(served.runUntil([&] { return served.pending.size() == 1; }));
        served.runFor(longer);
        served.pending.front()->respond({200, {}, makeBody("done")});
        CHECK(served.runUntil([&] { return peers.front()->responses() == 1; }));
        served.runFor(timeout / 2);
        CHECK(peers.front()->isOpen());
    }

    SUBCASE("but not with a request that waits unread on the socket")
    {
        served.connect(peers, 2);
        served.runFor(longer);
        served.runBeforeCheck([&] {
            served.server->setIdleTimeout(timeout);
            for (const auto &peer : peers)
                peer->write(request);
        });
        CHECK(served.requests == 2);
        CHECK(countResponses(peers) == 2);
    }

    SUBCASE("but not within a stop")
    {
        served.server->setIdleTimeout(timeout);
        served.connect(peers, 1);
        served.server->closeAfterResponses();
        served.runFor(longer);
        peers.front()->write(request);
        CHECK(served.runUntil([&] { return peers.front()->responses() == 1; }));
    }
}

TEST_CASE("A server accepts no more connections than its share while all of them are busy")
{
    constexpr std::size_t most = 16;
    constexpr std::size_t callers = 40;
    Served served(most);
    served.answersAtOnce = false;
    Peers peers;
    for (std::size_t i = 0; i < callers; ++i) {
        peers.push_back(std::make_unique<Peer>());
        peers.back()->write(request);
    }
    REQUIRE(served.runUntil([&] { return served.pending.size() >= most; }));
    served.runFor(3 * moreThanOneCheck);
    CHECK(served.pending.size() == most);
    CHECK(served.share.used() == most);
    CHECK(served.share.refused() == 1);
    const auto answerPending = [&] {
        for (const auto &exchange : std::exchange(served.pending, {}))
            exchange->respond({200, {}, makeBody("done")});
    };

    SUBCASE("and the others once those are idle")
    {
        CHECK(served.runUntil([&] {
            answerPending();
            return countResponses(peers) == callers;
        }));
        CHECK(served.share.used() <= most);
    }

    SUBCASE("and the others once those are closed")
    {
        for (const auto &peer : peers) {
            if (peer != peers.back())
                peer->close();
        }
        served.answersAtOnce = true;
        answerPending();
        CHECK(served.runUntil([&] { return peers.back()->responses() == 1; }));
    }

    SUBCASE("and none after a stop has begun")
    {
        served.server->stopAccepting();
        answerPending();
        served.runFor(3 * moreThanOneCheck);
        CHECK(served.requests == most);
        CHECK(countResponses(peers) == most);
        // The connections that were not accepted end with the listener.
        CHECK(countOpen(peers) <= most);
    }

    SUBCASE("and it may go before there is room")
    {
        served.server.reset();
        served.runFor(moreThanOneCheck);
        CHECK(served.share.used() == 0);
    }
}

TEST_CASE("A server that cannot accept neither tries without end nor logs each attempt")
{
    constexpr std::size_t callers = 4;
    Served served(16);
    Peers peers;
    for (std::size_t i = 0; i < callers; ++i) {
        peers.push_back(std::make_unique<Peer>());
        peers.back()->write(request);
    }
    const LibraryLog log;
    const auto attempts = [&] { return served.share.refused(); };
    auto none = std::make_unique<NoDescriptors>();
    served.runFor(3 * moreThanOneCheck);
    CHECK(LibraryLog::lines() == 0);
    CHECK(attempts() >= 1);
    CHECK(attempts() <= 6);

    SUBCASE("and accepts again once it can")
    {
        none.reset();
        CHECK(served.runUntil([&] { return countResponses(peers) == callers; }));
    }

    SUBCASE("and may be stopped meanwhile")
    {
        served.server->stopAccepting();
        none.reset();
        served.runFor(3 * moreThanOneCheck);
        CHECK(served.requests == 0);
        CHECK(countOpen(peers) == 0);
    }
}
