#include <LibPolicy/EntryShed.h>

#include <doctest/doctest.h>

#include <array>

using namespace chive;

namespace {

/// Simulates an entry node that offers calls 1 ms apart. Under overload the two targets accept one
/// call in ten.
struct EntryFixture
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

TEST_CASE("Load shedding at the entry node")
{
    EntryFixture fixture;

    SUBCASE("nothing is shed while targets accept")
    {
        CHECK(fixture.passedOf(1'000, Importance::Normal, false) == 1'000);
    }

    SUBCASE("under overload most calls are shed and enough pass to keep the targets full")
    {
        (void)fixture.passedOf(1'000, Importance::Normal, true);
        const int passed = fixture.passedOf(1'000, Importance::Normal, true);
        CHECK(passed < 300);
        CHECK(passed > 20);

        SUBCASE("what the targets still admit is not shed")
        {
            CHECK(fixture.passedOf(200, Importance::High, true) == 200);
        }

        SUBCASE("all calls pass again within a second after the overload")
        {
            (void)fixture.passedOf(1'000, Importance::Normal, false);
            CHECK(fixture.passedOf(1'000, Importance::Normal, false) == 1'000);
        }
    }

    SUBCASE("one target that still admits is enough")
    {
        (void)fixture.passedOf(1'000, Importance::Normal, true);
        noteEnded(fixture.targets, "b", {fixture.now, Duration::Short, false, false, TargetLoad{}},
                  fixture.now);
        CHECK_FALSE(shouldShedAtEntry(fixture.shed, fixture.targets, fixture.candidates,
                                      Importance::Normal, fixture.now));
    }
}
