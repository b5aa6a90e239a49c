#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>
#include <LibKernel/EventLoop.h>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <utility>

using namespace chive;

namespace {

constexpr std::size_t bodyLimit = 1024 * 1024;
const Endpoint endpoint{"127.0.0.1", 19'475};
constexpr Milliseconds requestTimeout{2'000};
/// Far less than the timeout of a request.
constexpr Milliseconds promptly{300};

/// Leaves this process no free descriptor for as long as it exists.
class NoFreeDescriptor
{
public:
    NoFreeDescriptor()
    {
        REQUIRE(getrlimit(RLIMIT_NOFILE, &before_) == 0);
        const int lowestFree = open("/dev/null", O_RDONLY);
        REQUIRE(lowestFree >= 0);
        close(lowestFree);
        rlimit limit = before_;
        limit.rlim_cur = static_cast<rlim_t>(lowestFree);
        REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
    }
    ~NoFreeDescriptor() { setrlimit(RLIMIT_NOFILE, &before_); }
    NoFreeDescriptor(const NoFreeDescriptor &) = delete;
    NoFreeDescriptor &operator=(const NoFreeDescriptor &) = delete;

private:
    rlimit before_{};
};

/// A server that answers every request, and a client of it.
struct Pair
{
    EventLoop loop;
    std::unique_ptr<HttpServer> server;
    HttpClient client{loop, endpoint, bodyLimit};

    Pair()
    {
        auto listening = HttpServer::listen(loop, endpoint, bodyLimit,
                                            [](const HttpRequest &, const auto &exchange) {
                                                exchange->respond({200, {}, makeBody("answer")});
                                            });
        REQUIRE(listening.has_value());
        server = std::move(listening.value());
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
