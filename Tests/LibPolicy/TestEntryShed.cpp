#include <LibPolicy/EntryShed.h>

#include <doctest/doctest.h>

#include <array>

using namespace chive;

namespace {

/// One entry node that offers calls 1 ms apart; the two targets accept one in ten of them.
struct Story
{
    void report(Importance leastAdmitted)
    {
        TargetLoad load;
        load.admitted = static_cast<std::uint8_t>(leastAdmitted);
        for (const Candidate &candidate : candidates) {
            noteEnded(targets, candidate.nodeId, {now, Duration::Short, false, false, load}, now);
        }
    }

    int passedOf(int calls, Importance importance, bool isOverloaded)
    {
        int passed = 0;
        for (int i = 0; i < calls; ++i) {
            now += Milliseconds(1);
            if (shouldShedAtEntry(shed, targets, candidates, importance, now))
                continue;
            ++passed;
            report(isOverloaded ? Importance::High : Importance::Low);
            if (!isOverloaded || i % 10 == 0)
                noteAccepted(shed, importance, now);
        }
        return passed;
    }

    EntryShedState shed;
    ChoiceState targets;
    std::array<Candidate, 2> candidates{Candidate{"a"}, Candidate{"b"}};
    TimePoint now{std::chrono::hours(1)};
};

} // namespace

TEST_CASE("Shedding at the entry")
{
    Story story;

    SUBCASE("nothing is shed while targets accept")
    {
        CHECK(story.passedOf(1'000, Importance::Normal, false) == 1'000);
    }

    SUBCASE("under overload most is shed, and enough passes to keep the targets full")
    {
        (void)story.passedOf(1'000, Importance::Normal, true);
        const int passed = story.passedOf(1'000, Importance::Normal, true);
        CHECK(passed < 300);
        CHECK(passed > 20);

        SUBCASE("what the targets still admit is not shed")
        {
            CHECK(story.passedOf(200, Importance::High, true) == 200);
        }

        SUBCASE("and all of it passes again within a second after the overload")
        {
            (void)story.passedOf(1'000, Importance::Normal, false);
            CHECK(story.passedOf(1'000, Importance::Normal, false) == 1'000);
        }
    }

    SUBCASE("one target that still admits is enough")
    {
        (void)story.passedOf(1'000, Importance::Normal, true);
        noteEnded(story.targets, "b", {story.now, Duration::Short, false, false, TargetLoad{}},
                  story.now);
        CHECK_FALSE(shouldShedAtEntry(story.shed, story.targets, story.candidates,
                                      Importance::Normal, story.now));
    }
}
