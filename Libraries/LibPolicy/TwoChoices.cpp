#include <LibPolicy/Choice.h>

#include <algorithm>
#include <vector>

/// The default load balancing policy: the better of two random targets by load times latency (Azar
/// et al., "Balanced Allocations", 1994), with a preference for the own data centre. A target that
/// is much slower than the others is excluded for a while and then probed by single calls. A load
/// report can raise the load that the chooser assumes, but never lower it, because reports lag.
namespace chive {

namespace {

/// Ratio of a target's latency to the median above which it is excluded.
constexpr double stragglerRatio = 3.0;
constexpr double recoveredRatio = 2.0;
constexpr double smallestMedian = 5.0; ///< Milliseconds; differences below it are noise.
constexpr Milliseconds firstSlowPause{300};
constexpr Milliseconds longestSlowPause{2'400};
constexpr Milliseconds failedPause{200};
/// Share of its limit from which a target counts as near its limit.
constexpr double nearLimitShare = 0.8;

struct RatedTarget
{
    std::size_t index = 0; ///< Index among the candidates.
    TargetView *view = nullptr;
    bool isNear = true;
    bool isSuspect = false;
    double latency = 0.0; ///< Milliseconds, outstanding calls included.
};

/// A call that is outstanding for longer than the average latency shows a slow target before the
/// answer arrives.
double estimatedLatency(const TargetView &view, TimePoint now)
{
    if (view.shortInFlight.empty())
        return view.latency;
    const std::chrono::duration<double, std::milli> oldest = now - *view.shortInFlight.begin();
    return std::max(view.latency, oldest.count());
}

std::vector<RatedTarget> rateAll(ChoiceState &state, std::span<const Candidate> candidates,
                                 TimePoint now)
{
    std::vector<RatedTarget> rated;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        TargetView &view = state.targets[std::string(candidates[i].nodeId)];
        rated.push_back({i, &view, candidates[i].isNear, candidates[i].isSuspect,
                         estimatedLatency(view, now)});
    }
    return rated;
}

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

/// Excludes slow targets and readmits those whose probe was fast again.
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

bool isInUse(const RatedTarget &target, TimePoint now)
{
    const bool hasJustFailed
            = target.view->failedAt != TimePoint{} && now - target.view->failedAt < failedPause;
    return target.view->pauseLength == Milliseconds(0) && !hasJustFailed;
}

bool admits(const RatedTarget &target, Importance importance, TimePoint now)
{
    return wouldAdmit(*target.view, importance, now);
}

bool isNearLimit(const RatedTarget &target, TimePoint now)
{
    if (!hasFreshLoad(*target.view, now))
        return false;
    const TargetLoad &load = target.view->load;
    const double inFlight = std::max<double>(load.inFlight, target.view->shortInFlight.size()
                                                                    + target.view->longInFlight);
    return load.queued > 0 || inFlight >= nearLimitShare * load.limit;
}

double costOf(const RatedTarget &target, const ChoiceRequest &request, TimePoint now)
{
    const TargetView &view = *target.view;
    double inFlight = static_cast<double>(
            request.duration == Duration::Long ? view.longInFlight : view.shortInFlight.size());
    if (request.duration == Duration::Short && hasFreshLoad(view, now))
        inFlight = std::max<double>(inFlight, view.load.inFlight + view.load.queued);
    return (inFlight + 1.0) * std::max(target.latency, 0.1);
}

template<typename Predicate>
std::vector<RatedTarget> keepIf(const std::vector<RatedTarget> &rated, Predicate predicate)
{
    std::vector<RatedTarget> kept;
    std::ranges::copy_if(rated, std::back_inserter(kept), predicate);
    return kept;
}

/// Keeps only the targets that match, unless none does.
template<typename Predicate>
void prefer(std::vector<RatedTarget> &rated, Predicate predicate)
{
    std::vector<RatedTarget> kept = keepIf(rated, predicate);
    if (!kept.empty())
        rated = std::move(kept);
}

std::size_t betterOfTwo(ChoiceState &state, std::span<const RatedTarget> rated,
                        const ChoiceRequest &request, TimePoint now)
{
    const std::size_t first = state.random() % rated.size();
    std::size_t second = first;
    if (rated.size() > 1)
        second = (first + 1 + state.random() % (rated.size() - 1)) % rated.size();
    const bool isFirstBetter
            = costOf(rated[first], request, now) <= costOf(rated[second], request, now);
    return rated[isFirstBetter ? first : second].index;
}

/// Sends a single call to a target whose exclusion has ended.
std::optional<std::size_t> probe(std::span<const RatedTarget> rated, const ChoiceRequest &request,
                                 TimePoint now)
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

std::optional<std::size_t> chooseBetterOfTwo(ChoiceState &state,
                                             std::span<const Candidate> candidates,
                                             const ChoiceRequest &request, TimePoint now)
{
    if (candidates.empty())
        return std::nullopt;
    std::vector<RatedTarget> rated = rateAll(state, candidates, now);
    updateStragglers(rated, now);
    if (const auto probed = probe(rated, request, now))
        return probed;

    prefer(rated, [](const RatedTarget &target) { return !target.isSuspect; });
    prefer(rated, [&](const RatedTarget &target) { return isInUse(target, now); });
    prefer(rated,
           [&](const RatedTarget &target) { return admits(target, request.importance, now); });
    // If all targets are near their limit, load decides and distance does not.
    std::vector<RatedTarget> cool
            = keepIf(rated, [&](const RatedTarget &target) { return !isNearLimit(target, now); });
    if (!cool.empty()) {
        prefer(cool, [](const RatedTarget &target) { return target.isNear; });
        rated = std::move(cool);
    }
    return betterOfTwo(state, rated, request, now);
}

const Registration<ChoicePlugin> registration{{"two-choices", chooseBetterOfTwo}};

} // namespace

} // namespace chive
