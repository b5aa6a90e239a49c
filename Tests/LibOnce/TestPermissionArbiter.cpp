#include "SimulatedLog.h"

#include <LibOnce/AppendPacer.h>
#include <LibOnce/PermissionArbiter.h>

#include <doctest/doctest.h>

using namespace chive;
using chive::test::SimulatedLog;

namespace {

const TimePoint start{std::chrono::hours(1)};
constexpr Milliseconds patience{5'000};

/// One node with an arbiter on a simulated log.
struct Node
{
    SimulatedLog &log;
    PermissionArbiter arbiter;
    std::uint64_t nextToken = 1;

    Node(SimulatedLog &shared, std::uint64_t holder)
        : log(shared)
        , arbiter([holder] {
            ArbiterOptions options;
            options.holder = holder;
            return options;
        }())
    {
        read();
    }

    void read(TimePoint now = start)
    {
        arbiter.handlePage(log.read(arbiter.fold().nextOffset()), now);
    }

    std::uint64_t ask(const std::string &key, const std::string &fingerprint = "f")
    {
        arbiter.handleRequest({nextToken, key, fingerprint, start + patience}, start);
        return nextToken++;
    }

    void append(AppendEffect effect = AppendEffect::Written, bool isWritten = true)
    {
        const OnceBatch batch = arbiter.takeBatch();
        if (isWritten)
            log.append(encodeOnceRecord(batch));
        arbiter.handleAppended(batch, effect, start);
    }

    std::uint64_t run(const std::string &key)
    {
        const std::uint64_t token = ask(key);
        append();
        read();
        const auto decisions = arbiter.takeDecisions();
        REQUIRE(decisions.size() == 1);
        REQUIRE(decisions.front().isGranted);
        return token;
    }

    /// The only decision since the last call.
    PermissionDecision decision()
    {
        auto decisions = arbiter.takeDecisions();
        REQUIRE(decisions.size() == 1);
        return decisions.front();
    }
};

Answer answerOf(const std::string &body)
{
    return {201, {{"Content-Type", "text/plain"}}, makeBody(body)};
}

} // namespace

TEST_CASE("PermissionArbiter: a new key is granted only after its intent was read from the log")
{
    SimulatedLog log;
    Node node(log, 1);
    node.ask("a");
    CHECK(node.arbiter.takeDecisions().empty());
    node.append();
    CHECK(node.arbiter.takeDecisions().empty());
    node.read();
    CHECK(node.decision().isGranted);

    SUBCASE("the response to the append is lost, and the duplicate intent has no effect")
    {
        node.ask("b");
        node.append(AppendEffect::Unknown);
        node.append();
        node.read();
        CHECK(node.decision().isGranted);
        CHECK(log.records.size() == 3);
    }
}

TEST_CASE("PermissionArbiter: a key that was granted before")
{
    SimulatedLog log;
    Node first(log, 1);
    Node second(log, 2);
    const std::uint64_t token = first.run("a");

    SUBCASE("a repeated call gets the recorded answer on any node")
    {
        first.arbiter.handleEnded(token, answerOf("entry 7"));
        first.append();
        second.read();
        second.ask("a");
        const auto decision = second.decision();
        REQUIRE(decision.result.has_value());
        CHECK(decision.result.value().status == 201);
        CHECK(bytesOf(decision.result.value().body) == "entry 7");
    }

    SUBCASE("a repeated call is told that the call ran if the answer was too large to record")
    {
        first.arbiter.handleEnded(token, answerOf(std::string(5'000, 'x')));
        first.append();
        second.read();
        second.ask("a");
        const auto decision = second.decision();
        CHECK_FALSE(decision.isGranted);
        CHECK(decision.result.error().execution == Execution::HasRun);
    }

    SUBCASE("a different request with the same key is refused as not run")
    {
        second.read();
        second.ask("a", "other");
        const auto decision = second.decision();
        CHECK(decision.result.error().execution == Execution::NotRun);
        CHECK(decision.result.error().reason == Reason::BadRequest);
    }

    SUBCASE("a repeated call may have run if the first one never completes")
    {
        second.read();
        second.ask("a");
        second.arbiter.handleTimeouts(start + patience);
        const auto decision = second.decision();
        CHECK(decision.result.error().execution == Execution::MayHaveRun);
        CHECK(decision.result.error().reason == Reason::DuplicateKey);
    }

    SUBCASE("the key is free again if the target was not reached")
    {
        first.arbiter.handleEnded(token, notRun(Reason::TargetUnreachable));
        first.append();
        second.run("a");
    }

    SUBCASE("a repeated call waits for the outcome of the running one")
    {
        second.read();
        second.ask("a");
        first.arbiter.handleEnded(token, answerOf("entry 7"));
        first.append();
        second.read();
        CHECK(second.decision().result.has_value());
    }
}

TEST_CASE("PermissionArbiter: log outage")
{
    SimulatedLog log;
    Node node(log, 1);

    SUBCASE("a new key waits until its deadline and is then refused as not run")
    {
        node.ask("a");
        node.append(AppendEffect::None, false);
        node.arbiter.handleTimeouts(start + patience - Milliseconds(100));
        CHECK(node.arbiter.takeDecisions().empty());
        node.arbiter.handleTimeouts(start + patience);
        const auto decision = node.decision();
        CHECK(decision.result.error().execution == Execution::NotRun);
        CHECK(decision.result.error().retryAfter.has_value());
        CHECK_FALSE(node.arbiter.hasOutgoing());
    }

    SUBCASE("an abandoned attempt is never granted and releases its key")
    {
        node.ask("a");
        node.append(AppendEffect::Unknown, false);
        const OnceBatch delayed = node.arbiter.takeBatch();
        node.arbiter.handleTimeouts(start + patience);
        CHECK_FALSE(node.decision().isGranted);
        log.append(encodeOnceRecord(delayed));
        node.read();
        CHECK(node.arbiter.takeDecisions().empty());
        node.append();
        Node other(log, 2);
        other.run("a");
    }

    SUBCASE("a repeated call still gets the recorded answer")
    {
        const std::uint64_t token = node.run("a");
        node.arbiter.handleEnded(token, answerOf("entry 7"));
        node.ask("a");
        CHECK(node.decision().result.has_value());
    }
}

TEST_CASE("PermissionArbiter: a holder that was paused past the deadline does not run the call")
{
    SimulatedLog log;
    Node node(log, 1);
    node.ask("a");
    node.append();
    node.read(start + patience);
    CHECK(node.arbiter.takeDecisions().empty());
    node.arbiter.handleTimeouts(start + patience);
    CHECK_FALSE(node.decision().isGranted);
    node.append();
    Node other(log, 2);
    other.run("a");
}

TEST_CASE("PermissionArbiter: a node with an incomplete key table grants nothing")
{
    SimulatedLog log;
    Node old(log, 1);
    old.run("a");
    log.retainFrom(1);
    Node fresh(log, 2);
    fresh.ask("a");
    fresh.ask("b");
    CHECK_FALSE(fresh.arbiter.hasOutgoing());
    fresh.arbiter.handleTimeouts(start + patience);
    for (const auto &decision : fresh.arbiter.takeDecisions())
        CHECK(decision.result.error().reason == Reason::LogUnavailable);
}

TEST_CASE("AppendPacer: interval between appends")
{
    AppendPacer pacer;
    TimePoint now = start;
    pacer.handleSent(now);
    CHECK_FALSE(pacer.maySend(now + Milliseconds(19)));
    CHECK(pacer.maySend(now + Milliseconds(20)));

    SUBCASE("doubles when the log limits the rate and shrinks slowly after successful appends")
    {
        pacer.handleOutcome(AppendPacer::Outcome::RateLimited, now, 0.5);
        CHECK(pacer.interval() == Milliseconds(40));
        pacer.handleSent(now);
        pacer.handleOutcome(AppendPacer::Outcome::Written, now, 0.5);
        CHECK(pacer.interval() == Milliseconds(36));
    }

    SUBCASE("backs off to about a second in an outage and recovers at once after it")
    {
        pacer.handleOutcome(AppendPacer::Outcome::Unavailable, now, 0.5);
        for (int i = 0; i < 10; ++i) {
            now += Milliseconds(1'000);
            REQUIRE(pacer.maySend(now));
            pacer.handleSent(now);
            pacer.handleOutcome(AppendPacer::Outcome::Unavailable, now, 0.5);
        }
        CHECK_FALSE(pacer.maySend(now + Milliseconds(400)));
        pacer.handleReachable(now, 0.5);
        CHECK(pacer.maySend(now + Milliseconds(100)));
    }
}
