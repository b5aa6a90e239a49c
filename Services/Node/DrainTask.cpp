#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>

namespace chive {

namespace {

constexpr Milliseconds checkInterval{20};

/// Completes a planned stop when the schedule permits it and nothing is in flight, and ends what is
/// still in flight when its time is over.
class DrainTask final : public Task
{
public:
    explicit DrainTask(Kernel &kernel)
        : kernel_(kernel)
    {
        kernel.bus().subscribe<StopRequested>(
                [this](const StopRequested &stop) { begin(stop.schedule); });
        kernel.addStatus("drain", [this] {
            return nlohmann::json{{"stopping", timer_.isActive()},
                                  {"in_flight", kernel_.inFlight()}};
        });
    }

    void start() override {}

private:
    void begin(const DrainSchedule &schedule)
    {
        if (timer_.isActive())
            return;
        LOG(INFO) << "task=drain event=begin in_flight=" << kernel_.inFlight() << ' '
                  << kernel_.describeInFlight();
        schedule_ = schedule;
        const auto left
                = std::chrono::ceil<Milliseconds>(schedule.answersBy - kernel_.clock().now());
        expiryTimer_ = kernel_.loop().after(std::max(left, Milliseconds(0)), [this] { expire(); });
        timer_ = kernel_.loop().every(checkInterval, [this] { check(); });
    }

    void expire()
    {
        LOG(WARNING) << "task=drain event=expired " << kernel_.describeInFlight();
        kernel_.bus().post(DrainExpired{});
    }

    void check()
    {
        if (kernel_.clock().now() >= schedule_.endsFrom && kernel_.inFlight() == 0)
            kernel_.bus().post(Drained{});
    }

    Kernel &kernel_;
    DrainSchedule schedule_;
    Timer timer_;
    Timer expiryTimer_;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "drain",
        [](Kernel &kernel) -> std::unique_ptr<Task> { return std::make_unique<DrainTask>(kernel); },
}};

} // namespace

} // namespace chive
