#include <FaultProxy/FaultProxy.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <optional>

using namespace chive;

namespace {

constexpr std::size_t bodyLimit = 4 * 1024 * 1024;
const Endpoint proxied{"127.0.0.1", 20'011};
const Endpoint behind{"127.0.0.1", 20'012};
const Endpoint controlled{"127.0.0.1", 20'013};

HttpClient::Outcome exchange(EventLoop &loop, HttpClient &client, const HttpRequest &request,
                             Milliseconds timeout = Milliseconds(5000))
{
    std::optional<HttpClient::Outcome> result;
    client.send(request, timeout, [&](HttpClient::Outcome outcome) {
        result = std::move(outcome);
        loop.stop();
    });
    loop.run();
    REQUIRE(result.has_value());
    return std::move(*result);
}

} // namespace

TEST_CASE("The fault proxy stands between a client and a server")
{
    EventLoop loop;
    const SystemClock clock;
    int served = 0;
    auto server = HttpServer::listen(loop, behind, bodyLimit,
                                     [&](const HttpRequest &request, const auto &exchange) {
                                         ++served;
                                         exchange->respond({200, {}, request.body});
                                     });
    REQUIRE(server.has_value());
    FaultProxy proxy(loop, clock, {proxied, behind, controlled, 7});
    REQUIRE(proxy.start().has_value());
    HttpClient control(loop, controlled, bodyLimit);
    HttpClient client(loop, proxied, bodyLimit);
    const HttpRequest request{"POST", "/", {}, makeBody(std::string(2'000'000, 'x'))};
    const auto order = [&](const nlohmann::json &json) {
        REQUIRE(exchange(loop, control, {"POST", "/control", {}, makeBody(json.dump())}));
    };
    const auto passes = [&] {
        const auto outcome = exchange(loop, client, request);
        return outcome.has_value() && bytesOf(outcome.value().body) == *request.body;
    };

    SUBCASE("and passes everything when nothing is ordered")
    {
        CHECK(passes());
        CHECK(passes());
    }

    SUBCASE("and delays without reordering")
    {
        order({{"delay_ms", 5}, {"jitter_ms", 10}, {"loss_percent", 5}, {"loss_delay_ms", 20}});
        const TimePoint start = clock.now();
        CHECK(passes());
        CHECK(clock.now() - start >= Milliseconds(10));
    }

    SUBCASE("and cuts a request on its way, once")
    {
        order({{"connections_to_cut", 1}, {"up", {{"cut_after", 1000}}}});
        CHECK_FALSE(exchange(loop, client, request).has_value());
        CHECK(served == 0);
        CHECK(passes());
    }

    SUBCASE("and swallows an answer after its effect, once")
    {
        order({{"connections_to_cut", 1}, {"down", {{"cut_after", 0}}}});
        CHECK_FALSE(exchange(loop, client, request).has_value());
        CHECK(served == 1);
        CHECK(passes());
    }

    SUBCASE("and holds answers until a stall ends")
    {
        order({{"down", {{"stall", true}}}});
        std::optional<bool> isAnswered;
        client.send(request, Milliseconds(5000),
                    [&](const auto &outcome) { isAnswered = outcome.has_value(); });
        while (served == 0)
            order({});
        CHECK_FALSE(isAnswered.has_value());
        order({{"down", {{"stall", false}}}});
        while (!isAnswered.has_value())
            order({});
        CHECK(*isAnswered);
    }

    SUBCASE("and refuses new connections and cuts those that are open")
    {
        CHECK(passes());
        order({{"refuse", true}, {"cut_all", true}});
        CHECK_FALSE(exchange(loop, client, request).has_value());
        order({{"refuse", false}});
        CHECK(passes());
    }
}
