#include <LibPolicy/TargetWork.h>

#include <algorithm>
#include <cmath>

namespace chive {

namespace {

constexpr double largestReport = 10'000'000.0;
constexpr double shortestResidual = 0.1; ///< Milliseconds.

} // namespace

WorkLeft workLeft(const WorkEstimate &estimate, std::span<const RunningCall> running,
                  std::span<const std::string_view> queuedKinds, std::uint32_t limit, TimePoint now)
{
    const double pace = paceOf(estimate, now);
    WorkLeft left;
    double endsPerMillisecond = 0.0;
    for (const RunningCall &call : running) {
        const double own = expectedResidual(estimate, call.kind, call.ownMilliseconds / pace);
        const double nested
                = std::max(expectedNestedWait(estimate, call.kind) - call.waitedMilliseconds, 0.0);
        const double residual = std::max(own * pace + nested, shortestResidual);
        left.running += residual;
        endsPerMillisecond += 1.0 / residual;
    }
    for (const std::string_view kind : queuedKinds)
        left.queued += expectedWork(estimate, kind) * pace + expectedNestedWait(estimate, kind);
    if (running.size() + queuedKinds.size() < limit || running.empty())
        return left;
    // The first slot becomes free after 1 / sum(1 / residual) if the residuals vary like
    // exponential ones; then the queue is worked off by all slots.
    left.untilStart = 1.0 / endsPerMillisecond + left.queued / std::max(limit, 1U);
    return left;
}

WorkReport reportWork(const WorkEstimate &estimate, std::span<const RunningCall> running,
                      std::span<const std::string_view> queuedKinds, std::uint32_t limit,
                      std::string_view kind, TimePoint now)
{
    const auto whole = [](double value) {
        return static_cast<std::uint32_t>(std::lround(std::clamp(value, 0.0, largestReport)));
    };
    WorkReport report;
    report.untilStart = whole(workLeft(estimate, running, queuedKinds, limit, now).untilStart);
    constexpr double tenthsPerMillisecond = 10.0;
    report.ownTime
            = whole(tenthsPerMillisecond * expectedWork(estimate, kind) * paceOf(estimate, now));
    return report;
}

} // namespace chive
