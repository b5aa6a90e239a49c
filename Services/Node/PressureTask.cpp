#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>
#include <LibPolicy/Collectors.h>
#include <LibPolicy/LowerQuartile.h>
#include <LibPolicy/MeshReport.h>
#include <LibPolicy/RootAdmission.h>
#include <LibPolicy/ServicePressure.h>

#include <glog/logging.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chive {

namespace {

/// Of the pressure, over about three reports.
constexpr double smoothing = 0.4;
/// An idle target is reported only this often, in intervals.
constexpr int idleReports = 5;
constexpr double idlePressure = 0.3;
/// A kind counts as entering here for this long after a request.
constexpr Milliseconds kindMemory{5'000};

/// Tells the collectors how full the target beside this node is and what enters here, and posts
/// what they make of it: the pressure below each service, which kinds are nested, and the share of
/// callers' requests to take on. Where this node is a collector it does that for all.
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
    {
        Bus &bus = kernel.bus();
        bus.subscribe<TargetPressure>([this](const TargetPressure &message) {
            latest_ = message;
            for (const auto &[kind, seconds] : message.work)
                work_[kind] += seconds;
        });
        bus.subscribe<RootDecided>([this](const RootDecided &decided) { count(decided); });
        bus.subscribe<RootEnded>([this](const RootEnded &ended) { count(ended); });
        bus.subscribe<RouteCall>([this](const RouteCall &message) {
            entered_[message.call->kind] = {message.call->service, kernel_.clock().now()};
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
    struct Held
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

    void count(const RootDecided &decided)
    {
        const std::chrono::duration<double> objective = decided.objective;
        RootCount &count = roots_[decided.kind];
        count.service = decided.service;
        count.importance = decided.importance;
        count.objective = objective.count();
        count.offered += 1.0;
        if (!decided.isAdmitted)
            return;
        count.admitted += 1.0;
        count.inFlight += 1.0;
    }

    void count(const RootEnded &ended)
    {
        const auto found = roots_.find(ended.kind);
        if (found == roots_.end())
            return;
        found->second.inFlight -= 1.0;
        if (!ended.wasServed)
            return;
        const std::chrono::duration<double> latency = ended.latency;
        LowerQuartile fast{found->second.lowerQuartileLatency};
        addSample(fast, latency.count());
        found->second.lowerQuartileLatency = fast.value;
    }

    /// The counts begin anew; what is in flight stays, and a kind without any is forgotten.
    std::map<std::string, RootCount, std::less<>> takeRoots()
    {
        auto counts = roots_;
        std::erase_if(roots_, [](const auto &entry) {
            return entry.second.offered == 0.0 && entry.second.inFlight == 0.0;
        });
        for (auto &[kind, count] : roots_)
            count.offered = count.admitted = 0.0;
        return counts;
    }

    void report()
    {
        const TimePoint now = kernel_.clock().now();
        std::erase_if(entered_,
                      [&](const auto &entry) { return now - entry.second.at > kindMemory; });
        smoothed_ += smoothing * (latest_.pressure - smoothed_);
        if (isReportDue())
            send(now);
        forgetOldReports(table_, now);
        if (!table_.byNode.empty())
            tellAll(now);
        publish(now);
    }

    bool isReportDue()
    {
        if (!roots_.empty() || !work_.empty())
            return true;
        if (latest_.service.empty())
            return false;
        if (smoothed_ < idlePressure && ++skipped_ < idleReports)
            return false;
        skipped_ = 0;
        return true;
    }

    void send(TimePoint now)
    {
        MeshReport own;
        own.nodeId = kernel_.settings().nodeId;
        own.target = {latest_.service, smoothed_, {}, {latest_.slots, latest_.waitSeconds}};
        for (const auto &[kind, entry] : entered_)
            own.target.enteredKinds.emplace(kind, entry.service);
        own.roots = takeRoots();
        own.work = std::exchange(work_, {});
        const auto payload = makeBody(encodeReport(own));
        for (const Member &collector : collectorsOf(*members_)) {
            if (collector.nodeId == own.nodeId)
                take(own, now);
            else
                kernel_.bus().post(
                        SendToPeer{collector.links, LinkClass::Control, Topic::Pressure, payload});
        }
    }

    void receiveReport(const ReceivedFromPeer &frame)
    {
        auto report = decodeReport(*frame.payload);
        if (report.has_value())
            take(std::move(report.value()), kernel_.clock().now());
        else
            warnOf(frame, report.error());
    }

    void receiveSummary(const ReceivedFromPeer &frame)
    {
        auto summary = decodeSummary(*frame.payload);
        if (summary.has_value())
            hold(std::move(summary.value()));
        else
            warnOf(frame, summary.error());
    }

    static void warnOf(const ReceivedFromPeer &frame, const Error &error)
    {
        LOG_EVERY_N(WARNING, 100) << "task=pressure event=malformed peer=" << format(frame.peer)
                                  << " error=\"" << error.message << '"';
    }

    void take(MeshReport report, TimePoint now)
    {
        for (const auto &[kind, count] : report.roots)
            noteRoots(ledger_, report.nodeId, kind, count, now);
        if (report.target.service.empty())
            return;
        noteWork(ledger_, report.target.service, report.work, now);
        noteReport(table_, report.nodeId, std::move(report.target), now);
    }

    /// As a collector.
    void tellAll(TimePoint now)
    {
        MeshSummary summary{kernel_.settings().nodeId, table_.byNode.size(),
                            summarize(table_, now)};
        summary.mesh.rootShares
                = admittedShares(ledger_, capacitiesIn(table_, now), summary.mesh.services, now);
        const auto payload = makeBody(encodeSummary(summary));
        for (const Member &member : *members_) {
            if (member.nodeId != summary.collector && member.state != MemberState::Dead)
                kernel_.bus().post(SendToPeer{member.links, LinkClass::Control,
                                              Topic::PressureSummary, payload});
        }
        hold(std::move(summary));
    }

    void hold(MeshSummary summary)
    {
        const std::string collector = summary.collector;
        held_.insert_or_assign(collector,
                               Held{summary.reports,
                                    std::make_shared<const MeshPressure>(std::move(summary.mesh)),
                                    kernel_.clock().now()});
    }

    void publish(TimePoint now)
    {
        std::vector<SummaryCandidate> offers;
        std::vector<std::shared_ptr<const MeshPressure>> meshes;
        for (const auto &[collector, held] : held_) {
            offers.push_back({collector, held.reports, held.receivedAt});
            meshes.push_back(held.mesh);
        }
        const auto believed = selectSummary(offers, now);
        const auto mesh = believed ? meshes[*believed] : std::make_shared<const MeshPressure>();
        for (const auto &[service, pressure] : mesh->services)
            pressures_.Add({{"service", service}}).Set(pressure.below);
        kernel_.bus().post(PressureChanged{mesh});
    }

    Kernel &kernel_;
    std::shared_ptr<const std::vector<Member>> members_;
    prometheus::Family<prometheus::Gauge> &pressures_;
    TargetPressure latest_;
    double smoothed_ = 0.0;
    int skipped_ = 0;
    std::map<std::string, EnteredKind> entered_;          ///< By kind.
    std::map<std::string, RootCount, std::less<>> roots_; ///< Since the last report, by kind.
    WorkByKind work_;                                     ///< Since the last report.
    PressureTable table_;                                 ///< As a collector.
    RootStatistics ledger_;                               ///< As a collector.
    std::map<std::string, Held> held_;                    ///< Summaries by collector.
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
