#include <LibPolicy/TreeBudget.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>
#include <vector>

namespace chive {

namespace {

using Seconds = std::chrono::duration<double>;

/// The end of the rejections must be detected within half a second, reports included.
constexpr Seconds rejectionTimeConstant{0.2};
constexpr Seconds offeredTimeConstant{0.3};
/// The number of calls of a tree changes only with the code of the services.
constexpr Seconds treeTimeConstant{4.0};
/// Rejected share above which limits are set.
constexpr double noticeableShare = 0.15;
/// Rejected share above which the calls of a tree are not learned, because trees break off.
constexpr double calmShare = 0.03;
/// Fewer calls than this tell nothing about the rejected share.
constexpr double minimumCalls = 2.0;
/// Fewer roots than this tell nothing about the calls of a tree.
constexpr double minimumRoots = 10.0;
/// After rejections and at the start, the calls of roots that were counted before distort the
/// number of calls of a tree for this long.
constexpr Milliseconds settlingTime{2'000};
/// A kind with fewer calls at the service is not limited: its trees lose little when they fail.
constexpr double minimumCallsPerTree = 1.5;
/// Only kinds of which more trees than this would fail without retries are limited.
constexpr double minimumFailingShare = 0.5;
/// Admitted of each kind at least, so that the end of the rejections is detected.
constexpr double probeShare = 0.02;
/// Share of the tokens that is planned for, as nodes do not have them in proportion to their calls.
/// With 0.8, more than 2 in 100 roots failed in TestTreesUnderRejection.
constexpr double plannedShare = 0.6;
/// Saved tokens are planned to last for this long, as rejections last for some seconds.
constexpr Seconds savedTokensLast{8.0};
/// Counts without rejections are reported this often.
constexpr Milliseconds learningInterval{1'000};
/// After a rejection, every report holds the counts for this long.
constexpr Milliseconds rejectionLifetime{2'000};
/// Callers wait up to this part of the time that they have left before they return.
constexpr double acceptedWaitShare = 0.32;
constexpr double minimumWaitShare = 0.05;

double rejectedShareOf(const TreeStatistics::ServiceEntry &service, TimePoint now)
{
    const double calls = decayedValue(service.calls, rejectionTimeConstant, now);
    if (calls < minimumCalls)
        return 0.0;
    return decayedValue(service.rejected, rejectionTimeConstant, now) / calls;
}

/// Starts to learn the calls of trees anew while calls are rejected, otherwise takes over what was
/// learned.
void learnTrees(TreeStatistics::ServiceEntry &service, TimePoint now)
{
    if (rejectedShareOf(service, now) > calmShare || service.calmSince == TimePoint{}) {
        service.calmSince = now;
        for (auto &[kind, entry] : service.kinds)
            entry.calls = entry.roots = {};
        return;
    }
    if (now - service.calmSince < settlingTime)
        return;
    for (auto &[kind, entry] : service.kinds) {
        const double roots = decayedValue(entry.roots, treeTimeConstant, now);
        if (roots >= minimumRoots)
            entry.callsPerTree = decayedValue(entry.calls, treeTimeConstant, now) / roots;
    }
}

/// The retries a second that the calls of this kind may have.
double retryRate(const TreeStatistics::KindEntry &kind, TimePoint now)
{
    const double accepted = decayedValue(kind.accepted, rejectionTimeConstant, now)
                            / rejectionTimeConstant.count();
    return tokensPerSecond(kind.budget, accepted)
           + std::max(0.0, kind.budget.tokens) / savedTokensLast.count();
}

struct TreeDemand
{
    std::string_view kind;
    std::size_t level = 0;
    double retriesPerSecond = 0.0; ///< To complete all trees of the kind.
};

bool isLimited(double callsPerTree, double rejectedShare)
{
    return callsPerTree >= minimumCallsPerTree
           && 1.0 - std::pow(1.0 - rejectedShare, callsPerTree) > minimumFailingShare;
}

void limit(TreeLimits &limits, std::string_view kind, double share)
{
    const auto [found, isNew] = limits.treeShares.try_emplace(std::string(kind), share);
    if (!isNew)
        found->second = std::min(found->second, share);
}

/// Divides the retries among the kinds that lead to the service, the most important first.
void divideRetries(TreeLimits &limits, const std::vector<TreeDemand> &demands,
                   double retriesPerSecond)
{
    double left = retriesPerSecond;
    for (std::size_t level = 0; level < importanceLevels; ++level) {
        double wanted = 0.0;
        for (const TreeDemand &demand : demands) {
            if (demand.level == level)
                wanted += demand.retriesPerSecond;
        }
        if (wanted <= 0.0)
            continue;
        const double share = std::clamp(left / wanted, probeShare, 1.0);
        left = std::max(0.0, left - share * wanted);
        for (const TreeDemand &demand : demands) {
            if (demand.level == level && share < 1.0)
                limit(limits, demand.kind, share);
        }
    }
}

} // namespace

bool hasRejections(const CallsByKind &calls)
{
    return std::ranges::any_of(calls,
                               [](const auto &entry) { return entry.second.rejected > 0.0; });
}

void noteCalls(CallCounter &counter, std::string_view kind, const CallCount &count, TimePoint now)
{
    auto found = counter.calls.find(kind);
    if (found == counter.calls.end())
        found = counter.calls.emplace(std::string(kind), CallCount{}).first;
    found->second.calls += count.calls;
    found->second.rejected += count.rejected;
    found->second.earlier += count.earlier;
    if (count.rejected > 0.0)
        counter.lastRejection = now;
}

CallsByKind takeCalls(CallCounter &counter, TimePoint now)
{
    const bool hasRejections = counter.lastRejection != TimePoint{}
                               && now - counter.lastRejection < rejectionLifetime;
    if (hasRejections || now - counter.lastTaken >= learningInterval) {
        counter.lastTaken = now;
        return std::exchange(counter.calls, {});
    }
    for (auto &[kind, count] : counter.calls)
        count = {0.0, 0.0, count.earlier + count.calls};
    return {};
}

void noteTreeRoots(TreeStatistics &statistics, std::string_view kind, const RootCount &count,
                   TimePoint now)
{
    TreeStatistics::RootEntry &entry = statistics.roots[std::string(kind)];
    entry.importance = count.importance;
    add(entry.offered, count.offered, offeredTimeConstant, now);
    for (auto &[name, service] : statistics.services) {
        const auto found = service.kinds.find(kind);
        if (found != service.kinds.end())
            add(found->second.roots, count.admitted, treeTimeConstant, now);
    }
}

void noteTreeCalls(TreeStatistics &statistics, std::string_view service, const CallsByKind &calls,
                   TimePoint now)
{
    if (calls.empty())
        return;
    TreeStatistics::ServiceEntry &entry = statistics.services[std::string(service)];
    for (const auto &[kind, count] : calls) {
        add(entry.calls, count.calls, rejectionTimeConstant, now);
        add(entry.rejected, std::min(count.rejected, count.calls), rejectionTimeConstant, now);
        const double accepted = std::max(0.0, count.calls - count.rejected) + count.earlier;
        if (kind.empty())
            continue;
        TreeStatistics::KindEntry &ofKind = entry.kinds[kind];
        add(ofKind.calls, accepted, treeTimeConstant, now);
        add(ofKind.accepted, accepted - count.earlier, rejectionTimeConstant, now);
        const SharedRetryBound &bound = statistics.bound;
        ofKind.budget.limits
                = sharedLimits(bound.ratio, 0.0, bound.window, 1, RetryPlanning::Trees);
        noteFirstAttempt(ofKind.budget, now, accepted);
        takeTokens(ofKind.budget, std::min(count.rejected, std::max(0.0, ofKind.budget.tokens)));
    }
}

TreeLimits treeLimits(TreeStatistics &statistics, TimePoint now)
{
    TreeLimits limits;
    for (auto &[name, service] : statistics.services) {
        learnTrees(service, now);
        const double rejected = std::min(0.99, rejectedShareOf(service, now));
        for (auto &[kind, entry] : service.kinds)
            entry.budget.isShifted = rejected >= noticeableShare;
        if (rejected < noticeableShare)
            continue;
        limits.rejectedShares.emplace(name, rejected);
        const double retriesPerCall = rejected / (1.0 - rejected);
        double available = 0.0;
        std::vector<TreeDemand> demands;
        for (const auto &[kind, entry] : service.kinds) {
            const auto root = statistics.roots.find(kind);
            if (root == statistics.roots.end())
                continue;
            const double offered = decayedValue(root->second.offered, offeredTimeConstant, now)
                                   / offeredTimeConstant.count();
            const double wanted = offered * entry.callsPerTree * retriesPerCall;
            if (!isLimited(entry.callsPerTree, rejected))
                continue;
            demands.push_back({kind, static_cast<std::size_t>(root->second.importance), wanted});
            available += plannedShare * retryRate(entry, now);
        }
        divideRetries(limits, demands, available);
    }
    return limits;
}

Milliseconds retryAfterRejections(Milliseconds left, double draw)
{
    const double share = minimumWaitShare + (acceptedWaitShare - minimumWaitShare) * draw;
    return Milliseconds(static_cast<std::int64_t>(
            share * static_cast<double>(std::max(left, Milliseconds(0)).count())));
}

} // namespace chive
