#include <LibCore/Cbor.h>
#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>
#include <LibPolicy/ServicePressure.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

namespace chive {

namespace {

using nlohmann::json;

/// Reports are sent this often; what they say is smoothed over about three of them.
constexpr Milliseconds reportInterval{100};
constexpr double smoothing = 0.4;
/// An idle target is reported only this often, in intervals.
constexpr int idleReports = 5;
constexpr double idlePressure = 0.3;
/// A kind counts as entering here for this long after a request.
constexpr Milliseconds kindMemory{5'000};

/// Tells all nodes how full the target beside this one is and which kinds of requests enter here,
/// collects what they tell, and posts the pressure below each service and which kinds are nested.
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
        bus.subscribe<TargetPressure>([this](const TargetPressure &message) { latest_ = message; });
        bus.subscribe<RouteCall>([this](const RouteCall &message) {
            entered_[message.call->kind] = {message.call->service, kernel_.clock().now()};
        });
        bus.subscribe<MembersChanged>(
                [this](const MembersChanged &changed) { members_ = changed.members; });
        bus.subscribe<ReceivedFromPeer>([this](const ReceivedFromPeer &frame) {
            if (frame.topic == Topic::Pressure)
                receive(frame);
        });
    }

    void start() override
    {
        timer_ = kernel_.loop().every(reportInterval, [this] { report(); });
    }

private:
    struct EnteredKind
    {
        std::string service;
        TimePoint at; ///< Of the latest request.
    };

    void report()
    {
        const TimePoint now = kernel_.clock().now();
        std::erase_if(entered_,
                      [&](const auto &entry) { return now - entry.second.at > kindMemory; });
        smoothed_ += smoothing * (latest_.pressure - smoothed_);
        if (!latest_.service.empty() && isReportDue())
            send(now);
        forgetOldReports(table_, now);
        publish(now);
    }

    bool isReportDue()
    {
        if (smoothed_ < idlePressure && ++skipped_ < idleReports)
            return false;
        skipped_ = 0;
        return true;
    }

    void send(TimePoint now)
    {
        PressureReport own{latest_.service, smoothed_, {}};
        for (const auto &[kind, entry] : entered_)
            own.enteredKinds.emplace(kind, entry.service);
        std::string bytes;
        json::to_cbor(json::array({kernel_.settings().nodeId, own.service, own.pressure,
                                   json(own.enteredKinds)}),
                      bytes);
        const auto payload = makeBody(std::move(bytes));
        for (const Member &member : *members_) {
            if (member.nodeId != kernel_.settings().nodeId && member.state != MemberState::Dead)
                kernel_.bus().post(
                        SendToPeer{member.links, LinkClass::Control, Topic::Pressure, payload});
        }
        noteReport(table_, kernel_.settings().nodeId, std::move(own), now);
    }

    void receive(const ReceivedFromPeer &frame)
    {
        const json parts = parseCbor(*frame.payload);
        const bool isValid = parts.is_array() && parts.size() == 4 && parts[0].is_string()
                             && parts[1].is_string() && parts[2].is_number()
                             && parts[3].is_object();
        if (!isValid) {
            LOG_EVERY_N(WARNING, 100)
                    << "task=pressure event=malformed peer=" << format(frame.peer);
            return;
        }
        PressureReport report{parts[1].get<std::string>(), parts[2].get<double>(), {}};
        for (const auto &[kind, service] : parts[3].items()) {
            if (service.is_string())
                report.enteredKinds.emplace(kind, service.get<std::string>());
        }
        noteReport(table_, parts[0].get<std::string>(), std::move(report), kernel_.clock().now());
    }

    void publish(TimePoint now)
    {
        auto mesh = std::make_shared<const MeshPressure>(summarize(table_, now));
        for (const auto &[service, pressure] : mesh->services)
            pressures_.Add({{"service", service}}).Set(pressure.below);
        kernel_.bus().post(PressureChanged{std::move(mesh)});
    }

    Kernel &kernel_;
    std::shared_ptr<const std::vector<Member>> members_;
    prometheus::Family<prometheus::Gauge> &pressures_;
    TargetPressure latest_;
    double smoothed_ = 0.0;
    int skipped_ = 0;
    std::map<std::string, EnteredKind> entered_; ///< By kind.
    PressureTable table_;
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
