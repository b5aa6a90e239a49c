#include <LibPolicy/Choice.h>

#include <doctest/doctest.h>

#include <array>
#include <map>

using namespace chive;

namespace {

/// Simulates a chooser and its targets. Calls are sent 1 ms apart.
struct ChoiceFixture
{
    explicit ChoiceFixture(std::string_view name)
        : plugin(Registry<ChoicePlugin>::find(name))
    {
        REQUIRE(plugin != nullptr);
    }

    std::size_t choose(Importance importance = Importance::Normal)
    {
        const auto index = plugin->choose(state, candidates, {importance, Duration::Short}, now);
        REQUIRE(index.has_value());
        return *index;
    }

    /// Sends one call, which is answered after the current latency of its target.
    std::size_t call()
    {
        const std::size_t index = choose();
        const TimePoint sentAt = now;
        const std::string_view nodeId = candidates[index].nodeId;
        noteSent(state, nodeId, Duration::Short, now);
        pending.emplace(now + latency[index], std::pair{index, sentAt});
        now += Milliseconds(1);
        answerDueCalls();
        return index;
    }

    void answerDueCalls()
    {
        while (!pending.empty() && pending.begin()->first <= now) {
            const auto [index, sentAt] = pending.begin()->second;
            noteEnded(state, candidates[index].nodeId,
                      {sentAt, Duration::Short, true, false, loads[index]}, pending.begin()->first);
            pending.erase(pending.begin());
        }
    }

    std::array<int, 4> callFor(Milliseconds time)
    {
        std::array<int, 4> counts{};
        for (const TimePoint end = now + time; now < end;)
            ++counts.at(call());
        return counts;
    }

    const ChoicePlugin *plugin;
    ChoiceState state;
    TimePoint now{std::chrono::hours(1)};
    std::vector<Candidate> candidates{{"a"}, {"b"}, {"c"}, {"d"}};
    std::array<Milliseconds, 4> latency{Milliseconds(10), Milliseconds(10), Milliseconds(10),
                                        Milliseconds(10)};
    std::array<TargetLoad, 4> loads{TargetLoad{0, 0, 50, 3}, TargetLoad{0, 0, 50, 3},
                                    TargetLoad{0, 0, 50, 3}, TargetLoad{0, 0, 50, 3}};
    std::multimap<TimePoint, std::pair<std::size_t, TimePoint>> pending;
};

} // namespace

TEST_CASE("Two choices")
{
    ChoiceFixture fixture("two-choices");

    SUBCASE("without candidates there is no choice")
    {
        CHECK_FALSE(fixture.plugin->choose(fixture.state, {}, {}, fixture.now).has_value());
    }

    SUBCASE("equal targets get about equal work")
    {
        for (const int count : fixture.callFor(Milliseconds(4'000))) {
            CHECK(count > 800);
            CHECK(count < 1'200);
        }
    }

    SUBCASE("a target that turns slow")
    {
        (void)fixture.callFor(Milliseconds(1'000));
        fixture.latency[2] = Milliseconds(100);

        SUBCASE("is excluded within a few hundred milliseconds although it reports to be idle")
        {
            (void)fixture.callFor(Milliseconds(300));
            CHECK(fixture.callFor(Milliseconds(5'000))[2] < 25);
        }

        SUBCASE("is probed and used again soon after it recovers")
        {
            (void)fixture.callFor(Milliseconds(1'500));
            fixture.latency[2] = Milliseconds(10);
            (void)fixture.callFor(Milliseconds(5'500));
            CHECK(fixture.callFor(Milliseconds(1'000))[2] > 180);
        }
    }

    SUBCASE("when all targets turn slow, none is excluded")
    {
        (void)fixture.callFor(Milliseconds(1'000));
        fixture.latency.fill(Milliseconds(100));
        (void)fixture.callFor(Milliseconds(1'000));
        for (const int count : fixture.callFor(Milliseconds(2'000)))
            CHECK(count > 300);
    }

    SUBCASE("the own data centre")
    {
        fixture.candidates = {{"a", true}, {"b", true}, {"c", false}, {"d", false}};

        SUBCASE("is preferred")
        {
            const auto counts = fixture.callFor(Milliseconds(1'000));
            CHECK(counts[2] + counts[3] == 0);
        }

        SUBCASE("is not preferred while its targets report queues")
        {
            (void)fixture.callFor(Milliseconds(100));
            fixture.loads[0].queued = fixture.loads[1].queued = 5;
            (void)fixture.callFor(Milliseconds(100));
            const auto counts = fixture.callFor(Milliseconds(300));
            CHECK(counts[2] + counts[3] > 250);
        }
    }

    SUBCASE("a target that would refuse the call is avoided while its report is fresh")
    {
        (void)fixture.callFor(Milliseconds(100));
        fixture.loads[0].admitted = static_cast<std::uint8_t>(Importance::High);
        (void)fixture.callFor(Milliseconds(100));
        for (int i = 0; i < 100; ++i) {
            CHECK(fixture.choose(Importance::Normal) != 0);
            if (i % 10 == 0)
                CHECK(fixture.choose(Importance::High) < 4);
        }
    }

    SUBCASE("a suspect is used only when no other target is left")
    {
        fixture.candidates = {{"a", true, true}, {"b", true, false}};
        for (int i = 0; i < 20; ++i)
            CHECK(fixture.choose() == 1);
        fixture.candidates[1].isSuspect = true;
        CHECK(fixture.choose() < 2);
    }

    SUBCASE("a target that just failed is briefly excluded")
    {
        noteSent(fixture.state, "a", Duration::Short, fixture.now);
        noteEnded(fixture.state, "a", {fixture.now, Duration::Short, false, true, {}}, fixture.now);
        for (int i = 0; i < 50; ++i)
            CHECK(fixture.choose() != 0);
    }
}

TEST_CASE("Baseline load balancing policies")
{
    SUBCASE("round robin takes targets in turn")
    {
        ChoiceFixture fixture("round-robin");
        CHECK(fixture.choose() == 0);
        CHECK(fixture.choose() == 1);
    }

    SUBCASE("request counting skips an absent target and takes the others in turn")
    {
        ChoiceFixture fixture("request-counting");
        fixture.candidates = {{"a"}, {"c"}, {"d"}};
        std::string order;
        for (int i = 0; i < 6; ++i)
            order += fixture.candidates[fixture.choose()].nodeId;
        CHECK(order == "acdacd");
    }

    SUBCASE("least in flight selects the target with the fewest outstanding calls")
    {
        ChoiceFixture fixture("least-in-flight");
        noteSent(fixture.state, "a", Duration::Short, fixture.now);
        noteSent(fixture.state, "b", Duration::Long, fixture.now);
        noteSent(fixture.state, "d", Duration::Short, fixture.now);
        CHECK(fixture.choose() == 2);
    }
}

TEST_CASE("The state of removed targets is dropped")
{
    ChoiceFixture fixture("two-choices");
    (void)fixture.callFor(Milliseconds(50));
    const std::array members{Candidate{"b"}};
    retainTargets(fixture.state, members);
    CHECK(fixture.state.targets.size() == 1);
    CHECK(expectedLatency(fixture.state, "b") > Microseconds(0));
    CHECK(expectedLatency(fixture.state, "a") == Microseconds(0));
}
