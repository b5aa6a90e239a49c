#include <LibPolicy/MeshReport.h>
#include <LibPolicy/TreeBudget.h>

#include <doctest/doctest.h>

using namespace chive;

namespace {

constexpr Milliseconds interval{100};

/// Reports of one collector about a service "leaf": ten roots in an interval of the kind "tree"
/// with eight calls each, and of the kind "single" with one.
struct Reports
{
    TreeStatistics statistics;
    CallCounter counter;
    TimePoint now{std::chrono::hours(1)};

    Reports() { statistics.bound = {0.2, 93.0, Milliseconds(10'000)}; }

    TreeLimits runFor(Milliseconds duration, double rejectedShare)
    {
        TreeLimits limits;
        for (Milliseconds passed{0}; passed < duration; passed += interval, now += interval) {
            for (const auto &[kind, calls] : {std::pair("tree", 80.0), std::pair("single", 10.0)}) {
                noteTreeRoots(statistics, kind, {"front", Importance::Normal, 10.0, 10.0}, now);
                noteCalls(counter, kind, {calls, calls * rejectedShare, 0.0}, now);
            }
            noteTreeCalls(statistics, "leaf", takeCalls(counter, now), now);
            limits = treeLimits(statistics, now);
        }
        return limits;
    }
};

} // namespace

TEST_CASE("Trees are limited while a service rejects calls")
{
    Reports reports;
    CHECK(reports.runFor(Milliseconds(30'000), 0.0).treeShares.empty());

    SUBCASE("only the kinds with several calls there are refused")
    {
        const TreeLimits limits = reports.runFor(Milliseconds(1'000), 0.55);
        CHECK(limits.rejectedShares.at("leaf") == doctest::Approx(0.55).epsilon(0.05));
        REQUIRE(limits.treeShares.contains("tree"));
        CHECK(limits.treeShares.at("tree") < 0.5);
        CHECK(limits.treeShares.at("tree") >= 0.02);
        CHECK_FALSE(limits.treeShares.contains("single"));
    }
    SUBCASE("the start and the end are detected within half a second")
    {
        CHECK(reports.runFor(Milliseconds(300), 0.55).treeShares.contains("tree"));
        reports.runFor(Milliseconds(8'500), 0.55);
        const TreeLimits limits = reports.runFor(Milliseconds(400), 0.0);
        CHECK(limits.treeShares.empty());
        CHECK(limits.rejectedShares.empty());
    }
    SUBCASE("few rejections limit nothing")
    {
        CHECK(reports.runFor(Milliseconds(3'000), 0.1).treeShares.empty());
    }
    SUBCASE("a long fault does not change what was learned about the trees")
    {
        reports.runFor(Milliseconds(20'000), 0.55);
        const auto &kinds = reports.statistics.services.at("leaf").kinds;
        // Counts come in steps of a second, and the sums last for four.
        CHECK(kinds.find("tree")->second.callsPerTree == doctest::Approx(8.0).epsilon(0.15));
    }
}

TEST_CASE("A collector that has learned nothing limits nothing")
{
    Reports reports;
    CHECK(reports.runFor(Milliseconds(5'000), 0.55).treeShares.empty());
}

TEST_CASE("Calls are counted in each report only while some are rejected")
{
    CallCounter counter;
    TimePoint now{std::chrono::hours(1)};
    int taken = 0;
    for (int i = 0; i < 100; ++i, now += interval) {
        noteCalls(counter, "tree", {8.0, 0.0, 0.0}, now);
        const CallsByKind calls = takeCalls(counter, now);
        taken += calls.empty() ? 0 : 1;
    }
    CHECK(taken == 10);

    // The calls before the first rejection do not dilute the rejected share.
    noteCalls(counter, "tree", {8.0, 4.0, 0.0}, now);
    const CallsByKind calls = takeCalls(counter, now);
    REQUIRE(calls.contains("tree"));
    CHECK(calls.find("tree")->second.calls == 8.0);
    CHECK(calls.find("tree")->second.rejected == 4.0);
}

TEST_CASE("Reports without due counts and summaries without rejections stay as they were")
{
    MeshReport report;
    report.nodeId = "n1";
    const std::size_t size = encodeReport(report).size();
    report.calls["temp-read"] = {120.0, 60.0, 300.0};
    const std::string bytes = encodeReport(report);
    // A name, and three whole numbers.
    CHECK(bytes.size() - size <= 20);
    const auto decoded = decodeReport(bytes);
    REQUIRE(decoded.has_value());
    CHECK(decoded.value().calls == report.calls);

    MeshSummary summary;
    summary.collector = "n1";
    summary.mesh.treeShares["temp-read"] = 0.5;
    summary.mesh.rejectedShares["leaf"] = 0.55;
    const auto copy = decodeSummary(encodeSummary(summary));
    REQUIRE(copy.has_value());
    CHECK(copy.value().mesh.treeShares == summary.mesh.treeShares);
    CHECK(copy.value().mesh.rejectedShares == summary.mesh.rejectedShares);
}

TEST_CASE("Roots that lack retries come back within a third of the time that they have left")
{
    const Milliseconds left{1'200};
    CHECK(retryAfterRejections(left, 0.0) > Milliseconds(0));
    CHECK(retryAfterRejections(left, 1.0) <= left / 3);
    CHECK(retryAfterRejections(left, 1.0) > 3 * retryAfterRejections(left, 0.0));
    CHECK(retryAfterRejections(Milliseconds(-5), 1.0) == Milliseconds(0));
}
