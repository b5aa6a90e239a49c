#include <LibPolicy/Choice.h>

#include <doctest/doctest.h>

#include <array>
#include <map>

using namespace chive;

namespace {

/// A chooser and its targets; each step is one call, 1 ms after the one before.
struct Story
{
    explicit Story(std::string_view name)
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

    /// One call from choice to answer, with the latency that its target has now.
    std::size_t call()
    {
        const std::size_t index = choose();
        const TimePoint sentAt = now;
        const std::string_view nodeId = candidates[index].nodeId;
        noteSent(state, nodeId, Duration::Short, now);
        pending.emplace(now + latency[index], std::pair{index, sentAt});
        now += Milliseconds(1);
        answerDue();
        return index;
    }

    void answerDue()
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
    Story story("two-choices");

    SUBCASE("without candidates there is no choice")
    {
        CHECK_FALSE(story.plugin->choose(story.state, {}, {}, story.now).has_value());
    }

    SUBCASE("equal targets get about equal work")
    {
        for (const int count : story.callFor(Milliseconds(4'000))) {
            CHECK(count > 800);
            CHECK(count < 1'200);
        }
    }

    SUBCASE("a target that turns slow")
    {
        (void)story.callFor(Milliseconds(1'000));
        story.latency[2] = Milliseconds(100);

        SUBCASE("is left out within a few hundred milliseconds though it reports to be idle")
        {
            (void)story.callFor(Milliseconds(300));
            CHECK(story.callFor(Milliseconds(5'000))[2] < 25);
        }

        SUBCASE("is probed and used again soon after it is well")
        {
            (void)story.callFor(Milliseconds(1'500));
            story.latency[2] = Milliseconds(10);
            (void)story.callFor(Milliseconds(5'500));
            CHECK(story.callFor(Milliseconds(1'000))[2] > 180);
        }
    }

    SUBCASE("when all turn slow, none is left out")
    {
        (void)story.callFor(Milliseconds(1'000));
        story.latency.fill(Milliseconds(100));
        (void)story.callFor(Milliseconds(1'000));
        for (const int count : story.callFor(Milliseconds(2'000)))
            CHECK(count > 300);
    }

    SUBCASE("the own data centre")
    {
        story.candidates = {{"a", true}, {"b", true}, {"c", false}, {"d", false}};

        SUBCASE("is preferred")
        {
            const auto counts = story.callFor(Milliseconds(1'000));
            CHECK(counts[2] + counts[3] == 0);
        }

        SUBCASE("is left when its targets report queues")
        {
            (void)story.callFor(Milliseconds(100));
            story.loads[0].queued = story.loads[1].queued = 5;
            (void)story.callFor(Milliseconds(100));
            const auto counts = story.callFor(Milliseconds(300));
            CHECK(counts[2] + counts[3] > 250);
        }
    }

    SUBCASE("a target that would refuse the call is avoided while its report is fresh")
    {
        (void)story.callFor(Milliseconds(100));
        story.loads[0].admitted = static_cast<std::uint8_t>(Importance::High);
        (void)story.callFor(Milliseconds(100));
        for (int i = 0; i < 100; ++i) {
            CHECK(story.choose(Importance::Normal) != 0);
            if (i % 10 == 0)
                CHECK(story.choose(Importance::High) < 4);
        }
    }

    SUBCASE("a suspect is used only when nobody else is left")
    {
        story.candidates = {{"a", true, true}, {"b", true, false}};
        for (int i = 0; i < 20; ++i)
            CHECK(story.choose() == 1);
        story.candidates[1].isSuspect = true;
        CHECK(story.choose() < 2);
    }

    SUBCASE("a target that just failed is left out for a moment")
    {
        noteSent(story.state, "a", Duration::Short, story.now);
        noteEnded(story.state, "a", {story.now, Duration::Short, false, true, {}}, story.now);
        for (int i = 0; i < 50; ++i)
            CHECK(story.choose() != 0);
    }
}

TEST_CASE("Baselines of choice")
{
    SUBCASE("round robin goes in turn")
    {
        Story story("round-robin");
        CHECK(story.choose() == 0);
        CHECK(story.choose() == 1);
    }

    SUBCASE("request counting skips a target that is gone and keeps the others in turn")
    {
        Story story("request-counting");
        story.candidates = {{"a"}, {"c"}, {"d"}};
        std::string order;
        for (int i = 0; i < 6; ++i)
            order += story.candidates[story.choose()].nodeId;
        CHECK(order == "acdacd");
    }

    SUBCASE("least in flight takes the one with fewest calls out")
    {
        Story story("least-in-flight");
        noteSent(story.state, "a", Duration::Short, story.now);
        noteSent(story.state, "b", Duration::Long, story.now);
        noteSent(story.state, "d", Duration::Short, story.now);
        CHECK(story.choose() == 2);
    }
}

TEST_CASE("What is known of targets that are gone is forgotten")
{
    Story story("two-choices");
    (void)story.callFor(Milliseconds(50));
    const std::array members{Candidate{"b"}};
    retainTargets(story.state, members);
    CHECK(story.state.targets.size() == 1);
    CHECK(expectedLatency(story.state, "b") > Microseconds(0));
    CHECK(expectedLatency(story.state, "a") == Microseconds(0));
}
