#include <Harness/NoFreeDescriptor.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>
#include <LibKernel/EventLoop.h>

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace chive;

namespace {

constexpr std::size_t bodyLimit = 1024 * 1024;
const Endpoint endpoint{"127.0.0.1", 19'475};
constexpr Milliseconds requestTimeout{2'000};
/// Far less than the timeout of a request.
constexpr Milliseconds promptly{300};

constexpr int failure = 503;

/// A client and its server, which answers `/fail` with a failure and `/hold` when it is told to.
struct Pair
{
    using Results = std::vector<std::pair<std::string, HttpClient::Outcome>>;

    EventLoop loop;
    std::unique_ptr<HttpServer> server;
    std::vector<std::shared_ptr<HttpExchange>> held;
    HttpClient client{loop, endpoint, bodyLimit};

    Pair()
    {
        const auto answer = [this](const HttpRequest &request, const auto &exchange) {
            HttpResponse response{200,
                                  {{"X-Id", std::string(findHeader(request.headers, "X-Id"))}},
                                  makeBody(exchange->isConnectionReused() ? "reused" : "new")};
            if (request.target == "/fail")
                response.status = failure;
            if (request.target == "/hold")
                held.push_back(exchange);
            else
                exchange->respond(std::move(response));
        };
        auto listening = HttpServer::listen(loop, endpoint, bodyLimit, answer);
        REQUIRE(listening.has_value());
        server = std::move(listening.value());
    }

    /// Sends a request; its outcome comes to `results` with its id.
    void send(const std::string &target, const std::string &id, Results &results)
    {
        client.send({"GET", target, {{"X-Id", id}}, nullptr}, requestTimeout,
                    [&results, id](HttpClient::Outcome outcome) {
                        results.emplace_back(id, std::move(outcome));
                    },
                    {{"X-Id", id}});
    }

    /// Runs the loop until so many outcomes have come, for two seconds at most.
    void waitFor(const Results &results, std::size_t count)
    {
        for (int i = 0; i < 2000 && results.size() < count; ++i)
            runFor(Milliseconds(1));
        REQUIRE(results.size() == count);
    }

    void runFor(Milliseconds duration)
    {
        const Timer end = loop.after(duration, [this] { loop.stop(); });
        loop.run();
    }

    /// The outcome of one request, or none if there is no outcome within the time.
    std::optional<HttpClient::Outcome> exchange(Milliseconds within)
    {
        auto outcome = std::make_shared<std::optional<HttpClient::Outcome>>();
        client.send({"GET", "/", {}, nullptr}, requestTimeout,
                    [this, outcome](HttpClient::Outcome result) {
                        *outcome = std::move(result);
                        loop.stop();
                    });
        CHECK_FALSE(outcome->has_value()); // It never calls back inside send().
        const Timer limit = loop.after(within, [this] { loop.stop(); });
        loop.run();
        return std::move(*outcome);
    }
};

} // namespace

TEST_CASE("A request fails at once while this process has no free descriptor")
{
    Pair pair;
    {
        const NoFreeDescriptor shortage;
        const auto outcome = pair.exchange(promptly);
        REQUIRE(outcome.has_value());
        REQUIRE_FALSE(outcome->has_value());
        CHECK(outcome->error().stage == HttpFailure::Stage::NotSent);
        CHECK(outcome->error().message.find("Too many open files") != std::string::npos);
        CHECK(pair.client.inFlight() == 0);
    }

    SUBCASE("the next one is answered when a descriptor is free again")
    {
        const auto outcome = pair.exchange(requestTimeout);
        REQUIRE(outcome.has_value());
        CHECK(outcome->has_value());
    }
}

TEST_CASE("A cancelled request that got no descriptor calls back once")
{
    Pair pair;
    const NoFreeDescriptor shortage;
    int calls = 0;
    const auto id = pair.client.send({"GET", "/", {}, nullptr}, requestTimeout,
                                     [&](const HttpClient::Outcome &) { ++calls; });
    pair.client.cancel(id);
    const Timer limit = pair.loop.after(promptly, [&] { pair.loop.stop(); });
    pair.loop.run();
    CHECK(calls == 1);
}

TEST_CASE("A client closes an idle connection only if its share is full and no idle one will do")
{
    DescriptorShare share(2);
    Pair pair;
    pair.client.countIn(share);
    Pair::Results results;
    // Both connections have failed for "one", the last used one also for "two".
    pair.send("/fail", "one", results);
    pair.send("/fail", "one", results);
    pair.waitFor(results, 2);
    pair.send("/fail", "two", results);
    pair.waitFor(results, 3);
    results.clear();
    REQUIRE(share.used() == 2);

    SUBCASE("an idle connection that may carry the request is used")
    {
        pair.send("/", "three", results);
        pair.waitFor(results, 1);
        CHECK(bytesOf(results[0].second.value().body) == "reused");
        CHECK(share.reclaimed() == 0);
    }

    SUBCASE("else the one that was idle for longest makes room")
    {
        pair.send("/", "one", results);
        CHECK(share.used() == 2);
        CHECK(share.reclaimed() == 1);
        pair.waitFor(results, 1);
        CHECK(bytesOf(results[0].second.value().body) == "new");
        // Besides the new connection, the one that failed for "two" is still there.
        pair.send("/", "three", results);
        pair.send("/", "two", results);
        CHECK(share.reclaimed() == 2);
        pair.waitFor(results, 3);
        CHECK(share.used() == 2);
        CHECK(share.refused() == 0);
    }

    SUBCASE("the room is there at once, also if the process has no other descriptor")
    {
        {
            const NoFreeDescriptor shortage;
            pair.send("/", "one", results);
        }
        pair.waitFor(results, 1);
        REQUIRE(results[0].second.has_value());
        CHECK(bytesOf(results[0].second.value().body) == "new");
    }
}

TEST_CASE("A request for which the share has no connection fails and harms no other")
{
    DescriptorShare share(1);
    Pair pair;
    pair.client.countIn(share);
    Pair::Results results;
    pair.send("/hold", "first", results);
    for (int i = 0; i < 1000 && pair.held.empty(); ++i)
        pair.runFor(Milliseconds(1));
    REQUIRE(pair.held.size() == 1);

    pair.send("/", "second", results);
    CHECK(results.empty());
    pair.waitFor(results, 1);
    REQUIRE(results[0].first == "second");
    REQUIRE_FALSE(results[0].second.has_value());
    CHECK(results[0].second.error().stage == HttpFailure::Stage::NotSent);
    CHECK(results[0].second.error().message.find("descriptors") != std::string::npos);
    CHECK(share.refused() == 1);

    pair.held[0]->respond({200, {{"X-Id", "first"}}, nullptr});
    pair.waitFor(results, 2);
    CHECK(results[1].second.has_value());

    SUBCASE("the next one has a connection again")
    {
        pair.send("/", "third", results);
        pair.waitFor(results, 3);
        CHECK(results[2].second.has_value());
        CHECK(share.refused() == 1);
    }
}

// Targets that reject half of their calls had each connection closed after 256 rejections.
TEST_CASE("Rejected requests keep their connection")
{
    constexpr int requests = 600;
    Pair pair;
    int opened = 0;
    for (int i = 0; i < requests; ++i) {
        Pair::Results results;
        pair.send("/fail", "request-" + std::to_string(i), results);
        pair.waitFor(results, 1);
        REQUIRE(results.front().second.has_value());
        CHECK(results.front().second.value().status == failure);
        opened += bytesOf(results.front().second.value().body) == "new" ? 1 : 0;
    }
    CHECK(opened == 1);

    SUBCASE("but the one that was just rejected goes over another one")
    {
        Pair::Results results;
        pair.send("/", "request-599", results);
        pair.waitFor(results, 1);
        CHECK(bytesOf(results.front().second.value().body) == "new");
    }
}
