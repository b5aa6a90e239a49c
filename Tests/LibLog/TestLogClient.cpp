#include <LibHttp/HttpServer.h>
#include <LibKernel/EventLoop.h>
#include <LibLog/LogClient.h>

#include <doctest/doctest.h>

#include <optional>

using namespace chive;

namespace {

const Endpoint endpoint{"127.0.0.1", 22001};
constexpr Milliseconds timeout{2'000};

/// A log service that sends one prepared response, or none.
struct FixedLog
{
    EventLoop loop;
    std::optional<HttpResponse> response;
    HttpRequest seen;
    std::shared_ptr<HttpExchange> held;
    std::unique_ptr<HttpServer> server;

    FixedLog()
    {
        const auto handler = [this](HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
            seen = std::move(request);
            held = std::move(exchange);
            if (response.has_value())
                held->respond(*response);
        };
        auto listening = HttpServer::listen(loop, endpoint, 1024, handler);
        REQUIRE(listening.has_value());
        server = std::move(listening.value());
    }

    AppendOutcome append()
    {
        LogClient client(loop, endpoint);
        AppendOutcome outcome;
        const auto id = client.append("notes", "text", timeout, [&](AppendOutcome result) {
            outcome = std::move(result);
            loop.stop();
        });
        const Timer limit = loop.after(Milliseconds(300), [&] { client.cancel(id); });
        loop.run();
        return outcome;
    }

    Result<LogPage> read(std::uint64_t from)
    {
        LogClient client(loop, endpoint);
        Result<LogPage> page = Error{};
        client.read("notes", from, 10, timeout, [&](Result<LogPage> result) {
            page = std::move(result);
            loop.stop();
        });
        loop.run();
        return page;
    }
};

} // namespace

TEST_CASE("LogClient: append")
{
    FixedLog log;

    SUBCASE("returns the offset of the record")
    {
        log.response = HttpResponse{201, {}, makeBody(R"({"offset": 7})")};
        const AppendOutcome outcome = log.append();
        REQUIRE(outcome.offset.has_value());
        CHECK(outcome.offset.value() == 7);
        CHECK(log.seen.target == "/streams/notes/records");
        CHECK(bytesOf(log.seen.body) == "text");
    }

    SUBCASE("had no effect if the log rejected it")
    {
        const int status = 429;
        log.response = HttpResponse{status, {}, nullptr};
        const AppendOutcome outcome = log.append();
        CHECK(outcome.offset.error().kind == Error::Kind::Unavailable);
        CHECK(outcome.isRateLimited);
    }

    SUBCASE("had no effect if the log was unavailable")
    {
        log.response = HttpResponse{503, {}, nullptr};
        const AppendOutcome outcome = log.append();
        CHECK(outcome.offset.error().kind == Error::Kind::Unavailable);
        CHECK_FALSE(outcome.isRateLimited);
    }

    SUBCASE("had no effect if the connection was refused")
    {
        log.server.reset();
        CHECK(log.append().offset.error().kind == Error::Kind::Unavailable);
    }

    SUBCASE("may have taken effect if no response comes")
    {
        CHECK(log.append().offset.error().kind == Error::Kind::Unknown);
    }

    SUBCASE("may have taken effect if the response is malformed")
    {
        log.response = HttpResponse{201, {}, makeBody(R"({"offset": -1})")};
        CHECK(log.append().offset.error().kind == Error::Kind::Unknown);
        log.response = HttpResponse{500, {}, nullptr};
        CHECK(log.append().offset.error().kind == Error::Kind::Unknown);
    }
}

TEST_CASE("LogClient: read")
{
    FixedLog log;

    SUBCASE("returns records and the retained range")
    {
        log.response = HttpResponse{
                200, {}, makeBody(R"({"first":2,"end":9,"records":[{"offset":3,"payload":"a"}]})")};
        const Result<LogPage> page = log.read(3);
        REQUIRE(page.has_value());
        CHECK(page.value().first == 2);
        CHECK(page.value().end == 9);
        CHECK(page.value().records == std::vector<LogRecord>{{3, "a"}});
        CHECK(log.seen.target == "/streams/notes/records?from=3&limit=10");
    }

    SUBCASE("fails if the response is malformed or inconsistent")
    {
        for (const char *body :
             {R"([])", R"({"first":2,"records":[]})", R"({"first":2,"end":1,"records":[]})",
              R"({"first":0,"end":2,"records":[{"offset":2,"payload":""}]})",
              R"({"first":0,"end":9,"records":[{"offset":3,"payload":""}]})",
              R"({"first":0,"end":9,"records":[{"offset":6,"payload":""},{"offset":6,"payload":""}]})",
              R"({"first":0,"end":9,"records":[{"offset":6,"payload":1}]})"}) {
            CAPTURE(body);
            CHECK(parseLogPage(body, 5).has_error());
        }
    }
}
