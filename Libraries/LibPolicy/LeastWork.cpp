#include <LibPolicy/LeastWork.h>

#include <LibPolicy/Stragglers.h>

#include <algorithm>
#include <cmath>
#include <vector>

/// Load balancing by expected work: of a few targets, drawn in proportion to their free capacity,
/// the one at which the call is expected to end first. The draw keeps choosers that have the same
/// reports from all taking the same target. A report counts for about as long as a call takes; an
/// older one gives way to what the target usually reports.
namespace chive {

namespace {

/// Largest number of targets that are drawn in the own data centre, and in all others together. It
/// is at most half of the targets, because otherwise most choosers would draw the same one.
constexpr int nearDraws = 5;
constexpr int otherDraws = 2;
constexpr double defaultLimit = 20.0;
constexpr double defaultWork = 50.0; ///< Milliseconds.
/// Load from which a call may have to wait, although a report shows a free slot.
constexpr double crowdedLoad = 0.8;
/// Load relative to the mean of the service from which a target is charged for it. It is below 1,
/// so that fast targets cannot draw off the work of slow ones before these are charged.
constexpr double unevenLoad = 0.7;
/// Charge for a load that is higher by the mean, in mean works of the service. The same for all
/// kinds, so that the calls that gain most from a fast target get it.
constexpr double unevenCharge = 8.0;
/// A target without a report of this age gets a single call with this probability, in shares of an
/// equal distribution. All choosers find a new target at the same time, and together must not send
/// more than it can run while it is cold.
constexpr Milliseconds forgottenAge{2'000};
constexpr double explorationShare = 0.25;
/// Ratio of observed latency to the latency at the estimated speed from which a report is doubted.
constexpr double doubtedRatio = 2.0;
/// Milliseconds, 99th percentiles of the latency, and mean latencies if there are two calls, after
/// which an outstanding call is overdue.
constexpr double shortestOverdue = 50.0;
constexpr double overdueLongLatencies = 2.5;
constexpr double overdueLatencies = 4.0;

double millisecondsBetween(TimePoint from, TimePoint until)
{
    return std::chrono::duration<double, std::milli>(until - from).count();
}

/// The age of a call of this chooser that is overdue at the target, or 0. Either hardly any call
/// takes as long, or two calls do that each may just be long ones. Reports do not matter here, as
/// they may be false.
double overdueAge(const ChoiceState &state, const TargetView &view, TimePoint now)
{
    if (view.shortInFlight.empty() || state.work.longLatency <= 0.0)
        return 0.0;
    const double oldest = millisecondsBetween(*view.shortInFlight.begin(), now);
    if (oldest > std::max(overdueLongLatencies * state.work.longLatency, shortestOverdue))
        return oldest;
    if (view.shortInFlight.size() < 2)
        return 0.0;
    const double second = millisecondsBetween(*std::next(view.shortInFlight.begin()), now);
    return second > std::max(overdueLatencies * state.work.all.latency, shortestOverdue) ? second
                                                                                         : 0.0;
}

/// Relative to the mean of the kind, because kinds differ by more than a straggler does.
double relativeLatency(const ChoiceState &state, const TargetView &view, TimePoint now)
{
    const double usual = state.work.all.latency > 0.0 ? state.work.all.latency : defaultWork;
    return std::max(view.work.latencyRatio * usual, overdueAge(state, view, now));
}

std::size_t sentSince(const TargetView &view, TimePoint report)
{
    return static_cast<std::size_t>(
            std::distance(view.shortInFlight.upper_bound(report), view.shortInFlight.end()));
}

/// The charge for a target that is close to its limit, or busier than the others.
double crowdingCharge(const ChoiceState &state, double busy, double work)
{
    const double crowded = std::max((busy - crowdedLoad) / (1.0 - crowdedLoad), 0.0);
    const double mean = std::max(state.work.busy, 0.1);
    const double uneven = std::max(busy / mean - unevenLoad, 0.0);
    const double usual = state.work.all.ownTime > 0.0 ? state.work.all.ownTime : defaultWork;
    return 0.5 * work * crowded * crowded + usual * unevenCharge * uneven;
}

} // namespace

TargetEstimate estimateTarget(const ChoiceState &state, const TargetView &view,
                              const ChoiceRequest &request, bool isNear, TimePoint now)
{
    const ServiceWork &service = state.work;
    const bool hasReport = view.work.updatedAt != TimePoint{};
    const double usualWork = service.all.ownTime > 0.0 ? service.all.ownTime : defaultWork;
    const double kindWork = meanWork(service, request.kind);
    TargetEstimate estimate;
    estimate.speed = speedOf(view.work, now);
    const double work = (kindWork > 0.0 ? kindWork : usualWork) / estimate.speed;
    double limit = service.limit > 0.0 ? service.limit : defaultLimit;
    double reportedWait = 0.0;
    estimate.busy = service.busy;
    estimate.reportAge = -1.0;
    double sent = static_cast<double>(sentSince(view, view.loadReceivedAt));
    if (hasReport) {
        limit = std::max(view.load.limit, 1U);
        const double age = millisecondsBetween(view.work.updatedAt, now);
        estimate.reportAge = age / 1000.0;
        const double weight = std::exp(-age / std::clamp(usualWork, 20.0, 400.0));
        const double reported = (view.load.inFlight + view.load.queued) / limit;
        estimate.busy = view.work.usualBusy + weight * (reported - view.work.usualBusy);
        const double wait = view.load.work ? view.load.work->untilStart : 0.0;
        reportedWait = view.work.usualWait + weight * (wait - view.work.usualWait);
    }
    estimate.busy += sent / limit;
    const double beyondLimit = std::max(estimate.busy - 1.0, 0.0) * limit;
    const double slotTime = usualWork / estimate.speed;
    estimate.wait
            = std::max(reportedWait, beyondLimit * slotTime / limit) + overdueAge(state, view, now);
    estimate.cost = estimate.wait + work + crowdingCharge(state, estimate.busy, work);
    if (request.duration == Duration::Long)
        estimate.cost += view.longInFlight * work;
    // Reports that claim more than the chooser observes are not believed.
    estimate.cost *= std::max(view.work.latencyRatio * estimate.speed / doubtedRatio, 1.0);
    if (!isNear)
        estimate.cost += state.otherDataCentreCost;
    const double free
            = std::clamp(1.0 - estimate.busy, 0.02, 2.0 * std::max(1.0 - service.busy, 0.1));
    estimate.weight = free * limit * estimate.speed;
    return estimate;
}

std::string_view reasonForLittleWork(const ChoiceState &state, const TargetView &view,
                                     const TargetEstimate &estimate, TimePoint now)
{
    if (view.pauseLength > Milliseconds(0))
        return "excluded as a straggler";
    if (hasJustFailed(view, now))
        return "an attempt has just failed";
    if (!wouldAdmit(view, Importance::Low, now))
        return "admits only more important work";
    if (overdueAge(state, view, now) > 0.0)
        return "calls are overdue";
    if (estimate.reportAge < 0.0)
        return "no report yet";
    if (view.work.latencyRatio * estimate.speed > doubtedRatio)
        return "answers are later than its reports claim";
    if (estimate.wait > 0.0)
        return "calls wait for a slot";
    constexpr double slow = 0.7;
    return estimate.speed < slow ? "slow" : "";
}

namespace {

struct Weighed
{
    std::size_t index = 0;
    double cost = 0.0;
    double weight = 0.0;
    bool isNear = true;
};

/// Draws targets in proportion to their weight and returns the cheapest of them and of `best`.
const Weighed *drawBest(ChoiceState &state, std::span<const Weighed> targets, bool isNear,
                        int draws, const Weighed *best)
{
    double total = 0.0;
    int count = 0;
    for (const Weighed &target : targets) {
        if (target.isNear != isNear)
            continue;
        total += target.weight;
        ++count;
    }
    if (count == 0)
        return best;
    draws = std::min(draws, (count + 1) / 2);
    std::uniform_real_distribution<double> position(0.0, total);
    for (int draw = 0; draw < draws; ++draw) {
        double left = position(state.random);
        const Weighed *drawn = nullptr;
        for (const Weighed &target : targets) {
            if (target.isNear != isNear)
                continue;
            drawn = &target;
            left -= target.weight;
            if (left <= 0.0)
                break;
        }
        if (best == nullptr || drawn->cost < best->cost)
            best = drawn;
    }
    return best;
}

/// The mean over all targets with a report, each counted once.
void updateMeanBusy(ServiceWork &service, std::span<const RatedTarget> rated)
{
    double sum = 0.0;
    double count = 0.0;
    for (const RatedTarget &target : rated) {
        if (target.view->work.updatedAt == TimePoint{})
            continue;
        sum += target.view->work.usualBusy;
        count += 1.0;
    }
    if (count > 0.0)
        service.busy = sum / count;
}

/// A target of which nothing is known, or nothing recent, if this call is to go there.
const RatedTarget *explore(ChoiceState &state, std::span<const RatedTarget> rated, TimePoint now)
{
    const auto isForgotten = [&](const RatedTarget &target) {
        return target.view->shortInFlight.empty()
               && now - target.view->work.updatedAt > forgottenAge;
    };
    const auto found = std::ranges::find_if(rated, isForgotten);
    if (found == rated.end())
        return nullptr;
    const double probability = explorationShare / static_cast<double>(rated.size());
    const bool isTried = std::bernoulli_distribution(probability)(state.random);
    return isTried ? &*found : nullptr;
}

std::optional<std::size_t> chooseLeastWork(ChoiceState &state,
                                           std::span<const Candidate> candidates,
                                           const ChoiceRequest &request, TimePoint now)
{
    if (candidates.empty())
        return std::nullopt;
    std::vector<RatedTarget> rated = rateTargets(state, candidates, relativeLatency, now);
    updateStragglers(rated, now);
    if (const auto probed = probeStraggler(rated, request, now))
        return probed;
    keepUsable(rated, request, now);
    updateMeanBusy(state.work, rated);
    if (const RatedTarget *forgotten = explore(state, rated, now))
        return forgotten->index;
    std::vector<Weighed> weighed;
    weighed.reserve(rated.size());
    for (const RatedTarget &target : rated) {
        const TargetEstimate estimate
                = estimateTarget(state, *target.view, request, target.isNear, now);
        weighed.push_back({target.index, estimate.cost, estimate.weight, target.isNear});
    }
    const Weighed *best = drawBest(state, weighed, true, nearDraws, nullptr);
    best = drawBest(state, weighed, false, otherDraws, best);
    return best->index;
}

const Registration<ChoicePlugin> registration{{leastWorkName, chooseLeastWork}};

} // namespace

} // namespace chive
