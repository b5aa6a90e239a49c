#include <LibPolicy/Admission.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace chive;

namespace {

constexpr Milliseconds ampleTime{10'000};

struct AdmissionFixture
{
    explicit AdmissionFixture(std::string_view name, std::uint32_t slots = 10)
        : plugin(Registry<AdmissionPlugin>::find(name))
        , state(makeAdmissionState({slots, 30}))
    {
        REQUIRE(plugin != nullptr);
    }

    OfferDecision offer(WorkToken token, Importance importance = Importance::Normal,
                        Duration duration = Duration::Short, Milliseconds timeLeft = ampleTime)
    {
        return plugin->offer(state, {importance, duration, now + timeLeft}, token, now);
    }

    void offerMany(WorkToken first, WorkToken last, Importance importance = Importance::Normal,
                   Duration duration = Duration::Short)
    {
        for (WorkToken token = first; token <= last; ++token)
            (void)offer(token, importance, duration);
    }

    StartDecision finish(WorkToken token, Milliseconds latency, bool wasOverloaded = false)
    {
        finished(state, token, {latency, wasOverloaded}, now);
        return plugin->startNext(state, now);
    }

    const AdmissionPlugin *plugin;
    AdmissionState state;
    TimePoint now{std::chrono::hours(1)};
};

bool isStarted(const StartDecision &decision, WorkToken token)
{
    return std::ranges::find(decision.started, token) != decision.started.end();
}

} // namespace

TEST_CASE("Adaptive admission at one target")
{
    AdmissionFixture fixture("adaptive");

    SUBCASE("work runs at once while slots are free")
    {
        CHECK(fixture.offer(1).action == AdmissionAction::Run);
        CHECK(loadOf(fixture.state, fixture.now).inFlight == 1);
        CHECK(loadOf(fixture.state, fixture.now).admitted == importanceLevels - 1);
    }

    SUBCASE("work whose deadline has passed is refused as not run")
    {
        const OfferDecision decision
                = fixture.offer(1, Importance::Critical, Duration::Short, Milliseconds(0));
        CHECK(decision.action == AdmissionAction::Refuse);
        CHECK(decision.verdict.execution == Execution::NotRun);
        CHECK(decision.verdict.reason == Reason::DeadlineExceeded);
    }

    SUBCASE("when all slots are taken")
    {
        fixture.offerMany(1, 10);

        SUBCASE("work waits, and starts in order of importance, then deadline")
        {
            CHECK(fixture.offer(11, Importance::Low).action == AdmissionAction::Queue);
            (void)fixture.offer(12, Importance::Normal, Duration::Short, Milliseconds(9'000));
            (void)fixture.offer(13, Importance::Normal, Duration::Short, Milliseconds(8'000));
            (void)fixture.offer(14, Importance::Critical);
            CHECK(isStarted(fixture.finish(1, Milliseconds(10)), 14));
            CHECK(isStarted(fixture.finish(2, Milliseconds(10)), 13));
            CHECK(isStarted(fixture.finish(3, Milliseconds(10)), 12));
            CHECK(isStarted(fixture.finish(4, Milliseconds(10)), 11));
        }

        SUBCASE("and the queue is full of normal work")
        {
            fixture.offerMany(11, 40);

            SUBCASE("equally important work is refused with a retry-after time")
            {
                const OfferDecision decision = fixture.offer(41);
                CHECK(decision.action == AdmissionAction::Refuse);
                CHECK(decision.verdict.reason == Reason::Overloaded);
                CHECK(decision.verdict.retryAfter.has_value());
                CHECK(loadOf(fixture.state, fixture.now).admitted
                      == static_cast<std::uint8_t>(Importance::High));
            }

            SUBCASE("more important work evicts one item, which counts as not run")
            {
                const OfferDecision decision = fixture.offer(41, Importance::Critical);
                CHECK(decision.action == AdmissionAction::Queue);
                REQUIRE(decision.evicted.size() == 1);
                CHECK(decision.evicted[0].token == 40);
                CHECK(decision.evicted[0].verdict.execution == Execution::NotRun);
                CHECK(decision.evicted[0].verdict.reason == Reason::Overloaded);
            }

            SUBCASE("important work replaces all of it and may wait longer")
            {
                std::size_t evicted = 0;
                for (WorkToken token = 50; token < 80; ++token) {
                    const OfferDecision decision = fixture.offer(token, Importance::Critical);
                    CHECK(decision.action == AdmissionAction::Queue);
                    evicted += decision.evicted.size();
                }
                CHECK(evicted == 30);
            }

            SUBCASE("the reported level rises again once nothing is refused")
            {
                REQUIRE(fixture.offer(41).action == AdmissionAction::Refuse);
                fixture.now += Milliseconds(200);
                CHECK(loadOf(fixture.state, fixture.now).admitted == importanceLevels - 1);
            }
        }

        SUBCASE("a nested call waits where new work of its importance is refused, and starts first")
        {
            fixture.offerMany(11, 40);
            REQUIRE(fixture.offer(41).action == AdmissionAction::Refuse);
            WorkAttributes nested{Importance::Normal, Duration::Short, fixture.now + ampleTime};
            nested.isNested = true;
            CHECK(fixture.plugin->offer(fixture.state, nested, 42, fixture.now).action
                  == AdmissionAction::Queue);
            CHECK(isStarted(fixture.finish(1, Milliseconds(10)), 42));
        }
        SUBCASE("queued work that is cancelled never starts")
        {
            (void)fixture.offer(11);
            cancel(fixture.state, 11);
            CHECK(fixture.finish(1, Milliseconds(10)).started.empty());
        }

        SUBCASE("cancelled running work frees its slot")
        {
            (void)fixture.offer(11);
            cancel(fixture.state, 1);
            CHECK(isStarted(fixture.plugin->startNext(fixture.state, fixture.now), 11));
        }

        SUBCASE("queued work that can no longer meet its deadline is answered as not run")
        {
            (void)fixture.finish(1, Milliseconds(50));
            (void)fixture.offer(11);
            (void)fixture.offer(12, Importance::Normal, Duration::Short, Milliseconds(120));
            fixture.now += Milliseconds(100);
            const StartDecision decision = fixture.plugin->startNext(fixture.state, fixture.now);
            REQUIRE(decision.expired.size() == 1);
            CHECK(decision.expired[0].token == 12);
            CHECK(decision.expired[0].verdict.execution == Execution::NotRun);
            CHECK(decision.expired[0].verdict.reason == Reason::DeadlineExceeded);
        }
    }

    SUBCASE("work is not refused for the mean latency of its kind if the lower quartile meets the "
            "deadline")
    {
        for (WorkToken token = 100; token < 200; ++token) {
            (void)fixture.offer(token);
            (void)fixture.finish(token, Milliseconds(token % 2 == 0 ? 50 : 900));
        }
        (void)fixture.offer(1);
        const auto offerWithTimeLeft = [&](WorkToken token, Milliseconds timeLeft) {
            return fixture.offer(token, Importance::Normal, Duration::Short, timeLeft);
        };
        CHECK(offerWithTimeLeft(2, Milliseconds(300)).action == AdmissionAction::Run);
        CHECK(offerWithTimeLeft(3, Milliseconds(20)).action == AdmissionAction::Refuse);
    }

    SUBCASE("work that would miss its deadline is refused unless the target is idle")
    {
        (void)fixture.offer(1);
        (void)fixture.finish(1, Milliseconds(500));
        const auto offerWithTimeLeft = [&](WorkToken token) {
            return fixture.offer(token, Importance::Normal, Duration::Short, Milliseconds(100));
        };
        CHECK(offerWithTimeLeft(2).action == AdmissionAction::Run);
        CHECK(offerWithTimeLeft(3).action == AdmissionAction::Refuse);
    }
}

TEST_CASE("Long and short work on one target")
{
    AdmissionFixture fixture("adaptive");
    fixture.offerMany(101, 115, Importance::Normal, Duration::Long);
    REQUIRE(fixture.state.longRunning == 3);

    SUBCASE("short work uses the slots that long work may not occupy")
    {
        for (WorkToken token = 1; token <= 7; ++token)
            CHECK(fixture.offer(token).action == AdmissionAction::Run);
        CHECK(fixture.offer(8).action == AdmissionAction::Queue);

        SUBCASE("and long work keeps its share against equal short work")
        {
            CHECK(isStarted(fixture.finish(101, Milliseconds(900)), 104));
            CHECK(isStarted(fixture.finish(1, Milliseconds(9)), 8));
        }

        SUBCASE("but more important short work starts first")
        {
            (void)fixture.offer(9, Importance::Critical);
            CHECK(isStarted(fixture.finish(101, Milliseconds(900)), 9));
        }
    }

    SUBCASE("a full queue of long work refuses long work, not short work")
    {
        CHECK(fixture.offer(120, Importance::Normal, Duration::Long).action
              == AdmissionAction::Refuse);
        CHECK(fixture.offer(1).action == AdmissionAction::Run);
    }
}

TEST_CASE("The concurrency limit")
{
    AdmissionFixture fixture("adaptive", 100);
    const auto runFor = [&](Milliseconds time, Milliseconds latency, bool wasOverloaded) {
        const TimePoint end = fixture.now + time;
        for (WorkToken token = 1'000; fixture.now < end; ++token) {
            (void)fixture.offer(token);
            (void)fixture.finish(token, latency, wasOverloaded);
            fixture.now += Milliseconds(1);
        }
    };
    runFor(Milliseconds(1'000), Milliseconds(10), false);
    REQUIRE(currentLimit(fixture.state.limit) == 100);

    SUBCASE("falls while the target refuses, and rises again afterwards")
    {
        runFor(Milliseconds(1'000), Milliseconds(10), true);
        const std::uint32_t low = currentLimit(fixture.state.limit);
        CHECK(low < 50);
        CHECK(low >= 20);
        runFor(Milliseconds(3'000), Milliseconds(10), false);
        CHECK(currentLimit(fixture.state.limit) == 100);
    }

    SUBCASE("is unchanged when kinds of different latency alternate")
    {
        for (int turn = 0; turn < 20; ++turn) {
            runFor(Milliseconds(200), Milliseconds(20), false);
            runFor(Milliseconds(200), Milliseconds(300), false);
            CHECK(currentLimit(fixture.state.limit) == 100);
        }
    }

    SUBCASE("is unchanged when a slower target would not gain from a lower limit")
    {
        const auto runSlowFor = [&](Milliseconds time) {
            const TimePoint end = fixture.now + time;
            for (WorkToken token = 1'000'000; fixture.now < end; ++token) {
                (void)fixture.offer(token);
                (void)fixture.finish(token, Milliseconds(100), false);
                // Throughput is proportional to the limit, as on a target with separate slots.
                fixture.now += Microseconds(100'000 / currentLimit(fixture.state.limit));
            }
        };
        runSlowFor(Milliseconds(5'000));
        CHECK(currentLimit(fixture.state.limit) >= 80);
    }
}

TEST_CASE("Baseline admission policies")
{
    SUBCASE("without control everything runs")
    {
        AdmissionFixture fixture("none", 1);
        fixture.offerMany(1, 50);
        CHECK(loadOf(fixture.state, fixture.now).inFlight == 50);
    }

    SUBCASE("a fixed limit queues in order of arrival up to a maximum length")
    {
        AdmissionFixture fixture("fixed-fifo", 1);
        fixture.offerMany(1, 11);
        CHECK(fixture.offer(12, Importance::Critical).action == AdmissionAction::Refuse);
        CHECK(isStarted(fixture.finish(1, Milliseconds(1)), 2));
    }
}
