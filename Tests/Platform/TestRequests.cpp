#include <LibNode/Dialect.h>

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

using namespace chive;

namespace {

const Dialect &dialect()
{
    const Dialect *found = Registry<Dialect>::find("platform");
    REQUIRE(found != nullptr);
    return *found;
}

Catalogue sampleCatalogue()
{
    Route route;
    route.name = "r1";
    route.pathPrefix = "/x/";
    route.kind.name = "r1";
    route.kind.deadline = Milliseconds(800);
    route.shares = {{"ledger", 1.0}};
    Catalogue catalogue;
    catalogue.version = 3;
    catalogue.routes["a.example"] = {route};
    return catalogue;
}

HttpRequest sampleRequest()
{
    return {"POST",
            "/x/1?q=2",
            {{"Host", "a.example"},
             {"X-Chiverouter-Attempt-Id", "id-1"},
             {"X-Chiverouter-Deadline-Ms", "5000"},
             {"X-Chiverouter-Caller-Service", "forged"},
             {"Connection", "X-Hop"},
             {"X-Hop", "1"},
             {"Accept", "text/plain"}},
            makeBody("body")};
}

Judged<Call> read(const HttpRequest &request, const Catalogue &catalogue)
{
    ShareCounters shares;
    return dialect().readCall(request, {catalogue, shares, "lookup"}, TimePoint());
}

} // namespace

TEST_CASE("A caller's request on its way to the target")
{
    const auto call = read(sampleRequest(), sampleCatalogue());
    REQUIRE(call.has_value());
    CHECK(call.value().service == "ledger");
    CHECK(call.value().deadline == TimePoint() + Milliseconds(800));
    const HttpRequest sent = dialect().requestForTarget(call.value(), {"", "i-7"},
                                                        TimePoint() + Milliseconds(300));
    CHECK(sent.method == "POST");
    CHECK(sent.target == "/x/1?q=2");
    CHECK(bytesOf(sent.body) == "body");
    CHECK(findHeader(sent.headers, "Host") == "a.example");
    CHECK(findHeader(sent.headers, "X-Chiverouter-Attempt-Id") == "id-1");
    CHECK(findHeader(sent.headers, "X-Chiverouter-Deadline-Ms") == "500");
    CHECK(findHeader(sent.headers, "X-Chiverouter-Expect-Instance") == "i-7");
    CHECK(findHeader(sent.headers, "X-Chiverouter-Caller-Service") == "lookup");
    CHECK(findHeader(sent.headers, "X-Hop").empty());
    CHECK(findHeader(sent.headers, "Accept") == "text/plain");
}

TEST_CASE("The id of a nested call shows its parent")
{
    CHECK(dialect().parentOf("root.first.second") == "root.first");
    CHECK(dialect().parentOf("root").empty());

    HttpRequest request = sampleRequest();
    std::string id = "0123456789abcdef";
    for (int level = 1; level < 10; ++level)
        id += ".0123456789abcdef";
    request.headers[1].second = id;
    CHECK(read(request, sampleCatalogue()).has_value());
}

TEST_CASE("What cannot be read is refused as not run")
{
    HttpRequest request = sampleRequest();
    SUBCASE("no configuration: the node is not ready, the route may exist")
    {
        const auto call = read(request, Catalogue());
        REQUIRE_FALSE(call.has_value());
        CHECK(dialect().responseFor(call.error(), "id-1").status == 503);
    }
    SUBCASE("no route")
    {
        request.target = "/y/";
        const auto call = read(request, sampleCatalogue());
        REQUIRE_FALSE(call.has_value());
        CHECK(dialect().responseFor(call.error(), "id-1").status == 404);
    }
}

TEST_CASE("A refusal that promises not to have run is kept apart from all others")
{
    const auto answerOf = [](int status, std::vector<Header> headers) {
        return dialect().readAnswer({status, std::move(headers), nullptr});
    };
    const Header signature{"X-Chiverouter-Response-Stamp", "s"};
    const Header id{"X-Chiverouter-Attempt-Id", "id-1"};
    const Header refused{"X-Chiverouter-Not-Executed", "1"};

    SUBCASE("the target's own answers pass")
    {
        CHECK(answerOf(200, {signature}).has_value());
        CHECK(answerOf(500, {signature}).has_value());
        CHECK(answerOf(504, {signature}).has_value());
    }
    SUBCASE("only the target's word proves that it has not run")
    {
        const auto shed = answerOf(503, {refused, id});
        REQUIRE_FALSE(shed.has_value());
        CHECK(shed.error().execution == Execution::NotRun);
        CHECK(shed.error().hasReachedTarget);
        CHECK(answerOf(421, {id}).error().execution == Execution::NotRun);
        for (const int status : {503, 429, 408})
            CHECK(answerOf(status, {signature, id}).error().execution == Execution::MayHaveRun);
        CHECK(answerOf(200, {}).error().execution == Execution::MayHaveRun);
    }
    SUBCASE("and only if it names the request")
    {
        for (const int status : {400, 421, 429, 503})
            CHECK(answerOf(status, {refused}).error().execution == Execution::MayHaveRun);
        CHECK(answerOf(421, {}).error().execution == Execution::MayHaveRun);
    }
    SUBCASE("no verdict that may have run is told as one that has not")
    {
        for (int reason = 0; reason <= static_cast<int>(Reason::QuotaExceeded); ++reason) {
            const int status
                    = dialect().responseFor(mayHaveRun(static_cast<Reason>(reason)), "id").status;
            CAPTURE(reason);
            CHECK((status == 502 || status == 504));
        }
    }
    SUBCASE("and a refusal says when to come back")
    {
        Verdict verdict = notRun(Reason::Overloaded);
        verdict.retryAfter = Milliseconds(1'250);
        const HttpResponse response = dialect().responseFor(verdict, "id");
        CHECK(response.status == 503);
        CHECK(findHeader(response.headers, "Retry-After") == "1.250");
    }
}
