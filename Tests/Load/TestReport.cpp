#include <Load/Report.h>

#include <doctest/doctest.h>

using namespace chive;
using namespace chive::load;
using namespace std::chrono_literals;

namespace {

/// Ten calls a second for 6 s; in the seconds 2 and 3 half of them fail.
struct Story
{
    Story()
    {
        trace.name = "story";
        trace.services.push_back({"ledger", 4, 8, 30, "", {{"read"}}});
        trace.phases = {{"before", 0s, 2s}, {"after", 2s, 6s}};
        run.deployment = "policy";
        for (int i = 0; i < 60; ++i) {
            trace.calls.push_back({i * 100ms, "c", "ledger", "read", "GET", "/read", 0, 1s, ""});
            const bool isPoor = i >= 20 && i < 40;
            const bool isWhole = !isPoor || i % 2 == 0;
            run.results.push_back({isWhole, 10.0 + i, 1, isWhole ? "" : "not-run overloaded"});
            run.totals[requestIdOf(trace, i)] = {isWhole ? 1U : 2U, isWhole ? 10.0 : 20.0};
        }
    }

    Trace trace;
    DeploymentRun run;
};

} // namespace

TEST_CASE("The figures of a replay")
{
    const Story story;
    const Figures before = figuresOf(story.trace, story.run, story.trace.phases[0], "read", 1.0);
    const Figures after = figuresOf(story.trace, story.run, story.trace.phases[1], "", 1.0);

    SUBCASE("goodput counts whole calls by their intended time")
    {
        CHECK(before.offered == 20);
        CHECK(before.goodput == doctest::Approx(10.0));
        CHECK(after.wholeShare == doctest::Approx(0.75));
    }

    SUBCASE("latencies are those of whole calls")
    {
        CHECK(before.median == doctest::Approx(19.0));
        CHECK(before.p99 == doctest::Approx(29.0));
    }

    SUBCASE("runs of calls that failed are wasted")
    {
        CHECK(before.wastedShare == doctest::Approx(0.0));
        CHECK(after.runsPerCall == doctest::Approx(50.0 / 40.0));
        CHECK(after.wastedShare == doctest::Approx(200.0 / 500.0));
    }

    SUBCASE("recovery lasts to the end of the last poor second")
    {
        CHECK(before.recovery == doctest::Approx(0.0));
        CHECK(after.recovery == doctest::Approx(2.0));
    }
}

TEST_CASE("Stated outcomes are judged for the deployment that they name")
{
    Story story;
    story.trace.expectations = {{"policy", "goodput", "after", "", "before", 0.7},
                                {"policy", "whole_share", "after", "", "", 0.9},
                                {"baseline", "goodput", "after", "", "", 0.0},
                                {"policy", "no such measure", "after", "", "", 0.0}};
    const auto judgements = judge(story.trace, {story.run});
    REQUIRE(judgements.size() == 3);
    CHECK(judgements[0].isMet);
    CHECK_FALSE(judgements[1].isMet);
    CHECK_FALSE(judgements[2].isMet);
}
