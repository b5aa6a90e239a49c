#include <LibPolicy/LeastWork.h>
#include <LibPolicy/TargetWork.h>

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace chive;

namespace {

/// One chooser with four targets of 20 slots, at which a call takes 50 ms.
struct LeastWorkFixture
{
    LeastWorkFixture()
    {
        for (const Candidate &candidate : candidates)
            report(candidate.nodeId, {10, 0, 20, 3, WorkReport{0, 500}});
    }

    void report(std::string_view nodeId, const TargetLoad &load,
                Milliseconds latency = Milliseconds(50))
    {
        noteSent(state, nodeId, Duration::Short, now - latency);
        ObservedOutcome end{now - latency, Duration::Short, true, false, load};
        end.kind = "read";
        noteEnded(state, nodeId, end, now);
    }

    [[nodiscard]] TargetEstimate estimate(std::string_view nodeId, bool isNear = true)
    {
        return estimateTarget(state, viewOf(state, nodeId), request, isNear, now);
    }

    std::map<std::string_view, int> choose(int times)
    {
        std::map<std::string_view, int> counts;
        for (int i = 0; i < times; ++i) {
            const auto index = plugin->choose(state, candidates, request, now);
            ++counts[candidates.at(*index).nodeId];
        }
        return counts;
    }

    const ChoicePlugin *plugin = Registry<ChoicePlugin>::find(leastWorkName);
    ChoiceState state;
    ChoiceRequest request{Importance::Normal, Duration::Short, "read"};
    TimePoint now{std::chrono::hours(1)};
    std::vector<Candidate> candidates{{"a"}, {"b"}, {"c"}, {"d"}};
};

} // namespace

