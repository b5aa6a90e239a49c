#include <LibPolicy/Choice.h>
#include <LibPolicy/Stragglers.h>

#include <algorithm>
#include <vector>

/// The default load balancing policy: the better of two random targets by load times latency (Azar
/// et al., "Balanced Allocations", 1994), with a preference for the own data centre. A target that
/// is much slower than the others is excluded for a while and then probed by single calls. A load
/// report can raise the load that the chooser assumes, but never lower it, because reports lag.
namespace chive {

namespace {

/// Share of its limit from which a target counts as near its limit.
constexpr double nearLimitShare = 0.8;

/// A call that is outstanding for longer than the average latency shows a slow target before the
/// answer arrives.
double estimatedLatency(const ChoiceState &, const TargetView &view, TimePoint now)
{
    if (view.shortInFlight.empty())
        return view.latency;
    const std::chrono::duration<double, std::milli> oldest = now - *view.shortInFlight.begin();
    return std::max(view.latency, oldest.count());
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

std::optional<std::size_t> chooseBetterOfTwo(ChoiceState &state,
                                             std::span<const Candidate> candidates,
                                             const ChoiceRequest &request, TimePoint now)
{
    if (candidates.empty())
        return std::nullopt;
    std::vector<RatedTarget> rated = rateTargets(state, candidates, estimatedLatency, now);
    updateStragglers(rated, now);
    if (const auto probed = probeStraggler(rated, request, now))
        return probed;

    keepUsable(rated, request, now);
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
