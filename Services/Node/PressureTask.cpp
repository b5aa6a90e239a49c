#include <LibCustomers/CustomerDemand.h>
#include <LibCustomers/FairShares.h>
#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>
#include <LibPolicy/Collectors.h>
#include <LibPolicy/MeshReport.h>
#include <LibPolicy/RootAdmission.h>
#include <LibPolicy/ServicePressure.h>
#include <LibPolicy/TreeBudget.h>

#include <Node/Mesh/RootCounter.h>
#include <Node/Mesh/ShareMetrics.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chive {

namespace {

/// Weight of the latest value in the smoothed pressure, which averages over about three reports.
constexpr double smoothingFactor = 0.4;
/// An idle target is reported once in this many report intervals.
constexpr int idleReportPeriod = 5;
/// A target below this pressure is idle.
constexpr double idlePressure = 0.3;
/// A kind is reported as entering at this node for this long after a request.
constexpr Milliseconds enteredKindLifetime{5'000};
/// The report of a node about customers is used for this many report intervals.
constexpr int customerReportIntervals = 3;
constexpr Milliseconds minimumCustomerReportLifetime{1'500};
/// The metrics of customers are read every few seconds.
constexpr Milliseconds customerMetricsInterval{1'000};

bool isAnythingRefused(const MeshPressure &mesh)
{
    return std::ranges::any_of(mesh.rootShares,
                               [](const auto &share) { return share.second < 1.0; });
}

/// Reports to the collectors the pressure of the local target and the kinds of requests that enter
/// at this node. Posts the summary of a collector: the pressure below each service, which kinds are
/// nested, and the share of callers' requests to admit. On a collector, also computes the summary
/// and sends it to all live members.
class PressureTask final : public Task
{
public:
    explicit PressureTask(Kernel &kernel)
        : kernel_(kernel)
        , members_(std::make_shared<const std::vector<Member>>())
        , pressures_(prometheus::BuildGauge()
                             .Name("chiverouter_service_pressure")
                             .Help("Highest pressure among a service and all it leads to.")
                             .Register(kernel.metrics()))
        , rejected_(prometheus::BuildGauge()
                            .Name("chiverouter_rejected_share")
                            .Help("Share of the calls that the targets of a service reject.")
                            .Register(kernel.metrics()))
        , treeShares_(prometheus::BuildGauge()
                              .Name("chiverouter_tree_share")
                              .Help("Share of callers' requests that rejections downstream allow.")
                              .Register(kernel.metrics()))
    {
        const auto &bound = kernel.settings().retryBound;
        plansTrees_ = bound && bound->planning == RetryPlanning::Trees;
        if (plansTrees_)
            treeStatistics_.bound = {bound->ratio, bound->constant, bound->window};
        kernel.addStatus("trees", [this] {
            return nlohmann::json{{"rejected", mesh_->rejectedShares},
                                  {"shares", mesh_->treeShares}};
        });
        Bus &bus = kernel.bus();
        bus.subscribe<TargetPressure>([this](const TargetPressure &message) {
            latestTargetPressure_ = message;
            for (const auto &[kind, seconds] : message.work)
                work_[kind] += seconds;
            for (const auto &[kind, count] : message.calls)
                noteCalls(calls_, kind, count, kernel_.clock().now());
        });
        bus.subscribe<RootDecided>([this](const RootDecided &decided) { count(decided); });
        bus.subscribe<CatalogueChanged>(
                [this](const CatalogueChanged &changed) { setCatalogue(changed.catalogue); });
        bus.subscribe<RootEnded>([this](const RootEnded &ended) { rootCounter_.count(ended); });
        bus.subscribe<RouteCall>([this](const RouteCall &message) {
            enteredKinds_[message.call->kind] = {message.call->service, kernel_.clock().now()};
        });
        bus.subscribe<MembersChanged>(
                [this](const MembersChanged &changed) { members_ = changed.members; });
        bus.subscribe<ReceivedFromPeer>([this](const ReceivedFromPeer &frame) {
            if (frame.topic == Topic::Pressure)
                receiveReport(frame);
            else if (frame.topic == Topic::PressureSummary)
                receiveSummary(frame);
        });
    }

    void start() override
    {
        timer_ = kernel_.loop().after(reportIntervalFor(members_->size()), [this] {
            report();
            start();
        });
    }

private:
    /// The latest summary of one collector, which may be this node.
    struct ReceivedSummary
    {
        std::size_t reports = 0;
        std::shared_ptr<const MeshPressure> mesh;
        TimePoint receivedAt;
    };

    struct EnteredKind
    {
        std::string service;
        TimePoint at; ///< Of the latest request.
    };

    void setCatalogue(std::shared_ptr<const Catalogue> catalogue)
    {
        catalogue_ = std::move(catalogue);
        ownImportance_.clear();
        for (const auto &[name, customer] : catalogue_->customers) {
            if (customer.importance)
                ownImportance_.emplace(name, *customer.importance);
        }
        if (catalogue_->customers.empty() || shareMetrics_)
            return;
        shareMetrics_.emplace(kernel_.metrics());
        kernel_.addStatus("customers", [this] {
            return customersStatus(customerCounts_, *mesh_, kernel_.clock().now());
        });
    }

    void count(const RootDecided &decided)
    {
        if (!decided.customer.empty()) {
            noteRequest(customerCounts_, decided.kind, decided.customer, decided.isAdmitted,
                        kernel_.clock().now());
        }
        // The importance of a customer takes the place of the kind's, which is what is reported.
        rootCounter_.count(decided, ownImportance_.contains(decided.customer)
                                            ? RootCounter::ImportanceOf::Customer
                                            : RootCounter::ImportanceOf::Kind);
    }

    void report()
    {
        const TimePoint now = kernel_.clock().now();
        std::erase_if(enteredKinds_, [&](const auto &entry) {
            return now - entry.second.at > enteredKindLifetime;
        });
        forgetIdle(customerCounts_, now);
        smoothedPressure_ += smoothingFactor * (latestTargetPressure_.pressure - smoothedPressure_);
        ReportPeriods periods = reportPeriodsFor(*mesh_, smoothedPressure_, members_->size());
        if (hasRejections(calls_.calls))
            periods.report = 1;
        if (std::exchange(hasReportedRejections_, false))
            periods.summary = 1;
        if (++intervalsSinceReport_ >= periods.report && isReportDue()) {
            intervalsSinceReport_ = 0;
            sendReport(now);
        }
        forgetOldReports(pressureTable_, now);
        if (++intervalsSinceSummary_ >= periods.summary && !pressureTable_.byNode.empty()) {
            intervalsSinceSummary_ = 0;
            broadcastSummary(now);
        }
        publish(now);
    }

    bool isReportDue()
    {
        if (!rootCounter_.isEmpty() || !work_.empty())
            return true;
        if (latestTargetPressure_.service.empty())
            return false;
        if (smoothedPressure_ < idlePressure && ++skippedReports_ < idleReportPeriod)
            return false;
        skippedReports_ = 0;
        return true;
    }

    void sendReport(TimePoint now)
    {
        MeshReport own;
        own.nodeId = kernel_.settings().nodeId;
        own.target = {latestTargetPressure_.service,
                      smoothedPressure_,
                      {},
                      {latestTargetPressure_.slots, latestTargetPressure_.waitSeconds}};
        for (const auto &[kind, entry] : enteredKinds_)
            own.target.enteredKinds.emplace(kind, entry.service);
        own.roots = rootCounter_.take();
        own.work = std::exchange(work_, {});
        own.calls = takeCalls(calls_, now);
        if (!catalogue_->customers.empty() && isAnythingRefused(*mesh_))
            own.customers = reportOf(customerCounts_, now);
        const auto payload = makeBody(encodeReport(own));
        for (const Member &collector : collectorsOf(*members_)) {
            if (collector.nodeId == own.nodeId)
                recordReport(own, now);
            else
                kernel_.bus().post(
                        SendToPeer{collector.links, LinkClass::Control, Topic::Pressure, payload});
        }
    }

    void receiveReport(const ReceivedFromPeer &frame)
    {
        auto report = decodeReport(*frame.payload);
        if (report.has_value())
            recordReport(std::move(report.value()), kernel_.clock().now());
        else
            logMalformedFrame(frame, report.error());
    }

    void receiveSummary(const ReceivedFromPeer &frame)
    {
        auto summary = decodeSummary(*frame.payload);
        if (summary.has_value())
            storeSummary(std::move(summary.value()));
        else
            logMalformedFrame(frame, summary.error());
    }

    static void logMalformedFrame(const ReceivedFromPeer &frame, const Error &error)
    {
        LOG_EVERY_N(WARNING, 100) << "task=pressure event=malformed peer=" << format(frame.peer)
                                  << " error=\"" << error.message << '"';
    }

    void recordReport(MeshReport report, TimePoint now)
    {
        for (const auto &[kind, count] : report.roots)
            noteRoots(rootStatistics_, report.nodeId, kind, count, now);
        if (plansTrees_) {
            for (const auto &[kind, count] : report.roots)
                noteTreeRoots(treeStatistics_, kind, count, now);
        }
        noteCustomers(customerTable_, report.nodeId, std::move(report.customers), now);
        if (report.target.service.empty())
            return;
        noteTreeCalls(treeStatistics_, report.target.service, report.calls, now);
        hasReportedRejections_ = hasReportedRejections_ || hasRejections(report.calls);
        noteWork(rootStatistics_, report.target.service, report.work, now);
        noteReport(pressureTable_, report.nodeId, std::move(report.target), now);
    }

    /// Sends the summary to every live member. Only collectors do this.
    void broadcastSummary(TimePoint now)
    {
        MeshSummary summary{kernel_.settings().nodeId, pressureTable_.byNode.size(),
                            summarize(pressureTable_, now)};
        addShares(summary.mesh, now);
        const auto payload = makeBody(encodeSummary(summary));
        for (const Member &member : *members_) {
            if (member.nodeId != summary.collector && member.state != MemberState::Dead)
                kernel_.bus().post(SendToPeer{member.links, LinkClass::Control,
                                              Topic::PressureSummary, payload});
        }
        storeSummary(std::move(summary));
    }

    void limitTrees(MeshPressure &mesh, TimePoint now)
    {
        if (!plansTrees_)
            return;
        TreeLimits limits = treeLimits(treeStatistics_, now);
        for (const auto &[kind, share] : limits.treeShares) {
            const auto [found, isNew] = mesh.rootShares.try_emplace(kind, share);
            found->second = std::min(found->second, share);
        }
        mesh.rejectedShares = std::move(limits.rejectedShares);
        mesh.treeShares = std::move(limits.treeShares);
    }

    /// Sets the gauges of the rejections, also those that have ended.
    static void publishShares(prometheus::Family<prometheus::Gauge> &gauges, const char *label,
                              const std::map<std::string, double, std::less<>> &before,
                              const std::map<std::string, double, std::less<>> &shares,
                              double otherwise)
    {
        for (const auto &[name, share] : before)
            gauges.Add({{label, name}}).Set(otherwise);
        for (const auto &[name, share] : shares)
            gauges.Add({{label, name}}).Set(share);
    }

    /// Adds the admitted shares of the kinds and, if nodes report customers, of the customers.
    void addShares(MeshPressure &mesh, TimePoint now)
    {
        KindDemands kinds = admittedKinds(rootStatistics_, capacitiesIn(pressureTable_, now),
                                          mesh.services, now);
        for (const auto &[kind, demand] : kinds)
            mesh.rootShares.emplace(kind, demand.admittedShare);
        limitTrees(mesh, now);
        for (auto &[kind, demand] : kinds)
            demand.admittedShare = mesh.rootShares.at(kind);
        const Milliseconds lifetime
                = std::max(minimumCustomerReportLifetime,
                           customerReportIntervals * reportIntervalFor(members_->size()));
        forgetOld(customerTable_, lifetime, now);
        if (customerTable_.nodes.empty())
            return;
        CustomerReport total = totalOf(customerTable_);
        for (auto &[kind, customers] : total.offered) {
            const auto found = kinds.find(kind);
            if (found != kinds.end())
                found->second.offered = std::move(customers);
        }
        mesh.customerShares = fairShares(kinds, estimatedSize(total.others), ownImportance_);
    }

    void storeSummary(MeshSummary summary)
    {
        const std::string collector = summary.collector;
        summaries_.insert_or_assign(collector, ReceivedSummary{summary.reports,
                                                               std::make_shared<const MeshPressure>(
                                                                       std::move(summary.mesh)),
                                                               kernel_.clock().now()});
    }

    void publish(TimePoint now)
    {
        std::vector<SummaryCandidate> candidates;
        std::vector<std::shared_ptr<const MeshPressure>> meshes;
        for (const auto &[collector, summary] : summaries_) {
            candidates.push_back({collector, summary.reports, summary.receivedAt});
            meshes.push_back(summary.mesh);
        }
        const auto chosen = selectSummary(candidates, now);
        const auto mesh = chosen ? meshes[*chosen] : std::make_shared<const MeshPressure>();
        for (const auto &[service, pressure] : mesh->services)
            pressures_.Add({{"service", service}}).Set(pressure.below);
        publishShares(rejected_, "service", mesh_->rejectedShares, mesh->rejectedShares, 0.0);
        publishShares(treeShares_, "kind", mesh_->treeShares, mesh->treeShares, 1.0);
        mesh_ = mesh;
        if (shareMetrics_ && now - metricsUpdatedAt_ >= customerMetricsInterval) {
            shareMetrics_->update(customerCounts_, *mesh_, now);
            metricsUpdatedAt_ = now;
        }
        kernel_.bus().post(PressureChanged{mesh});
    }

    Kernel &kernel_;
    std::shared_ptr<const std::vector<Member>> members_;
    prometheus::Family<prometheus::Gauge> &pressures_;
    prometheus::Family<prometheus::Gauge> &rejected_;   ///< By service.
    prometheus::Family<prometheus::Gauge> &treeShares_; ///< By kind.
    TargetPressure latestTargetPressure_;
    double smoothedPressure_ = 0.0;
    int skippedReports_ = 0;
    int intervalsSinceReport_ = 0;
    int intervalsSinceSummary_ = 0;
    std::shared_ptr<const MeshPressure> mesh_ = std::make_shared<const MeshPressure>();
    std::map<std::string, EnteredKind> enteredKinds_; ///< By kind.
    RootCounter rootCounter_;
    WorkByKind work_; ///< Since the last report.
    CallCounter calls_;
    bool hasReportedRejections_ = false; ///< Since the last interval; on collectors only.
    bool plansTrees_ = false;            ///< See RetryPlanning.
    TreeStatistics treeStatistics_;      ///< Used on collectors only.
    PressureTable pressureTable_;        ///< Used on collectors only.
    RootStatistics rootStatistics_;      ///< Used on collectors only.
    std::map<std::string, ReceivedSummary> summaries_; ///< By collector.
    std::shared_ptr<const Catalogue> catalogue_ = std::make_shared<const Catalogue>();
    ImportanceByCustomer ownImportance_;
    CustomerCounts customerCounts_;
    CustomerTable customerTable_;              ///< Used on collectors only.
    std::optional<ShareMetrics> shareMetrics_; ///< Once there have been customers.
    TimePoint metricsUpdatedAt_;
    Timer timer_;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "pressure",
        [](Kernel &kernel) -> std::unique_ptr<Task> {
            return std::make_unique<PressureTask>(kernel);
        },
        usesStore,
}};

} // namespace

} // namespace chive