TEST_CASE("Work estimates")
{
    WorkEstimate estimate;
    TimePoint now{std::chrono::hours(1)};
    for (int i = 0; i < 1'000; ++i) {
        now += Milliseconds(10);
        addServiceTime(estimate, "read", i % 33 == 0 ? 532.0 : 62.0, 0.0, now);
    }

    SUBCASE("an old call is expected to run longer than a new one, so age tells")
    {
        const double fresh = expectedResidual(estimate, "read", 0.0);
        CHECK(fresh > 60.0);
        CHECK(fresh < 90.0);
        CHECK(expectedResidual(estimate, "read", 200.0) > 3.0 * fresh);
        CHECK(expectedResidual(estimate, "read", 480.0) < 100.0);
    }

    SUBCASE("an old call counts more than several new ones")
    {
        const std::array<RunningCall, 1> old{{{"read", 200.0, 0.0}}};
        const std::array<RunningCall, 3> fresh{{{"read", 1, 0}, {"read", 1, 0}, {"read", 1, 0}}};
        CHECK(workLeft(estimate, old, {}, 4, now).running
              > workLeft(estimate, fresh, {}, 4, now).running);
    }

    SUBCASE("a call waits only when no slot is free, and for the queue before it")
    {
        const std::array<RunningCall, 2> running{{{"read", 10, 0}, {"read", 20, 0}}};
        CHECK(workLeft(estimate, running, {}, 3, now).untilStart == 0.0);
        const double first = workLeft(estimate, running, {}, 2, now).untilStart;
        CHECK(first > 0.0);
        const std::array<std::string_view, 2> queued{"read", "read"};
        CHECK(workLeft(estimate, running, queued, 2, now).untilStart > first + 60.0);
    }

    SUBCASE("a short slowdown changes the pace at once and the usual work little")
    {
        const double usual = expectedWork(estimate, "read");
        for (int i = 0; i < 60; ++i) {
            now += Milliseconds(10);
            addServiceTime(estimate, "read", 155.0, 0.0, now);
        }
        CHECK(paceOf(estimate, now) > 1.5);
        CHECK(expectedWork(estimate, "read") < 1.15 * usual);
        CHECK(paceOf(estimate, now + Milliseconds(3'000)) < 1.1);
    }

    SUBCASE("the number of kinds is bounded")
    {
        for (int i = 0; i < 1'000; ++i)
            addServiceTime(estimate, "kind-" + std::to_string(i), 10.0, 0.0, now);
        CHECK(estimate.kinds.size() <= 32);
        CHECK(expectedWork(estimate, "kind-999") > 0.0);
    }

    SUBCASE("the wait for nested calls is no work, but keeps the slot")
    {
        for (int i = 0; i < 100; ++i)
            addServiceTime(estimate, "tree", 20.0, 300.0, now);
        CHECK(expectedWork(estimate, "tree") < 25.0);
        const std::array<RunningCall, 1> running{{{"tree", 5.0, 10.0}}};
        CHECK(workLeft(estimate, running, {}, 1, now).untilStart > 250.0);
    }
}

TEST_CASE("Least work")
{
    LeastWorkFixture fixture;

    SUBCASE("without candidates there is no choice")
    {
        CHECK_FALSE(fixture.plugin->choose(fixture.state, {}, {}, fixture.now).has_value());
    }

    SUBCASE("a target with a wait gets less, and is used again when the report is old")
    {
        fixture.report("a", {20, 10, 20, 3, WorkReport{80, 500}});
        CHECK(fixture.choose(400)["a"] < 20);
        fixture.now += Milliseconds(5'000);
        for (const std::string_view other : {"b", "c", "d"})
            fixture.report(other, {10, 0, 20, 3, WorkReport{0, 500}});
        CHECK(fixture.estimate("a").wait < 80.0);
    }

    SUBCASE("choosers with the same reports do not all choose the same target")
    {
        fixture.report("a", {2, 0, 20, 3, WorkReport{0, 500}});
        std::map<std::string_view, int> counts;
        for (unsigned seed = 1; seed <= 60; ++seed) {
            fixture.state.random.seed(seed * 7'919);
            ++counts[fixture.choose(1).begin()->first];
        }
        CHECK(counts.size() >= 3);
        CHECK(counts["a"] < 54);
    }

    SUBCASE("what the chooser has sent since the report is added to it")
    {
        fixture.now += Milliseconds(1);
        const double before = fixture.estimate("a").cost;
        for (int i = 0; i < 12; ++i)
            noteSent(fixture.state, "a", Duration::Short, fixture.now);
        CHECK(fixture.estimate("a").busy > 1.0);
        CHECK(fixture.estimate("a").cost > before);
    }

    SUBCASE("another data centre costs some milliseconds, not everything")
    {
        fixture.candidates = {{"a", true}, {"b", true}, {"c", false}, {"d", false}};
        auto counts = fixture.choose(200);
        CHECK(counts["c"] + counts["d"] == 0);
        fixture.report("a", {20, 2, 20, 3, WorkReport{40, 500}});
        fixture.report("b", {20, 2, 20, 3, WorkReport{40, 500}});
        counts = fixture.choose(200);
        CHECK(counts["c"] + counts["d"] > 150);
    }

    SUBCASE("a target without a report is taken for cold and as busy as the others")
    {
        fixture.candidates.push_back({"new"});
        const TargetEstimate cold = fixture.estimate("new");
        CHECK(cold.speed < 1.0);
        const auto counts = fixture.choose(500);
        CHECK(fixture.estimate("new").busy == doctest::Approx(0.5));
        CHECK(counts.count("new") == 1);
        CHECK(counts.at("new") < 100);
    }

    SUBCASE("a target that stays silent is judged by the calls in flight there")
    {
        const double before = fixture.estimate("a").cost;
        noteSent(fixture.state, "a", Duration::Short, fixture.now);
        noteSent(fixture.state, "a", Duration::Short, fixture.now);
        fixture.now += Milliseconds(1'000);
        CHECK(fixture.estimate("a").cost > before + 500.0);
        CHECK(fixture.choose(400)["a"] < 20);
    }

    SUBCASE("a report of an idle target is doubted if its answers are late")
    {
        for (int i = 0; i < 40; ++i) {
            fixture.now += Milliseconds(10);
            fixture.report("a", {0, 0, 20, 3, WorkReport{0, 500}}, Milliseconds(400));
            for (const std::string_view other : {"b", "c", "d"})
                fixture.report(other, {10, 0, 20, 3, WorkReport{0, 500}});
        }
        CHECK(fixture.choose(400)["a"] < 20);
    }

    SUBCASE("a target that admits only more important work is avoided")
    {
        fixture.report("a", {10, 0, 20, 0, WorkReport{0, 500}});
        CHECK(fixture.choose(200).count("a") == 0);
    }

    SUBCASE("calls of long kinds are counted on their own")
    {
        fixture.request.duration = Duration::Long;
        for (int i = 0; i < 10; ++i)
            noteSent(fixture.state, "a", Duration::Long, fixture.now);
        CHECK(fixture.choose(200)["a"] < 20);
        fixture.request.duration = Duration::Short;
        CHECK(fixture.choose(200)["a"] > 20);
    }

    SUBCASE("the speed follows a slow target without regard to the mix of kinds")
    {
        for (int i = 0; i < 200; ++i) {
            fixture.now += Milliseconds(50);
            fixture.report("a", {10, 0, 20, 3, WorkReport{0, 1'000}}, Milliseconds(100));
            for (const std::string_view other : {"b", "c", "d"})
                fixture.report(other, {10, 0, 20, 3, WorkReport{0, 500}});
        }
        CHECK(fixture.estimate("b").speed / fixture.estimate("a").speed
              == doctest::Approx(2.0).epsilon(0.1));
    }
}

TEST_CASE("One choice among 28 targets takes a few microseconds")
{
    for (const std::string_view name : {std::string_view("two-choices"), leastWorkName}) {
        const ChoicePlugin *plugin = Registry<ChoicePlugin>::find(name);
        ChoiceState state;
        std::vector<std::string> ids;
        std::vector<Candidate> candidates;
        for (int i = 0; i < 28; ++i)
            ids.push_back("node-" + std::to_string(i));
        TimePoint now{std::chrono::hours(1)};
        for (const std::string &id : ids) {
            candidates.push_back({id, candidates.size() % 3 == 0, false});
            noteSent(state, id, Duration::Short, now - Milliseconds(50));
            ObservedOutcome end{now - Milliseconds(50), Duration::Short, true, false,
                                TargetLoad{10, 0, 20, 3, WorkReport{0, 500}}};
            end.kind = "read";
            noteEnded(state, id, end, now);
        }
        constexpr int choices = 20'000;
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < choices; ++i) {
            now += Microseconds(20);
            (void)plugin->choose(state, candidates, {Importance::Normal, Duration::Short, "read"},
                                 now);
        }
        const std::chrono::duration<double, std::micro> taken
                = std::chrono::steady_clock::now() - start;
        MESSAGE(std::string(name), ": ", taken.count() / choices, " us");
        // Wide, because the machine may be busy; a choice that allocates for each candidate more
        // than two-choices or that is quadratic exceeds it.
        CHECK(taken.count() / choices < 50.0);
    }
}
