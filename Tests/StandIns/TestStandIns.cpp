#include <LibHttp/HttpClient.h>
#include <LibKernel/EventLoop.h>
#include <StandIns/LogStreams.h>
#include <StandIns/TargetStandIn.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <optional>

using namespace chive;

namespace {

constexpr std::size_t bodyLimit = 1024 * 1024;
const Endpoint endpoint{"127.0.0.1", 20'001};
const Endpoint noNode{"127.0.0.1", 20'002};

HttpClient::Outcome exchange(EventLoop &loop, HttpClient &client, const HttpRequest &request)
{
    std::optional<HttpClient::Outcome> result;
    client.send(request, Milliseconds(5000), [&](HttpClient::Outcome outcome) {
        result = std::move(outcome);
        loop.stop();
    });
    loop.run();
    REQUIRE(result.has_value());
    return std::move(*result);
}

HttpRequest order(const nlohmann::json &json)
{
    return {"POST", "/control", {}, makeBody(json.dump())};
}

} // namespace

TEST_CASE("The log stand-in keeps what the platform promises")
{
    LogStreams streams({Milliseconds(1000), 3});
    const TimePoint start{std::chrono::hours(1)};

    SUBCASE("a stream that was never written is empty")
    {
        const StreamRead read = streams.read("notes", 0, 10, start);
        CHECK(read.first == 0);
        CHECK(read.end == 0);
    }

    SUBCASE("offsets count per stream from 0")
    {
        CHECK(streams.append("notes", "a", start) == 0);
        CHECK(streams.append("members", "b", start) == 0);
        CHECK(streams.append("notes", "c", start) == 1);

        SUBCASE("and the rate limit holds over all streams, for a second")
        {
            CHECK_FALSE(streams.append("notes", "d", start + Milliseconds(999)).has_value());
            CHECK(streams.append("notes", "d", start + Milliseconds(1000)) == 2);
        }

        SUBCASE("and a read below the oldest kept record starts there")
        {
            REQUIRE(streams.append("notes", "d", start + Milliseconds(1000)) == 2);
            const StreamRead read = streams.read("notes", 0, 10, start + Milliseconds(1001));
            CHECK(read.first == 2);
            CHECK(read.end == 3);
            REQUIRE(read.records.size() == 1);
            CHECK(read.records[0].payload == "d");
        }

        SUBCASE("and a stream whose records all expired keeps its end")
        {
            const StreamRead read = streams.read("notes", 0, 10, start + Milliseconds(5000));
            CHECK(read.first == 2);
            CHECK(read.end == 2);
        }
    }
}

TEST_CASE("The target stand-in runs requests and says whose an answer is")
{
    EventLoop loop;
    const SystemClock clock;
    TargetStandIn::Options options;
    options.service = "ledger";
    options.listen = endpoint;
    options.announced = endpoint;
    options.node = noNode;
    options.slots = 1;
    TargetStandIn target(loop, clock, options);
    REQUIRE(target.start().has_value());
    HttpClient client(loop, endpoint, bodyLimit);
    const HttpRequest request{
            "POST", "/units?service_ms=1", {{"Chive-Request-Id", "r1"}}, makeBody("abc")};

    SUBCASE("whole, and recorded")
    {
        const auto outcome = exchange(loop, client, request);
        REQUIRE(outcome.has_value());
        const auto body = nlohmann::json::parse(bytesOf(outcome.value().body));
        CHECK(body["request_id"] == "r1");
        CHECK(body["path"] == "/units?service_ms=1");
        const auto records = exchange(loop, client, {"GET", "/control/executions", {}, nullptr});
        REQUIRE(records.has_value());
        const auto list = nlohmann::json::parse(bytesOf(records.value().body));
        REQUIRE(list.size() == 1);
        CHECK(list[0]["request_id"] == "r1");
        CHECK(list[0]["status"] == 200);
    }

    SUBCASE("cut, without a length or not at all, when told to")
    {
        std::string fault;
        SUBCASE("cut")
        {
            fault = "truncate_answers";
        }
        SUBCASE("without a length")
        {
            fault = "answers_without_length";
        }
        SUBCASE("not at all")
        {
            fault = "swallow_answers";
        }
        REQUIRE(exchange(loop, client, order({{fault, 1}})).has_value());
        CHECK_FALSE(exchange(loop, client, request).has_value());
        CHECK(exchange(loop, client, request).has_value());
    }

    SUBCASE("refused with 503 beyond its slots, and the slot is free after a cancel")
    {
        HttpClient other(loop, endpoint, bodyLimit);
        const auto id = other.send({"GET", "/slow?service_ms=60000", {}, nullptr},
                                   Milliseconds(60'000), [](const auto &) {});
        int status = 0;
        while (status != 503)
            status = exchange(loop, client, request).value().status;
        other.cancel(id);
        while (status != 200)
            status = exchange(loop, client, request).value().status;
    }
}
