#pragma once

#include <LibCore/Clock.h>
#include <LibNode/Call.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>

/// Learned by a chooser from the work reports of the targets of one service: the usual own time of
/// each kind, and the speed of each target relative to the mean of the service. A target cannot
/// know its relative speed itself, since it does not see the answers of the others.
namespace chive {

/// Means over all targets of a service, in milliseconds.
struct KindMeans
{
    double samples = 0.0;
    double ownTime = 0.0;
    double latency = 0.0; ///< As the chooser sees it, with the wait for a slot.
};

/// What a chooser knows of the work of one service.
struct ServiceWork
{
    std::map<std::string, KindMeans, std::less<>> kinds; ///< At most 32; others share "".
    KindMeans all;
    double longLatency = 0.0; ///< Estimated 99th percentile of the latency of all kinds.
    double busy = 0.0;        ///< Mean of TargetWorkView::usualBusy over the targets.
    double limit = 0.0;       ///< Mean of TargetLoad::limit.
};

/// What a chooser knows of the work of one target.
struct TargetWorkView
{
    double lastingSpeed = 0.0; ///< Over several seconds; 0 before the first report.
    double recentSpeed = 0.0;  ///< Of the latest report.
    double usualBusy = 0.0;    ///< Running and queued calls by slots, over about a second.
    double usualWait = 0.0;    ///< WorkReport::untilStart, over about a second.
    double latencyRatio = 0.0; ///< Latency by that of the kind at all targets; 0: unknown.
    TimePoint updatedAt;
};

/// An answer with a work report.
struct WorkSample
{
    std::string_view kind;
    TargetLoad load;
    std::optional<double> latency; ///< Milliseconds; nothing if the call was not served.
    bool isProbe = false;          ///< Counts more for the latency ratio.
};

/// Ignored if the load holds no work report.
void learnWork(ServiceWork &service, TargetWorkView &target, const WorkSample &sample,
               TimePoint now);

/// The present speed of the target. An old report counts less than the lasting speed.
[[nodiscard]] double speedOf(const TargetWorkView &target, TimePoint now);

/// Mean own time of this kind at a target of the mean speed; without samples that of all kinds.
[[nodiscard]] double meanWork(const ServiceWork &service, std::string_view kind);

} // namespace chive
