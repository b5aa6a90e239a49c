#include <LibPolicy/Choice.h>

#include <algorithm>
#include <vector>

/// The default way of choosing: the better of two random targets by load times latency (Azar et
/// al., "Balanced Allocations", 1994), the own data centre first. A target that is much slower
/// than the others is left out for a while and then probed by single calls. What a target reports
/// can make it look busier than the chooser has seen, never idler, because reports lag.
namespace chive {

namespace {

constexpr double stragglerRatio = 3.0; ///< Of a target's latency to the median.
constexpr double recoveredRatio = 2.0;
constexpr double slowestFastLatency = 5.0; ///< Milliseconds; noise below it is no straggling.
constexpr Milliseconds firstSlowPause{300};
constexpr Milliseconds longestSlowPause{2'400};
constexpr Milliseconds failedPause{200};
constexpr double hotShare = 0.8; ///< Of its limit at which a near target is hot.

struct Rated
{
    std::size_t index = 0; ///< Among the candidates.
    TargetView *view = nullptr;
    bool isNear = true;
    bool isSuspect = false;
    double latency = 0.0; ///< Milliseconds, calls that are still out included.
};

/// A call that is out longer than the smoothed latency tells of slowness before it is answered.
double estimatedLatency(const TargetView &view, TimePoint now)
{
    if (view.shortInFlight.empty())
        return view.latency;
    const std::chrono::duration<double, std::milli> oldest = now - *view.shortInFlight.begin();
    return std::max(view.latency, oldest.count());
}

std::vector<Rated> rateAll(ChoiceState &state, std::span<const Candidate> candidates, TimePoint now)
{
    std::vector<Rated> rated;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        TargetView &view = state.targets[std::string(candidates[i].nodeId)];
        rated.push_back({i, &view, candidates[i].isNear, candidates[i].isSuspect,
                         estimatedLatency(view, now)});
    }
    return rated;
}

double medianLatency(std::span<const Rated> rated)
{
    std::vector<double> latencies;
    for (const Rated &target : rated) {
        if (target.latency > 0.0)
            latencies.push_back(target.latency);
    }
    if (latencies.empty())
        return 0.0;
    // The lower median, so that one of two targets can be the slow one.
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
    std::ranges::nth_element(latencies, middle);
    return *middle;
}

void leaveOut(TargetView &view, TimePoint now)
{
    view.pauseLength = view.pauseLength == Milliseconds(0)
                               ? firstSlowPause
                               : std::min(longestSlowPause, view.pauseLength * 2);
    view.pausedUntil = now + view.pauseLength;
}

/// Marks slow targets and takes back those that were probed and found fast again.
void updateStragglers(std::span<Rated> rated, TimePoint now)
{
    const double median = std::max(medianLatency(rated), slowestFastLatency);
    for (Rated &target : rated) {
        TargetView &view = *target.view;
        const bool isLeftOut = view.pauseLength > Milliseconds(0);
        if (isLeftOut && now < view.pausedUntil)
            continue;
        if (target.latency > stragglerRatio * median && !isLeftOut)
            leaveOut(view, now);
        else if (isLeftOut && !view.isProbing && target.latency < recoveredRatio * median)
            view.pauseLength = Milliseconds(0);
    }
}

bool isInUse(const Rated &target, TimePoint now)
{
    const bool hasJustFailed
            = target.view->failedAt != TimePoint{} && now - target.view->failedAt < failedPause;
    return target.view->pauseLength == Milliseconds(0) && !hasJustFailed;
}

bool admits(const Rated &target, Importance importance, TimePoint now)
{
    return wouldAdmit(*target.view, importance, now);
}

bool isHot(const Rated &target, TimePoint now)
{
    if (!hasFreshLoad(*target.view, now))
        return false;
    const TargetLoad &load = target.view->load;
    const double inFlight = std::max<double>(load.inFlight, target.view->shortInFlight.size()
                                                                    + target.view->longInFlight);
    return load.queued > 0 || inFlight >= hotShare * load.limit;
}

double costOf(const Rated &target, const ChoiceRequest &question, TimePoint now)
{
    const TargetView &view = *target.view;
    double inFlight = static_cast<double>(
            question.duration == Duration::Long ? view.longInFlight : view.shortInFlight.size());
    if (question.duration == Duration::Short && hasFreshLoad(view, now))
        inFlight = std::max<double>(inFlight, view.load.inFlight + view.load.queued);
    return (inFlight + 1.0) * std::max(target.latency, 0.1);
}

template<typename Predicate>
std::vector<Rated> keepIf(const std::vector<Rated> &rated, Predicate predicate)
{
    std::vector<Rated> kept;
    std::ranges::copy_if(rated, std::back_inserter(kept), predicate);
    return kept;
}

/// Narrows the list as long as somebody is left.
template<typename Predicate>
void prefer(std::vector<Rated> &rated, Predicate predicate)
{
    std::vector<Rated> kept = keepIf(rated, predicate);
    if (!kept.empty())
        rated = std::move(kept);
}

std::size_t betterOfTwo(ChoiceState &state, std::span<const Rated> rated,
                        const ChoiceRequest &question, TimePoint now)
{
    const std::size_t first = state.random() % rated.size();
    std::size_t second = first;
    if (rated.size() > 1)
        second = (first + 1 + state.random() % (rated.size() - 1)) % rated.size();
    const bool isFirstBetter
            = costOf(rated[first], question, now) <= costOf(rated[second], question, now);
    return rated[isFirstBetter ? first : second].index;
}

/// One call at a time goes to a target that was left out long enough.
std::optional<std::size_t> probe(std::span<const Rated> rated, const ChoiceRequest &question,
                                 TimePoint now)
{
    if (question.duration == Duration::Long)
        return std::nullopt;
    for (const Rated &target : rated) {
        TargetView &view = *target.view;
        const bool isDue = view.pauseLength > Milliseconds(0) && now >= view.pausedUntil;
        if (!isDue || view.isProbing || target.isSuspect)
            continue;
        view.isProbing = true;
        leaveOut(view, now);
        return target.index;
    }
    return std::nullopt;
}

std::optional<std::size_t> chooseBetterOfTwo(ChoiceState &state,
                                             std::span<const Candidate> candidates,
                                             const ChoiceRequest &question, TimePoint now)
{
    if (candidates.empty())
        return std::nullopt;
    std::vector<Rated> rated = rateAll(state, candidates, now);
    updateStragglers(rated, now);
    if (const auto probed = probe(rated, question, now))
        return probed;

    prefer(rated, [](const Rated &target) { return !target.isSuspect; });
    prefer(rated, [&](const Rated &target) { return isInUse(target, now); });
    prefer(rated, [&](const Rated &target) { return admits(target, question.importance, now); });
    // Where all are hot, the load decides, not the way.
    std::vector<Rated> cool
            = keepIf(rated, [&](const Rated &target) { return !isHot(target, now); });
    if (!cool.empty()) {
        prefer(cool, [](const Rated &target) { return target.isNear; });
        rated = std::move(cool);
    }
    return betterOfTwo(state, rated, question, now);
}

const Registration<ChoicePlugin> registration{{"two-choices", chooseBetterOfTwo}};

} // namespace

} // namespace chive
