#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <memory>

namespace chive {

namespace {

/// Peers learn within this time that the target is leaving, so new work may still arrive until
/// then and is refused as not run or passed on.
constexpr Milliseconds peerNoticePeriod{2'000};
/// Longer than callers go on sending to a node that says that it is not ready (EntryTask).
constexpr Milliseconds callerNoticePeriod{3'200};
constexpr Milliseconds checkInterval{20};

/// Ends a planned stop once nothing is in flight and all peers had time to learn of it.
class DrainTask final : public Task
{
public:
    explicit DrainTask(Kernel &kernel)
        : kernel_(kernel)
    {
        kernel.bus().subscribe<StopRequested>([this](const StopRequested &) { begin(); });
        kernel.addStatus("drain", [this] {
            return nlohmann::json{{"stopping", timer_.isActive()},
                                  {"in_flight", kernel_.inFlight()}};
        });
    }

    void start() override {}

private:
    void begin()
    {
        if (timer_.isActive())
            return;
        LOG(INFO) << "task=drain event=begin in_flight=" << kernel_.inFlight();
        startedAt_ = kernel_.clock().now();
        timer_ = kernel_.loop().every(checkInterval, [this] { check(); });
    }

    void check()
    {
        const Milliseconds noticePeriod
                = kernel_.settings().ready ? callerNoticePeriod : peerNoticePeriod;
        const bool isNoticeOver = kernel_.clock().now() - startedAt_ >= noticePeriod;
        if (isNoticeOver && kernel_.inFlight() == 0)
            kernel_.bus().post(Drained{});
    }

    Kernel &kernel_;
    TimePoint startedAt_;
    Timer timer_;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "drain",
        [](Kernel &kernel) -> std::unique_ptr<Task> { return std::make_unique<DrainTask>(kernel); },
}};

} // namespace

} // namespace chive
