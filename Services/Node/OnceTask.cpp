#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>
#include <Node/OnceService.h>

#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace chive {

namespace {

std::uint64_t randomHolder()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/// Ensures that each idempotency key of the local target's service runs at most once.
class OnceTask final : public Task
{
public:
    explicit OnceTask(Kernel &kernel)
        : kernel_(kernel)
        , holder_(randomHolder())
        , metrics_(makeMetrics(kernel.metrics()))
    {
        Bus &bus = kernel.bus();
        bus.subscribe<AskPermission>(
                [this](const AskPermission &ask) { serviceNamed(ask.service).handleAsk(ask); });
        bus.subscribe<GrantedCallEnded>([this](const GrantedCallEnded &ended) {
            for (const auto &[name, service] : services_)
                service->handleEnded(ended);
        });
        bus.subscribe<LogRead>([this](const LogRead &read) {
            for (const auto &[name, service] : services_) {
                if (service->stream() == read.stream)
                    service->handleRead(read);
            }
        });
        bus.subscribe<AppendedToLog>([this](const AppendedToLog &appended) {
            for (const auto &[name, service] : services_) {
                if (service->handleAppended(appended))
                    return;
            }
        });
        bus.subscribe<LogStateChanged>([this](const LogStateChanged &changed) {
            for (const auto &[name, service] : services_)
                service->handleLogState(changed.isReachable);
        });
        bus.subscribe<MembersChanged>(
                [this](const MembersChanged &changed) { handleMembers(*changed.members); });
        // Reading the history of keys starts as soon as the local target's service is known.
        bus.subscribe<LocalTargetChanged>([this](const LocalTargetChanged &target) {
            if (!target.service.empty())
                serviceNamed(target.service);
        });
        kernel.addInFlight("log_appends", [this] { return pendingAppends(); });
        kernel.addStatus("once", [this] { return status(); });
    }

    void start() override {}

private:
    static OnceMetrics makeMetrics(prometheus::Registry &registry)
    {
        return {prometheus::BuildCounter()
                        .Name("chiverouter_once_decisions_total")
                        .Help("Decisions on calls that run at most once, by outcome")
                        .Register(registry),
                prometheus::BuildHistogram()
                        .Name("chiverouter_once_wait_seconds")
                        .Help("Time from the ask to the decision")
                        .Register(registry),
                prometheus::BuildGauge()
                        .Name("chiverouter_once_keys")
                        .Help("Idempotency keys that are remembered")
                        .Register(registry),
                prometheus::BuildGauge()
                        .Name("chiverouter_once_lag_records")
                        .Help("Records in the log that have not been read")
                        .Register(registry),
                prometheus::BuildGauge()
                        .Name("chiverouter_once_complete")
                        .Help("1 when no part of the history of keys is missing")
                        .Register(registry)};
    }

    OnceService &serviceNamed(const std::string &name)
    {
        std::unique_ptr<OnceService> &service = services_[name];
        if (service == nullptr) {
            service = std::make_unique<OnceService>(kernel_, metrics_, name, holder_);
            service->start();
        }
        return *service;
    }

    void handleMembers(const std::vector<Member> &members)
    {
        const std::string &self = kernel_.settings().nodeId;
        for (const auto &[name, service] : services_) {
            const auto isBefore = [&self, &ours = name](const Member &member) {
                return member.service == ours && member.state == MemberState::Alive
                       && member.nodeId < self;
            };
            const auto rank = std::count_if(members.begin(), members.end(), isBefore);
            service->setRank(static_cast<std::size_t>(rank));
        }
    }

    /// Count of appends to finish before the process exits, so that other nodes learn the outcomes.
    [[nodiscard]] std::size_t pendingAppends() const
    {
        std::size_t count = 0;
        for (const auto &[name, service] : services_)
            count += service->pendingAppends();
        return count;
    }

    [[nodiscard]] nlohmann::json status() const
    {
        nlohmann::json report = nlohmann::json::object();
        for (const auto &[name, service] : services_)
            report[name] = service->status();
        return report;
    }

    Kernel &kernel_;
    std::uint64_t holder_;
    OnceMetrics metrics_;
    std::map<std::string, std::unique_ptr<OnceService>> services_;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "once",
        [](Kernel &kernel) -> std::unique_ptr<Task> { return std::make_unique<OnceTask>(kernel); },
        usesLog,
}};

} // namespace

} // namespace chive
