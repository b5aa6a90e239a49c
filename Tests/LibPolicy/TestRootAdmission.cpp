#include <LibCatalogue/ShareCounters.h>
#include <LibPolicy/Collectors.h>
#include <LibPolicy/MeshReport.h>
#include <LibPolicy/RootAdmission.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace chive;

namespace {

constexpr Milliseconds tickLength{100};
constexpr double tickSeconds = 0.1;

struct LoadOfKind
{
    std::string name;
    Importance importance = Importance::Normal;
    double perSecond = 0.0;
    double deepWork = 0.0;     ///< Slot time in seconds of one request at the deep service.
    std::size_t treeTicks = 4; ///< Ticks until its work reaches the deep service and is charged.
};

/// Simulates requests of callers whose call trees lead to one deep service, which serves its queue
/// in order of arrival. The admission at one node represents all nodes.
struct DeepService
{
    explicit DeepService(double serviceSlots)
        : slots(serviceSlots)
    {}

    void offerLoad(const LoadOfKind &load)
    {
        double admitted = 0.0;
        const double offered = load.perSecond * tickSeconds;
        for (int i = 0; i < static_cast<int>(offered); ++i) {
            const auto share = shares.find(load.name);
            const double taken = share == shares.end() ? 1.0 : share->second;
            admitted += admitRoot(credits, {load.name, "front"}, taken) ? 1.0 : 0.0;
        }
        std::deque<double> &inTransit = inTransitByKind[load.name];
        inTransit.push_back(admitted);
        inFlight[load.name] += admitted;
        if (inTransit.size() > load.treeTicks) {
            queue.emplace_back(load, inTransit.front());
            inTransit.pop_front();
        }
        noteRoots(statistics, "node", load.name,
                  {"front", load.importance, offered, admitted, inFlight[load.name], 0.4, 1.5},
                  now);
        totalOffered[load.name] += offered;
    }

    void processQueue()
    {
        double available = slots * tickSeconds;
        while (available > 0.0 && !queue.empty()) {
            auto &[load, requests] = queue.front();
            const double done = std::min(requests, available / load.deepWork);
            noteWork(statistics, "deep", {{load.name, done * load.deepWork}}, now);
            served[load.name] += done;
            inFlight[load.name] -= done;
            available -= done * load.deepWork;
            requests -= done;
            if (requests <= 0.0)
                queue.pop_front();
        }
    }

    double waitSeconds() const
    {
        double work = 0.0;
        for (const auto &[load, requests] : queue)
            work += requests * load.deepWork;
        return work / slots;
    }

    void runFor(double seconds, const std::vector<LoadOfKind> &loads)
    {
        for (double passed = 0.0; passed < seconds; passed += tickSeconds) {
            for (const LoadOfKind &load : loads)
                offerLoad(load);
            processQueue();
            longestWait = std::max(longestWait, waitSeconds());
            // Nodes report at different times; on average a report is half a tick old.
            now += tickLength / 2;
            shares = admittedShares(statistics, {{"deep", {slots, waitSeconds()}}}, {}, now);
            now += tickLength / 2;
        }
    }

    void resetTotals()
    {
        served.clear();
        totalOffered.clear();
        longestWait = 0.0;
    }

    double slots;
    RootStatistics statistics;
    RootAdmissionCredits credits;
    std::map<std::string, double, std::less<>> shares;
    std::map<std::string, std::deque<double>> inTransitByKind;
    std::map<std::string, double> inFlight;
    std::deque<std::pair<LoadOfKind, double>> queue;
    std::map<std::string, double> served;
    std::map<std::string, double> totalOffered;
    double longestWait = 0.0;
    TimePoint now{std::chrono::hours(1)};
};

} // namespace

TEST_CASE("Load on a service deep in the call graph")
{
    DeepService mesh(100.0);
    const LoadOfKind order{"order", Importance::Critical, 200.0, 0.1};
    const LoadOfKind browse{"browse", Importance::Normal, 200.0, 0.2};
    const LoadOfKind status{"status", Importance::Normal, 50.0, 0.3, 0};

    SUBCASE("everything within the capacity is admitted")
    {
        mesh.runFor(5.0, {{"browse", Importance::Normal, 300.0, 0.2}});
        CHECK(mesh.served["browse"] >= 0.9 * mesh.totalOffered["browse"]);
        CHECK(mesh.shares.at("browse") == 1.0);
    }

    SUBCASE("with twice the capacity offered, the service stays busy and waits stay short")
    {
        LoadOfKind twice = browse;
        twice.perSecond = 1'000.0;
        mesh.runFor(3.0, {twice});
        mesh.resetTotals();
        mesh.runFor(10.0, {twice});
        const double busy = mesh.served["browse"] * browse.deepWork / (mesh.slots * 10.0);
        CHECK(busy >= 0.9);
        CHECK(mesh.longestWait <= 0.5);
    }

    SUBCASE("the more important kind is admitted completely and the others share the rest")
    {
        mesh.runFor(3.0, {order, browse, status});
        mesh.resetTotals();
        LoadOfKind many = browse;
        many.perSecond = 800.0;
        mesh.runFor(10.0, {order, many, status});
        CHECK(mesh.served["order"] >= 0.98 * mesh.totalOffered["order"]);
        const double browseShare = mesh.served["browse"] / mesh.totalOffered["browse"];
        const double statusShare = mesh.served["status"] / mesh.totalOffered["status"];
        CHECK(browseShare < 0.6);
        CHECK(std::abs(browseShare - statusShare) <= 0.15);
    }

    SUBCASE("everything is admitted again within two seconds after a burst")
    {
        LoadOfKind burst = browse;
        burst.perSecond = 2'000.0;
        mesh.runFor(3.0, {burst});
        mesh.runFor(2.0, {browse});
        CHECK(mesh.shares.at("browse") == 1.0);
        CHECK(mesh.waitSeconds() == 0.0);
    }
}

