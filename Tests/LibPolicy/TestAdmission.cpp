#include <LibPolicy/Admission.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace chive;

namespace {

constexpr Milliseconds plenty{10'000};

struct Story
{
    explicit Story(std::string_view name, std::uint32_t slots = 10)
        : plugin(Registry<AdmissionPlugin>::find(name))
        , state(makeAdmissionState({slots, 30}))
    {
        REQUIRE(plugin != nullptr);
    }

    OfferDecision offer(WorkToken token, Importance importance = Importance::Normal,
                        Duration duration = Duration::Short, Milliseconds timeLeft = plenty)
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
    Story story("adaptive");

    SUBCASE("while there are slots, work runs at once")
    {
        CHECK(story.offer(1).action == AdmissionAction::Run);
        CHECK(loadOf(story.state, story.now).inFlight == 1);
        CHECK(loadOf(story.state, story.now).admitted == importanceLevels - 1);
    }

    SUBCASE("work whose deadline has passed is refused as not run")
    {
        const OfferDecision decision
                = story.offer(1, Importance::Critical, Duration::Short, Milliseconds(0));
        CHECK(decision.action == AdmissionAction::Refuse);
        CHECK(decision.verdict.execution == Execution::NotRun);
        CHECK(decision.verdict.reason == Reason::DeadlineExceeded);
    }

    SUBCASE("when all slots are taken")
    {
        story.offerMany(1, 10);

        SUBCASE("work waits, and starts in order of importance, then deadline")
        {
            CHECK(story.offer(11, Importance::Low).action == AdmissionAction::Queue);
            (void)story.offer(12, Importance::Normal, Duration::Short, Milliseconds(9'000));
            (void)story.offer(13, Importance::Normal, Duration::Short, Milliseconds(8'000));
            (void)story.offer(14, Importance::Critical);
            CHECK(isStarted(story.finish(1, Milliseconds(10)), 14));
            CHECK(isStarted(story.finish(2, Milliseconds(10)), 13));
            CHECK(isStarted(story.finish(3, Milliseconds(10)), 12));
            CHECK(isStarted(story.finish(4, Milliseconds(10)), 11));
        }

        SUBCASE("and the queue is full of normal work")
        {
            story.offerMany(11, 40);

            SUBCASE("an equal is refused with a time to come back")
            {
                const OfferDecision decision = story.offer(41);
                CHECK(decision.action == AdmissionAction::Refuse);
                CHECK(decision.verdict.reason == Reason::Overloaded);
                CHECK(decision.verdict.retryAfter.has_value());
                CHECK(loadOf(story.state, story.now).admitted
                      == static_cast<std::uint8_t>(Importance::High));
            }

            SUBCASE("something more important evicts one, as not run")
            {
                const OfferDecision decision = story.offer(41, Importance::Critical);
                CHECK(decision.action == AdmissionAction::Queue);
                REQUIRE(decision.evicted.size() == 1);
                CHECK(decision.evicted[0].token == 40);
                CHECK(decision.evicted[0].verdict.execution == Execution::NotRun);
                CHECK(decision.evicted[0].verdict.reason == Reason::Overloaded);
            }

            SUBCASE("important work takes the place of all of it, and may wait longer")
            {
                std::size_t evicted = 0;
                for (WorkToken token = 50; token < 80; ++token) {
                    const OfferDecision decision = story.offer(token, Importance::Critical);
                    CHECK(decision.action == AdmissionAction::Queue);
                    evicted += decision.evicted.size();
                }
                CHECK(evicted == 30);
            }

            SUBCASE("the reported level rises again when nothing is refused any more")
            {
                REQUIRE(story.offer(41).action == AdmissionAction::Refuse);
                story.now += Milliseconds(200);
                CHECK(loadOf(story.state, story.now).admitted == importanceLevels - 1);
            }
        }

        SUBCASE("a part of a tree waits where new work of its rank is refused, and goes first")
        {
            story.offerMany(11, 40);
            REQUIRE(story.offer(41).action == AdmissionAction::Refuse);
            WorkAttributes nested{Importance::Normal, Duration::Short, story.now + plenty};
            nested.isNested = true;
            CHECK(story.plugin->offer(story.state, nested, 42, story.now).action
                  == AdmissionAction::Queue);
            CHECK(isStarted(story.finish(1, Milliseconds(10)), 42));
        }
        SUBCASE("queued work that is cancelled never starts")
        {
            (void)story.offer(11);
            cancel(story.state, 11);
            CHECK(story.finish(1, Milliseconds(10)).started.empty());
        }

        SUBCASE("cancelled running work frees its slot")
        {
            (void)story.offer(11);
            cancel(story.state, 1);
            CHECK(isStarted(story.plugin->startNext(story.state, story.now), 11));
        }

        SUBCASE("queued work that can no longer end in time is answered as not run")
        {
            (void)story.finish(1, Milliseconds(50));
            (void)story.offer(11);
            (void)story.offer(12, Importance::Normal, Duration::Short, Milliseconds(120));
            story.now += Milliseconds(100);
            const StartDecision decision = story.plugin->startNext(story.state, story.now);
            REQUIRE(decision.expired.size() == 1);
            CHECK(decision.expired[0].token == 12);
            CHECK(decision.expired[0].verdict.execution == Execution::NotRun);
            CHECK(decision.expired[0].verdict.reason == Reason::DeadlineExceeded);
        }
    }

    SUBCASE("work is not refused for the usual time of its kind while some of it is fast enough")
    {
        for (WorkToken token = 100; token < 200; ++token) {
            (void)story.offer(token);
            (void)story.finish(token, Milliseconds(token % 2 == 0 ? 50 : 900));
        }
        (void)story.offer(1);
        const auto offerHurried = [&](WorkToken token, Milliseconds timeLeft) {
            return story.offer(token, Importance::Normal, Duration::Short, timeLeft);
        };
        CHECK(offerHurried(2, Milliseconds(300)).action == AdmissionAction::Run);
        CHECK(offerHurried(3, Milliseconds(20)).action == AdmissionAction::Refuse);
    }

    SUBCASE("work that would end too late is refused, unless the target is idle")
    {
        (void)story.offer(1);
        (void)story.finish(1, Milliseconds(500));
        const auto offerHurried = [&](WorkToken token) {
            return story.offer(token, Importance::Normal, Duration::Short, Milliseconds(100));
        };
        CHECK(offerHurried(2).action == AdmissionAction::Run);
        CHECK(offerHurried(3).action == AdmissionAction::Refuse);
    }
}

TEST_CASE("Long work beside short work")
{
    Story story("adaptive");
    story.offerMany(101, 115, Importance::Normal, Duration::Long);
    REQUIRE(story.state.longRunning == 3);

    SUBCASE("short work finds the slots that long work may not hold")
    {
        for (WorkToken token = 1; token <= 7; ++token)
            CHECK(story.offer(token).action == AdmissionAction::Run);
        CHECK(story.offer(8).action == AdmissionAction::Queue);

        SUBCASE("and long work keeps its share against equal short work")
        {
            CHECK(isStarted(story.finish(101, Milliseconds(900)), 104));
            CHECK(isStarted(story.finish(1, Milliseconds(9)), 8));
        }

        SUBCASE("but more important short work goes first")
        {
            (void)story.offer(9, Importance::Critical);
            CHECK(isStarted(story.finish(101, Milliseconds(900)), 9));
        }
    }

    SUBCASE("a full queue of long work refuses long work, not short work")
    {
        CHECK(story.offer(120, Importance::Normal, Duration::Long).action
              == AdmissionAction::Refuse);
        CHECK(story.offer(1).action == AdmissionAction::Run);
    }
}

TEST_CASE("The concurrency limit")
{
    Story story("adaptive", 100);
    const auto runFor = [&](Milliseconds time, Milliseconds latency, bool wasOverloaded) {
        const TimePoint end = story.now + time;
        for (WorkToken token = 1'000; story.now < end; ++token) {
            (void)story.offer(token);
            (void)story.finish(token, latency, wasOverloaded);
            story.now += Milliseconds(1);
        }
    };
    runFor(Milliseconds(1'000), Milliseconds(10), false);
    REQUIRE(currentLimit(story.state.limit) == 100);

    SUBCASE("falls while the target refuses, and rises again afterwards")
    {
        runFor(Milliseconds(1'000), Milliseconds(10), true);
        const std::uint32_t low = currentLimit(story.state.limit);
        CHECK(low < 50);
        CHECK(low >= 20);
        runFor(Milliseconds(3'000), Milliseconds(10), false);
        CHECK(currentLimit(story.state.limit) == 100);
    }

    SUBCASE("stays when kinds of different length take turns")
    {
        for (int turn = 0; turn < 20; ++turn) {
            runFor(Milliseconds(200), Milliseconds(20), false);
            runFor(Milliseconds(200), Milliseconds(300), false);
            CHECK(currentLimit(story.state.limit) == 100);
        }
    }

    SUBCASE("stays when a slower target gains nothing from a lower one")
    {
        const auto runSlowFor = [&](Milliseconds time) {
            const TimePoint end = story.now + time;
            for (WorkToken token = 1'000'000; story.now < end; ++token) {
                (void)story.offer(token);
                (void)story.finish(token, Milliseconds(100), false);
                // Throughput is proportional to the limit, as on a target with separate slots.
                story.now += Microseconds(100'000 / currentLimit(story.state.limit));
            }
        };
        runSlowFor(Milliseconds(5'000));
        CHECK(currentLimit(story.state.limit) >= 80);
    }
}

TEST_CASE("Baselines of admission")
{
    SUBCASE("no control runs everything")
    {
        Story story("none", 1);
        story.offerMany(1, 50);
        CHECK(loadOf(story.state, story.now).inFlight == 50);
    }

    SUBCASE("a fixed limit queues in order of arrival, up to a bound")
    {
        Story story("fixed-fifo", 1);
        story.offerMany(1, 11);
        CHECK(story.offer(12, Importance::Critical).action == AdmissionAction::Refuse);
        CHECK(isStarted(story.finish(1, Milliseconds(1)), 2));
    }
}
