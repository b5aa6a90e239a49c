#include <LibKernel/Kernel.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chive {

namespace {

constexpr Milliseconds reportInterval{500};
/// A use that was short has enough again after so many reports without want.
constexpr std::size_t reportsUntilEnough = 10;

/// Reports how many descriptors each use holds, and logs when one runs short.
class DescriptorsTask final : public Task
{
public:
    explicit DescriptorsTask(Kernel &kernel)
        : kernel_(kernel)
    {
        auto &used = gauges("chiverouter_descriptors", "Descriptors in use.");
        auto &idle
                = gauges("chiverouter_idle_connections", "Connections on which nothing is owed.");
        auto &most = gauges("chiverouter_descriptors_limit", "Descriptors that a use may hold.");
        auto &reclaimed = counters("chiverouter_idle_connections_closed_total",
                                   "Idle connections that were closed to make room.");
        auto &refused = counters("chiverouter_connections_refused_total",
                                 "Connections not opened or accepted for want of a descriptor.");
        forEachShare(kernel.descriptors(),
                     [&](std::string_view name, const DescriptorShare &share) {
                         const std::map<std::string, std::string> use{{"use", std::string(name)}};
                         most.Add(use).Set(static_cast<double>(share.most()));
                         uses_.push_back({std::string(name), &share, &used.Add(use), &idle.Add(use),
                                          &reclaimed.Add(use), &refused.Add(use)});
                     });
        kernel.addStatus("descriptors", [this] { return status(); });
    }

    void start() override
    {
        timer_ = kernel_.loop().every(reportInterval, [this] { report(); });
    }

private:
    struct Use
    {
        std::string name;
        const DescriptorShare *share = nullptr;
        prometheus::Gauge *used = nullptr;
        prometheus::Gauge *idle = nullptr;
        prometheus::Counter *reclaimed = nullptr;
        prometheus::Counter *refused = nullptr;
        bool isShort = false;
        std::uint64_t wantBefore = 0;
        std::size_t reportsWithoutWant = 0;
    };

    prometheus::Family<prometheus::Gauge> &gauges(const std::string &name, const std::string &help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(kernel_.metrics());
    }

    prometheus::Family<prometheus::Counter> &counters(const std::string &name,
                                                      const std::string &help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(kernel_.metrics());
    }

    void report()
    {
        for (Use &use : uses_) {
            use.used->Set(static_cast<double>(use.share->used()));
            use.idle->Set(static_cast<double>(use.share->idle()));
            increaseTo(*use.reclaimed, use.share->reclaimed());
            increaseTo(*use.refused, use.share->refused());
            logStateChange(use);
        }
    }

    static void increaseTo(prometheus::Counter &counter, std::uint64_t total)
    {
        counter.Increment(static_cast<double>(total) - counter.Value());
    }

    /// A use is short while it is near its limit, idle connections are closed for it, or
    /// connections are refused.
    static void logStateChange(Use &use)
    {
        const DescriptorShare &share = *use.share;
        const std::uint64_t want = share.reclaimed() + share.refused();
        const bool isWanting = std::exchange(use.wantBefore, want) != want || share.isShort();
        use.reportsWithoutWant = isWanting ? 0 : use.reportsWithoutWant + 1;
        const bool isShort
                = isWanting || (use.isShort && use.reportsWithoutWant < reportsUntilEnough);
        if (std::exchange(use.isShort, isShort) == isShort)
            return;
        LOG(INFO) << "task=descriptors event=" << (isShort ? "short" : "enough")
                  << " use=" << use.name << " used=" << share.used() << " limit=" << share.most()
                  << " idle=" << share.idle() << " reclaimed=" << share.reclaimed()
                  << " refused=" << share.refused();
    }

    [[nodiscard]] nlohmann::json status() const
    {
        nlohmann::json whole = nlohmann::json::object();
        for (const Use &use : uses_)
            whole[use.name] = {{"used", use.share->used()}, {"limit", use.share->most()}};
        return whole;
    }

    Kernel &kernel_;
    std::vector<Use> uses_;
    Timer timer_;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "descriptors",
        [](Kernel &kernel) -> std::unique_ptr<Task> {
            return std::make_unique<DescriptorsTask>(kernel);
        },
}};

} // namespace

} // namespace chive