TEST_CASE("Work that cannot be attributed to a kind is divided among those that lead to it")
{
    const TimePoint now{std::chrono::hours(1)};
    RootStatistics statistics;
    noteRoots(statistics, "a", "browse", {"front", Importance::Normal, 100.0, 100.0, 0.0, 0.4, 1.5},
              now);
    noteRoots(statistics, "a", "upload", {"files", Importance::Normal, 100.0, 100.0, 0.0, 0.4, 1.5},
              now);
    noteWork(statistics, "deep", {{"", 50.0}}, now);
    std::map<std::string, ServicePressure, std::less<>> services;
    services["front"].servicesBelow = {"deep"};
    const auto shares = admittedShares(statistics, {{"deep", {20.0, 0.0}}}, services, now);
    CHECK(shares.at("browse") < 0.5);
    CHECK(shares.at("upload") == 1.0);
}

TEST_CASE("The admitted share is spread evenly over the requests")
{
    RootAdmissionCredits credits;
    const auto admittedOf = [&](int requests, double share) {
        int admitted = 0;
        for (int i = 0; i < requests; ++i)
            admitted += admitRoot(credits, {"browse", "front"}, share) ? 1 : 0;
        return admitted;
    };
    CHECK(admittedOf(100, 1.0) == 100);
    const int ofHalf = admittedOf(100, 0.5);
    CHECK(ofHalf >= 49);
    CHECK(ofHalf <= 52);
    CHECK(admittedOf(100, 0.02) <= 4);
}

