#include <LibPolicy/Stragglers.h>

namespace chive {

namespace {

/// Ratio of a target's latency to the median above which it is excluded.
constexpr double stragglerRatio = 3.0;
constexpr double recoveredRatio = 2.0;
constexpr double smallestMedian = 5.0; ///< Milliseconds; differences below it are noise.
constexpr Milliseconds firstSlowPause{300};
constexpr Milliseconds longestSlowPause{2'400};
constexpr Milliseconds failedPause{200};

double medianLatency(std::span<const RatedTarget> rated)
{
    std::vector<double> latencies;
    for (const RatedTarget &target : rated) {
        if (target.latency > 0.0)
            latencies.push_back(target.latency);
    }
    if (latencies.empty())
        return 0.0;
    // Uses the lower median, so that one of two targets can be detected as slow.
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
    std::ranges::nth_element(latencies, middle);
    return *middle;
}

void pauseTarget(TargetView &view, TimePoint now)
{
    view.pauseLength = view.pauseLength == Milliseconds(0)
                               ? firstSlowPause
                               : std::min(longestSlowPause, view.pauseLength * 2);
    view.pausedUntil = now + view.pauseLength;
}

bool isInUse(const RatedTarget &target, TimePoint now)
{
    return target.view->pauseLength == Milliseconds(0) && !hasJustFailed(*target.view, now);
}

bool admits(const RatedTarget &target, Importance importance, TimePoint now)
{
    return wouldAdmit(*target.view, importance, now);
}

} // namespace

bool hasJustFailed(const TargetView &view, TimePoint now)
{
    return view.failedAt != TimePoint{} && now - view.failedAt < failedPause;
}

std::vector<RatedTarget> rateTargets(ChoiceState &state, std::span<const Candidate> candidates,
                                     LatencyEstimate estimate, TimePoint now)
{
    std::vector<RatedTarget> rated;
    rated.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        TargetView &view = viewOf(state, candidates[i].nodeId);
        rated.push_back({i, &view, candidates[i].isNear, candidates[i].isSuspect,
                         estimate(state, view, now)});
    }
    return rated;
}

void updateStragglers(std::span<RatedTarget> rated, TimePoint now)
{
    const double median = std::max(medianLatency(rated), smallestMedian);
    for (RatedTarget &target : rated) {
        TargetView &view = *target.view;
        const bool isLeftOut = view.pauseLength > Milliseconds(0);
        if (isLeftOut && now < view.pausedUntil)
            continue;
        if (target.latency > stragglerRatio * median && !isLeftOut)
            pauseTarget(view, now);
        else if (isLeftOut && !view.isProbing && target.latency < recoveredRatio * median)
            view.pauseLength = Milliseconds(0);
    }
}

std::optional<std::size_t> probeStraggler(std::span<const RatedTarget> rated,
                                          const ChoiceRequest &request, TimePoint now)
{
    if (request.duration == Duration::Long)
        return std::nullopt;
    for (const RatedTarget &target : rated) {
        TargetView &view = *target.view;
        const bool isDue = view.pauseLength > Milliseconds(0) && now >= view.pausedUntil;
        if (!isDue || view.isProbing || target.isSuspect)
            continue;
        view.isProbing = true;
        pauseTarget(view, now);
        return target.index;
    }
    return std::nullopt;
}

void keepUsable(std::vector<RatedTarget> &rated, const ChoiceRequest &request, TimePoint now)
{
    prefer(rated, [](const RatedTarget &target) { return !target.isSuspect; });
    prefer(rated, [&](const RatedTarget &target) { return isInUse(target, now); });
    prefer(rated,
           [&](const RatedTarget &target) { return admits(target, request.importance, now); });
}

} // namespace chive
