#include <LibCustomers/CustomerDemand.h>
#include <LibPolicy/MeshReport.h>

#include <doctest/doctest.h>

#include <cmath>
#include <cstddef>
#include <string>
#include <string_view>

using namespace chive;

namespace {

const TimePoint start{std::chrono::hours(1)};

/// Notes evenly spaced requests and returns the time at their end.
TimePoint offer(CustomerCounts &counts, const std::string &customer, double perSecond,
                double seconds, TimePoint from)
{
    const auto spacing = std::chrono::duration_cast<TimePoint::duration>(
            std::chrono::duration<double>(1.0 / perSecond));
    const auto count = static_cast<int>(perSecond * seconds);
    for (int i = 0; i < count; ++i)
        noteRequest(counts, "query", customer, i % 2 == 0, from + i * spacing);
    return from + count * spacing;
}

std::string nameOf(int i)
{
    return "customer-" + std::to_string(i);
}

/// As a node of the search deployment reports: four kinds, 86 customers whose demand follows the
/// Zipf distribution.
MeshReport reportOfSearch(bool hasCustomers)
{
    MeshReport report;
    report.nodeId = "node-waw-1-0123456789ab";
    report.target = {"search", 1.2, {}, {24.0, 0.02}};
    CustomerCounts counts;
    for (const std::string kind : {"search-query", "pin-snapshot", "file-view", "repo-browse"}) {
        report.target.enteredKinds.emplace(kind, "search");
        report.roots.emplace(kind, RootCount{"search", Importance::High, 9, 7, 11, 0.4, 2.0});
        report.work.emplace(kind, 1.234567);
        for (int i = 0; i < 86; ++i) {
            const int requests = 1 + static_cast<int>(20 * std::pow(i + 1.0, -1.2));
            for (int request = 0; request < requests; ++request)
                noteRequest(counts, kind, nameOf(i), true, start);
        }
    }
    if (hasCustomers)
        report.customers = chive::reportOf(counts, start);
    return report;
}

MeshSummary summaryOfSearch(int limitedCustomers)
{
    MeshSummary summary{"node-waw-1-0123456789ab", 87, {}};
    summary.mesh.services["search"] = {0.912345, 1.212345, {"repo-browse"}};
    for (const std::string kind : {"search-query", "pin-snapshot", "file-view", "repo-browse"}) {
        summary.mesh.rootShares[kind] = 0.432109;
        if (limitedCustomers == 0)
            continue;
        // pin-snapshot and file-view are of the same importance and divided together.
        const int group = kind == "file-view" ? 2 : static_cast<int>(kind.size());
        AmountByCustomer &shares = summary.mesh.customerShares[kind];
        shares[""] = 1.0;
        for (int i = 0; i < limitedCustomers; ++i)
            shares[nameOf(i)] = 0.0123 * (i + (kind == "pin-snapshot" ? 2 : group));
    }
    return summary;
}

} // namespace

