#include <LibNode/Inbound.h>

#include <doctest/doctest.h>

using namespace chive;

namespace {

Catalogue sampleCatalogue()
{
    Service service;
    service.name = "ledger";
    Kind read{"read", "GET", "/units/"};
    read.repetition = Repetition::Idempotent;
    read.importance = Importance::Critical;
    Kind entry{"entry", "POST", "/"};
    entry.repetition = Repetition::AtMostOnce;
    entry.deadline = Milliseconds(2000);
    service.kinds = {read, entry};
    Catalogue catalogue;
    catalogue.services.emplace("ledger", service);
    return catalogue;
}

Reason refusalOf(const HttpRequest &request)
{
    const auto call = readCall(request, sampleCatalogue(), TimePoint());
    REQUIRE_FALSE(call.has_value());
    CHECK(call.error().execution == Execution::NotRun);
    return call.error().reason;
}

} // namespace

TEST_CASE("A request is parsed with the kinds of the catalogue")
{
    const Catalogue catalogue = sampleCatalogue();
    HttpRequest request{"GET", "/ledger/units/7?full=1", {}, nullptr};

    SUBCASE("the kind sets importance and deadline")
    {
        request.headers
                = {{"Connection", "close"}, {"Accept", "text/plain"}, {"chive-call", "forged"}};
        const auto call = readCall(request, catalogue, TimePoint());
        REQUIRE(call.has_value());
        CHECK(call.value().service == "ledger");
        CHECK(call.value().path == "/units/7?full=1");
        CHECK(call.value().kind == "read");
        CHECK(call.value().importance == Importance::Critical);
        CHECK(call.value().deadline == TimePoint() + Milliseconds(5000));
        CHECK(call.value().headers == std::vector<Header>{{"Accept", "text/plain"}});
        CHECK_FALSE(call.value().requestId.empty());
    }

    SUBCASE("the caller may shorten the deadline but not extend it")
    {
        request.headers = {{"Chive-Deadline-Ms", "300"}};
        CHECK(readCall(request, catalogue, TimePoint()).value().deadline
              == TimePoint() + Milliseconds(300));
        request.headers = {{"Chive-Deadline-Ms", "999999"}};
        CHECK(readCall(request, catalogue, TimePoint()).value().deadline
              == TimePoint() + Milliseconds(5000));
    }

    SUBCASE("a request with errors is refused before anything runs")
    {
        CHECK(refusalOf({"GET", "nowhere", {}, nullptr}) == Reason::BadRequest);
        CHECK(refusalOf({"GET", "/faxes/1", {}, nullptr}) == Reason::UnknownService);
        CHECK(refusalOf({"GET", "/ledger/other", {}, nullptr}) == Reason::UnknownKind);
        CHECK(refusalOf({"POST", "/ledger/entries", {}, nullptr}) == Reason::MissingKey);
        request.headers = {{"Chive-Deadline-Ms", "soon"}};
        CHECK(refusalOf(request) == Reason::BadRequest);
        request.headers = {{"Idempotency-Key", std::string(257, 'k')}};
        CHECK(refusalOf(request) == Reason::BadRequest);
        request.headers = {{"Chive-Request-Id", "two words"}};
        CHECK(refusalOf(request) == Reason::BadRequest);
    }
}

TEST_CASE("A nested call inherits from its parent")
{
    Call parent;
    parent.requestId = "root";
    parent.importance = Importance::Low;
    parent.deadline = TimePoint() + Milliseconds(100);
    Call nested;
    nested.importance = Importance::Critical;
    nested.deadline = TimePoint() + Milliseconds(5000);
    inheritFrom(parent, nested);
    CHECK(nested.requestId == "root");
    CHECK(nested.importance == Importance::Low);
    CHECK(nested.deadline == parent.deadline);
}

TEST_CASE("A response shows the outcome to the caller")
{
    SUBCASE("a refusal shows whether the request may have run, and when to retry")
    {
        Verdict verdict = notRun(Reason::Overloaded, "queue full");
        verdict.retryAfter = Milliseconds(1200);
        const HttpResponse response = responseFor(verdict, "r1");
        CHECK(response.status == 503);
        CHECK(findHeader(response.headers, "Chive-Execution") == "not-run");
        CHECK(findHeader(response.headers, "Chive-Reason") == "overloaded");
        CHECK(findHeader(response.headers, "Retry-After") == "2");
    }

    SUBCASE("a status that promises not to have run is kept for requests that have not")
    {
        CHECK(responseFor(notRun(Reason::Leaving), "r1").status == 503);
        CHECK(responseFor(mayHaveRun(Reason::Leaving), "r1").status == 502);
    }

    SUBCASE("an answer keeps its status and body")
    {
        const HttpResponse response
                = responseFor(Answer{404, {{"Keep-Alive", "5"}}, makeBody("none")}, "r1");
        CHECK(response.status == 404);
        CHECK(*response.body == "none");
        CHECK(findHeader(response.headers, "Chive-Execution") == "has-run");
        CHECK(findHeader(response.headers, "Keep-Alive").empty());
    }
}
