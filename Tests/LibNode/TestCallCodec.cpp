#include <LibNode/CallCodec.h>

#include <doctest/doctest.h>

#include <random>

using namespace chive;

namespace {

Call sampleCall(TimePoint now)
{
    Call call;
    call.requestId = "r1";
    call.service = "ledger";
    call.kind = "entry";
    call.method = "POST";
    call.path = "/entries?unit=7";
    call.headers = {{"Content-Type", "text/plain"}, {"X", ""}};
    call.body = makeBody(std::string("body\0with\xFF bytes", 16));
    call.key = "k";
    call.fingerprint = "f";
    call.importance = Importance::High;
    call.repetition = Repetition::AtMostOnce;
    call.duration = Duration::Long;
    call.deadline = now + Milliseconds(1234);
    call.allowance = {2, 60};
    call.isNested = true;
    call.rootKind = "visit";
    call.treeDraw = 0.25;
    call.objective = Milliseconds(700);
    return call;
}

} // namespace

TEST_CASE("A call is unchanged after encoding and decoding")
{
    const ManualClock here;
    ManualClock there;
    there.advance(std::chrono::hours(5));
    const Call call = sampleCall(here.now());
    const auto decoded = decodeCall(encodeCall(77, call, here.now()), there.now());
    REQUIRE(decoded.has_value());
    const Call &copy = decoded.value().call;
    CHECK(decoded.value().token == 77);
    CHECK(copy.requestId == call.requestId);
    CHECK(copy.service == call.service);
    CHECK(copy.kind == call.kind);
    CHECK(copy.method == call.method);
    CHECK(copy.path == call.path);
    CHECK(copy.headers == call.headers);
    CHECK(*copy.body == *call.body);
    CHECK(copy.key == call.key);
    CHECK(copy.fingerprint == call.fingerprint);
    CHECK(copy.importance == call.importance);
    CHECK(copy.repetition == call.repetition);
    CHECK(copy.duration == call.duration);
    CHECK(copy.allowance == call.allowance);
    CHECK(copy.isNested);
    CHECK(copy.rootKind == call.rootKind);
    CHECK(copy.treeDraw == call.treeDraw);
    CHECK(copy.objective == call.objective);
    CHECK(copy.deadline - there.now() == Milliseconds(1234));
}

TEST_CASE("The customer of a call travels on links only where there is one")
{
    const ManualClock clock;
    Call call = sampleCall(clock.now());
    const std::string without = encodeCall(77, call, clock.now());
    CHECK(decodeCall(without, clock.now()).value().call.customer.empty());

    call.customer = "north";
    const std::string with = encodeCall(77, call, clock.now());
    CHECK(decodeCall(with, clock.now()).value().call.customer == "north");
    // The text and one byte of CBOR before it: without a customer not even an empty text is sent.
    CHECK(with.size() == without.size() + 1 + call.customer.size());
}

TEST_CASE("An outcome is unchanged after encoding and decoding")
{
    CallOutcome outcome;
    outcome.unspent = {1, 9};
    outcome.load = {4, 3, 20, 2};
    outcome.failedBelow = true;

    SUBCASE("as an answer")
    {
        outcome.result = Answer{207, {{"A", "b"}}, makeBody("whole")};
        const auto decoded = decodeOutcome(encodeOutcome(5, outcome));
        REQUIRE(decoded.has_value());
        const CallOutcome &copy = decoded.value().outcome;
        REQUIRE(copy.result.has_value());
        CHECK(copy.result.value().status == 207);
        CHECK(*copy.result.value().body == "whole");
        CHECK(copy.unspent == outcome.unspent);
        CHECK(copy.load.limit == 20);
        CHECK(copy.failedBelow);
    }

    SUBCASE("a report of the work adds bytes only where there is one, and may be missing")
    {
        outcome.result = Answer{200, {}, {}};
        const std::string without = encodeOutcome(5, outcome);
        CHECK_FALSE(decodeOutcome(without).value().outcome.load.work.has_value());
        outcome.load.work = WorkReport{12, 763};
        const std::string with = encodeOutcome(5, outcome);
        CHECK(with.size() <= without.size() + 5);
        CHECK(decodeOutcome(with).value().outcome.load.work == outcome.load.work);
    }

    SUBCASE("as a verdict")
    {
        Verdict verdict = mayHaveRun(Reason::TargetFailed, "gone");
        verdict.retryAfter = Milliseconds(1500);
        verdict.retriedBelow = true;
        outcome.result = verdict;
        const auto decoded = decodeOutcome(encodeOutcome(5, outcome));
        REQUIRE(decoded.has_value());
        const Verdict &copy = decoded.value().outcome.result.error();
        CHECK(copy.execution == Execution::MayHaveRun);
        CHECK(copy.reason == Reason::TargetFailed);
        CHECK(copy.retryAfter == verdict.retryAfter);
        CHECK(copy.retriedBelow);
    }
}

TEST_CASE("A damaged frame is an error, not a truncated call or answer")
{
    const ManualClock clock;
    CallOutcome outcome;
    outcome.result = Answer{200, {}, makeBody(std::string(500, 'x'))};
    const std::string answer = encodeOutcome(1, outcome);
    const std::string call = encodeCall(1, sampleCall(clock.now()), clock.now());

    SUBCASE("an answer truncated at any byte is rejected")
    {
        for (std::size_t size = 0; size < answer.size(); ++size)
            CHECK_FALSE(decodeOutcome(std::string_view(answer).substr(0, size)).has_value());
    }

    SUBCASE("very deep nesting does not crash the decoder")
    {
        constexpr std::size_t deep = 100'000;
        for (const std::string_view unit : {"\x81", "\xA1\x61k", "\x7F", "\x5F"}) {
            std::string head;
            for (std::size_t i = 0; i < deep; ++i)
                head.append(unit);
            std::string nested(4, '\0');
            for (std::size_t i = 0; i < nested.size(); ++i)
                nested[i] = static_cast<char>(head.size() >> (8 * (3 - i)));
            nested += head;
            CHECK_FALSE(decodeCall(nested, TimePoint()).has_value());
            CHECK_FALSE(decodeOutcome(nested).has_value());
            CHECK_FALSE(decodeCancel(nested).has_value());
        }
    }
    SUBCASE("random damage does not crash the decoder")
    {
        std::mt19937 generator(3);
        for (int round = 0; round < 20'000; ++round) {
            std::string damaged = round % 2 == 0 ? answer : call;
            for (int change = 0; change < 3; ++change)
                damaged[generator() % damaged.size()] = static_cast<char>(generator());
            (void)decodeOutcome(damaged);
            (void)decodeCall(damaged, clock.now());
            (void)decodeCancel(damaged);
        }
    }
}