TEST_CASE("The requests of a customer are smoothed at its node")
{
    CustomerCounts counts;
    TimePoint now = offer(counts, "a", 50.0, 8.0, start);
    const auto offeredNow
            = [&](TimePoint at) { return reportOf(counts, at).offered.at("query").at("a"); };
    CHECK(offeredNow(now) == doctest::Approx(50.0).epsilon(0.05));

    SUBCASE("a surge shows within half a second")
    {
        // Failure: a customer that surges keeps its share of small demand for seconds.
        now = offer(counts, "a", 400.0, 0.5, now);
        CHECK(offeredNow(now) >= 200.0);
    }
    SUBCASE("one request more or less does not show")
    {
        // Failure: the share follows the chance variation from summary to summary.
        noteRequest(counts, "query", "a", true, now);
        noteRequest(counts, "query", "a", true, now);
        CHECK(offeredNow(now) == doctest::Approx(50.0).epsilon(0.05));
    }
    SUBCASE("a customer without requests is forgotten")
    {
        forgetIdle(counts, now + Milliseconds(20'000));
        CHECK(counts.kinds.empty());
    }
}

TEST_CASE("A node reports its largest customers by name and the others together")
{
    CustomerCounts counts;
    for (int i = 0; i < 10'000; ++i)
        offer(counts, nameOf(i), i < 10 ? 40.0 : 1.0, 1.0, start);
    const CustomerReport report = reportOf(counts, start + Milliseconds(1'000));
    const AmountByCustomer &offered = report.offered.at("query");
    CHECK(offered.size() == maximumReportedCustomers + 1);
    for (int i = 0; i < 10; ++i)
        CHECK(offered.contains(nameOf(i)));
    CHECK(offered.at("") > offered.at(nameOf(3)));
    CHECK(estimatedSize(report.others) > 500.0);

    SUBCASE("the status names as many")
    {
        const auto loads = largestCustomers(counts, start + Milliseconds(1'000));
        REQUIRE(loads.size() == maximumReportedCustomers + 1);
        CHECK(loads.back().customer.empty());
        CHECK(loads.front().refused == doctest::Approx(loads.front().offered / 2).epsilon(0.3));
    }
}

TEST_CASE("The number of customers that are not named is estimated")
{
    for (const int count : {1, 10, 100, 300}) {
        CAPTURE(count);
        CustomerSet left;
        CustomerSet right;
        for (int i = 0; i < count; ++i)
            add(i % 3 == 0 ? left : right, nameOf(i));
        add(right, nameOf(0));
        CHECK(estimatedSize(left | right) == doctest::Approx(count).epsilon(0.2));
    }
}

TEST_CASE("A collector adds the reports of the nodes")
{
    CustomerTable table;
    const auto reported = [](double perSecond) {
        CustomerReport report;
        report.offered["query"] = {{"a", perSecond}, {"", 5.0}};
        return report;
    };
    noteCustomers(table, "node-1", reported(10.0), start);
    noteCustomers(table, "node-2", reported(20.0), start + Milliseconds(200));
    CHECK(totalOf(table).offered.at("query").at("a") == 30.0);
    SUBCASE("the latest report of a node counts")
    {
        noteCustomers(table, "node-1", reported(40.0), start + Milliseconds(250));
        CHECK(totalOf(table).offered.at("query").at("a") == 60.0);
    }
    SUBCASE("a node that is gone is forgotten")
    {
        forgetOld(table, Milliseconds(1'500), start + Milliseconds(1'600));
        CHECK(totalOf(table).offered.at("query").at("a") == 20.0);
    }
    SUBCASE("a node without refusals reports none")
    {
        noteCustomers(table, "node-1", {}, start);
        CHECK(totalOf(table).offered.at("query").at("a") == 20.0);
    }
}

TEST_CASE("Customers in reports and summaries")
{
    SUBCASE("they are decoded as they were encoded")
    {
        const MeshReport report = reportOfSearch(true);
        const std::string bytes = encodeReport(report);
        const auto decoded = decodeReport(bytes);
        REQUIRE(decoded.has_value());
        const CustomerReport &copy = decoded.value().customers;
        CHECK(copy.others == report.customers.others);
        REQUIRE(copy.offered.size() == 4);
        for (const auto &[customer, rate] : report.customers.offered.at("file-view"))
            CHECK(copy.offered.at("file-view").at(customer) == doctest::Approx(rate).epsilon(0.01));
        for (std::size_t length = 0; length < bytes.size(); ++length)
            CHECK_FALSE(decodeReport(std::string_view(bytes).substr(0, length)).has_value());

        const MeshSummary summary = summaryOfSearch(12);
        const auto decodedSummary = decodeSummary(encodeSummary(summary));
        REQUIRE(decodedSummary.has_value());
        const CustomerAmounts &shares = decodedSummary.value().mesh.customerShares;
        REQUIRE(shares.size() == 4);
        CHECK(shares.at("file-view").at(nameOf(3)) == doctest::Approx(0.0615).epsilon(0.01));
        CHECK(shares.at("file-view").at("") == 1.0);
    }

    SUBCASE("they take the stated number of bytes, and none without customers")
    {
        const std::size_t report = encodeReport(reportOfSearch(false)).size();
        const std::size_t withCustomers = encodeReport(reportOfSearch(true)).size();
        const std::size_t summary = encodeSummary(summaryOfSearch(0)).size();
        const std::size_t limited = encodeSummary(summaryOfSearch(12)).size();
        const std::size_t most
                = encodeSummary(summaryOfSearch(static_cast<int>(maximumNamedCustomers))).size();
        MESSAGE("report " << report << " B, with customers " << withCustomers << " B; summary "
                          << summary << " B, 12 limited customers " << limited << " B, 64 " << most
                          << " B");
        CHECK(withCustomers - report <= 600);
        CHECK(limited - summary <= 700);
        CHECK(most - summary <= 3'200);
        CHECK_FALSE(encodeReport(reportOfSearch(false)).find("customers") != std::string::npos);
        CHECK_FALSE(encodeSummary(summaryOfSearch(0)).find("customers") != std::string::npos);
    }

    SUBCASE("malformed parts are rejected")
    {
        MeshSummary summary = summaryOfSearch(1);
        std::string bytes = encodeSummary(summary);
        const std::size_t share = bytes.rfind(nameOf(0)) + nameOf(0).size();
        bytes[share] = '\x20'; // -1 in place of the share.
        CHECK_FALSE(decodeSummary(bytes).has_value());
    }
}
