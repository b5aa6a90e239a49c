#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <memory>

namespace chive {

namespace {

/// Time within which peers learn that the target is leaving. New calls may arrive until then and
/// are refused as not run or routed to other nodes.
constexpr Milliseconds peerNoticePeriod{2'000};
/// Longer than callers keep sending to a node that reports that it is not ready (see EntryTask).
constexpr Milliseconds callerNoticePeriod{3'200};
constexpr Milliseconds checkInterval{20};

/// Completes a planned stop when nothing is in flight and the notice period is over.
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
        LOG(INFO) << "task=drain event=begin in_flight=" << kernel_.inFlight() << ' '
                  << kernel_.describeInFlight();
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