TEST_CASE("The services of a route keep their weights at every admitted share")
{
    Route route;
    route.name = "order";
    route.shares = {{"ledger", 0.75}, {"lookup", 0.25}};
    for (const double share : {0.25, 0.5, 0.75, 0.9}) {
        CAPTURE(share);
        ShareCounters shares;
        RootAdmissionCredits credits;
        int admitted = 0;
        int ofLedger = 0;
        for (int i = 0; i < 1'000; ++i) {
            const std::string service = shares.next(route);
            if (!admitRoot(credits, {route.name, service}, share))
                continue;
            ++admitted;
            ofLedger += service == "ledger" ? 1 : 0;
        }
        CHECK(admitted == doctest::Approx(1'000 * share).epsilon(0.02));
        CHECK(ofLedger == doctest::Approx(0.75 * admitted).epsilon(0.02));
    }
}

TEST_CASE("The retry-after time of a refused request lies within the objective")
{
    const Milliseconds objective{1'000};
    CHECK(retryAfterFor(1.0, objective, 0.0) == Milliseconds(200));
    CHECK(retryAfterFor(1.0, objective, 1.0) == Milliseconds(500));
    CHECK(retryAfterFor(0.0, objective, 0.0) == Milliseconds(400));
    CHECK(retryAfterFor(0.0, Milliseconds(0), 1.0) == Milliseconds(1'000));
}

TEST_CASE("Reports are decoded unchanged and malformed ones are rejected")
{
    MeshReport report;
    report.nodeId = "n1";
    report.target = {"proofs", 0.5, {{"stock", "proofs"}}, {80.0, 0.25}};
    report.roots.emplace("browse", RootCount{"front", Importance::Low, 7.0, 5.0, 3.0, 0.4, 1.5});
    report.work = {{"browse", 1.5}, {"", 0.5}};
    const std::string bytes = encodeReport(report);
    const auto decoded = decodeReport(bytes);
    REQUIRE(decoded.has_value());
    const MeshReport &copy = decoded.value();
    CHECK(copy.nodeId == "n1");
    CHECK(copy.target.service == "proofs");
    CHECK(copy.target.capacity.slots == 80.0);
    CHECK(copy.target.capacity.wait == 0.25);
    CHECK(copy.target.enteredKinds == report.target.enteredKinds);
    CHECK(copy.roots.at("browse").importance == Importance::Low);
    CHECK(copy.roots.at("browse").inFlight == 3.0);
    CHECK(copy.work == report.work);

    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodeReport(std::string_view(bytes).substr(0, length)).has_value());
    report.target.pressure = -1.0;
    CHECK_FALSE(decodeReport(encodeReport(report)).has_value());
}

TEST_CASE("Selection of collectors and summaries")
{
    const auto member = [](std::string id, std::string dataCentre, MemberState state) {
        Member made;
        made.nodeId = std::move(id);
        made.dataCentre = std::move(dataCentre);
        made.state = state;
        return made;
    };
    std::vector<Member> members{
            member("a1", "a", MemberState::Alive), member("a2", "a", MemberState::Alive),
            member("b1", "b", MemberState::Alive), member("c1", "c", MemberState::Alive)};
    const auto idsOf = [](const std::vector<Member> &collectors) {
        std::vector<std::string> ids;
        for (const Member &collector : collectors)
            ids.push_back(collector.nodeId);
        return ids;
    };

    SUBCASE("one collector in each of two data centres")
    {
        CHECK(idsOf(collectorsOf(members)) == std::vector<std::string>{"a1", "b1"});
    }
    SUBCASE("the next node replaces one that is leaving, dead or suspect")
    {
        for (const MemberState state :
             {MemberState::Suspect, MemberState::Leaving, MemberState::Dead}) {
            members[0].state = state;
            CHECK(idsOf(collectorsOf(members)) == std::vector<std::string>{"a2", "b1"});
        }
    }
    SUBCASE("a data centre without usable nodes is replaced by another one")
    {
        members[2].state = MemberState::Dead;
        CHECK(idsOf(collectorsOf(members)) == std::vector<std::string>{"a1", "c1"});
    }
    SUBCASE("the report rate at a collector is bounded with hundreds of nodes")
    {
        CHECK(reportIntervalFor(13) == Milliseconds(100));
        for (const std::size_t nodes : {100, 300, 890})
            CHECK(nodes * 1'000.0 / reportIntervalFor(nodes).count() <= 340.0);
    }
    SUBCASE("reports are fewer only while every service has room and everything is admitted")
    {
        MeshPressure mesh;
        CHECK(reportPeriodsFor(mesh, 0.3, 15).report == 1);
        mesh.services["front"].own = 0.3;
        mesh.rootShares["browse"] = 1.0;
        CHECK(reportPeriodsFor(mesh, 0.3, 15).report == 2);
        CHECK(reportPeriodsFor(mesh, 0.3, 15).summary == 3);
        SUBCASE("not with a service that fills up")
        {
            mesh.services["deep"].own = 0.7;
            CHECK(reportPeriodsFor(mesh, 0.3, 15).report == 1);
            CHECK(reportPeriodsFor(mesh, 0.3, 15).summary == 1);
        }
        SUBCASE("not at a target that fills up")
        {
            CHECK(reportPeriodsFor(mesh, 0.7, 15).report == 1);
        }
        SUBCASE("not in a mesh whose report interval is long already")
        {
            CHECK(reportPeriodsFor(mesh, 0.3, 300).report == 1);
            CHECK(reportPeriodsFor(mesh, 0.3, 300).summary == 1);
        }
        SUBCASE("not with a kind that is limited")
        {
            mesh.rootShares["browse"] = 0.9;
            CHECK(reportPeriodsFor(mesh, 0.3, 15).report == 1);
            CHECK(reportPeriodsFor(mesh, 0.3, 15).summary == 1);
        }
    }
    SUBCASE("the recent summary made from the most reports is selected")
    {
        const TimePoint now{std::chrono::hours(1)};
        const std::vector<SummaryCandidate> offers{{"a", 40, now - Milliseconds(1'500)},
                                                   {"b", 12, now - Milliseconds(100)},
                                                   {"c", 30, now - Milliseconds(400)}};
        CHECK(selectSummary(offers, now) == std::size_t{2});
        CHECK_FALSE(selectSummary({}, now).has_value());
        CHECK_FALSE(selectSummary(offers, now + Milliseconds(2'000)).has_value());
    }
    SUBCASE("summaries are decoded unchanged and malformed ones are rejected")
    {
        MeshSummary summary{"a1", 3, {}};
        summary.mesh.services["front"] = {0.5, 0.9, {"deep"}};
        summary.mesh.nestedKinds = {"stock"};
        summary.mesh.rootShares = {{"browse", 0.25}};
        const std::string bytes = encodeSummary(summary);
        const auto decoded = decodeSummary(bytes);
        REQUIRE(decoded.has_value());
        CHECK(decoded.value().collector == "a1");
        CHECK(decoded.value().reports == 3);
        CHECK(decoded.value().mesh.services.at("front").servicesBelow
              == std::set<std::string>{"deep"});
        CHECK(decoded.value().mesh.nestedKinds == summary.mesh.nestedKinds);
        CHECK(decoded.value().mesh.rootShares == summary.mesh.rootShares);
        for (std::size_t length = 0; length < bytes.size(); ++length)
            CHECK_FALSE(decodeSummary(std::string_view(bytes).substr(0, length)).has_value());
    }
}
