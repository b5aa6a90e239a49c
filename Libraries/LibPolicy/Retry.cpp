#include <LibPolicy/Retry.h>

#include <algorithm>
#include <cmath>

namespace chive {

namespace {

/// Share of the constant number of retries that the nodes together use; the rest is a margin.
constexpr double constantUsedShare = 0.5;
/// Shares of the ratio: tokens added with each request, half a window and a window after it, and
/// additional capacity. The bound allows retries in proportion to the requests of the same window,
/// of the one half a window before it, or of the one before it. So it holds for any weighted mean
/// of these, for each node and for their sum. The rest is a margin for retries that no node counts.
struct RatioShares
{
    double refill = 0.0;
    std::array<double, 2> later{};
    double capacity = 0.0;
};
constexpr RatioShares sharesForCalls{0.45, {0.2, 0.1}, 0.1};
constexpr RatioShares sharesForTrees{0.4, {0.0, 0.25}, 0.2};
/// With RetryPlanning::Trees, moves from the current requests to those of the window before while
/// the service rejects calls. Whenever a node changes and however often, what this share adds in a
/// window comes from requests of that window or of the one before it, each counted once. It is at
/// most twice this share of the most requests that the bound names, in the sum of all nodes as
/// well. So the sum of all shares and once more this one must not exceed 1.
constexpr double ratioShiftedShare = 0.15;
/// Number of spans in a window in which first attempts are counted.
constexpr int spansOfWindow = 40;
/// With fewer known members, the membership view is probably incomplete.
constexpr std::size_t minimumNodes = 10;
constexpr int serviceUnavailable = 503; ///< RFC 9110, section 15.6.4.
constexpr int badGateway = 502;
constexpr int gatewayTimeout = 504;

std::uint32_t halfRoundedUp(std::uint32_t value)
{
    return value / 2 + value % 2;
}

double tokenCapacity(const RetryBudget &budget)
{
    const RetryBudgetLimits &limits = budget.limits;
    return limits.capacity + limits.capacityPerFirstAttempt * budget.recentAttempts;
}

void addTokens(RetryBudget &budget, double tokens)
{
    budget.tokens = std::min(tokenCapacity(budget), budget.tokens + tokens);
}

double perFirstAttempt(const RetryBudget &budget)
{
    const RetryBudgetLimits &limits = budget.limits;
    return limits.perFirstAttempt - (budget.isShifted ? limits.shiftedPerFirstAttempt : 0.0);
}

double perFirstAttemptLater(const RetryBudget &budget, std::size_t index)
{
    const RetryBudgetLimits &limits = budget.limits;
    const bool isIncreased = budget.isShifted && index == 1;
    return limits.perFirstAttemptLater[index] + (isIncreased ? limits.shiftedPerFirstAttempt : 0.0);
}

void addLaterTokens(RetryBudget &budget, TimePoint now)
{
    const RetryBudgetLimits &limits = budget.limits;
    for (std::size_t i = 0; i < budget.later.size(); ++i) {
        const auto delay = limits.window * static_cast<int>(i + 1) / 2;
        auto &spans = budget.later[i];
        while (!spans.empty() && now - spans.front().start >= delay) {
            addTokens(budget, perFirstAttemptLater(budget, i) * spans.front().attempts);
            spans.pop_front();
        }
    }
}

void noteForLater(RetryBudget &budget, TimePoint now, double count)
{
    const auto length = budget.limits.window / spansOfWindow;
    for (std::size_t i = 0; i < budget.later.size(); ++i) {
        if (budget.limits.perFirstAttemptLater[i] <= 0.0)
            continue;
        auto &spans = budget.later[i];
        if (spans.empty() || now - spans.back().start >= length)
            spans.push_back({now, 0.0});
        spans.back().attempts += count;
    }
}

void refill(RetryBudget &budget, TimePoint now)
{
    addLaterTokens(budget, now);
    if (budget.lastRefill != TimePoint{}) {
        const std::chrono::duration<double> passed = now - budget.lastRefill;
        const std::chrono::duration<double> window = budget.limits.window;
        budget.recentAttempts *= std::exp(-passed / window);
        addTokens(budget, budget.limits.perSecond * passed.count());
    }
    budget.lastRefill = now;
}

/// Number of tokens that this call must leave to others. Call trees with a low random draw may take
/// the last tokens, so that a scarce budget completes some trees instead of a few calls of each.
/// More important calls rank before less important ones.
double tokensLeftToOthers(const Call &call, const RetryBudget &budget)
{
    // The roots are limited by importance already, and those that began may need every token.
    if (budget.isShifted)
        return 0.0;
    const auto level = static_cast<double>(call.importance);
    const double order = (level + call.treeDraw) / static_cast<double>(importanceLevels);
    return std::max(0.0, tokenCapacity(budget) - 1.0) * budget.limits.reservedShare * order;
}

/// Whether another target could succeed after a failure for this reason.
bool isRetryableElsewhere(Reason reason)
{
    switch (reason) {
    case Reason::Overloaded:
    case Reason::Leaving:
    case Reason::TargetUnreachable:
    case Reason::TargetFailed:
    case Reason::IncompleteAnswer:
    case Reason::LinkLost:
    case Reason::NoTarget:
        return true;
    default:
        return false;
    }
}

bool isWorthRetrying(const Call &call, const Judged<Answer> &result)
{
    if (result.has_value()) {
        const int status = result.value().status;
        const bool isTransient
                = status == serviceUnavailable || status == badGateway || status == gatewayTimeout;
        return isTransient && call.repetition == Repetition::Idempotent;
    }
    const Verdict &verdict = result.error();
    if (verdict.retriedBelow || !isRetryableElsewhere(verdict.reason))
        return false;
    return verdict.execution == Execution::NotRun || call.repetition == Repetition::Idempotent;
}

} // namespace

std::optional<Allowance> reserveForChild(Allowance &parent)
{
    if (parent.calls == 0)
        return std::nullopt;
    --parent.calls;
    const Allowance lent{halfRoundedUp(parent.retries), halfRoundedUp(parent.calls)};
    parent.retries -= lent.retries;
    parent.calls -= lent.calls;
    return lent;
}

void returnUnspent(Allowance &parent, const Allowance &lent, const Allowance &unspent)
{
    parent.retries += std::min(lent.retries, unspent.retries);
    parent.calls += std::min(lent.calls, unspent.calls);
}

void noteFirstAttempt(RetryBudget &budget, TimePoint now, double count)
{
    refill(budget, now);
    budget.recentAttempts += count;
    noteForLater(budget, now, count);
    addTokens(budget, perFirstAttempt(budget) * count);
}

double tokensPerSecond(const RetryBudget &budget, double firstAttemptsPerSecond)
{
    double tokens = budget.limits.perSecond + perFirstAttempt(budget) * firstAttemptsPerSecond;
    for (std::size_t i = 0; i < budget.later.size(); ++i) {
        const auto &spans = budget.later[i];
        const auto count = std::min<std::size_t>(spans.size(), 5);
        if (count < 2)
            continue;
        double attempts = 0.0;
        for (std::size_t span = 0; span + 1 < count; ++span)
            attempts += spans[span].attempts;
        const std::chrono::duration<double> time = spans[count - 1].start - spans[0].start;
        tokens += perFirstAttemptLater(budget, i) * attempts / time.count();
    }
    return tokens;
}

RetryBudgetLimits sharedLimits(double ratio, double constant, Milliseconds window,
                               std::size_t nodes, RetryPlanning planning)
{
    const bool isForTrees = planning == RetryPlanning::Trees;
    const RatioShares &shares = isForTrees ? sharesForTrees : sharesForCalls;
    const auto sharers = static_cast<double>(std::max(nodes, minimumNodes));
    const std::chrono::duration<double> seconds = window;
    RetryBudgetLimits limits;
    limits.perFirstAttempt = shares.refill * ratio;
    for (std::size_t i = 0; i < shares.later.size(); ++i)
        limits.perFirstAttemptLater[i] = shares.later[i] * ratio;
    limits.shiftedPerFirstAttempt = isForTrees ? ratioShiftedShare * ratio : 0.0;
    // The constant can be spent twice in a window: as saved tokens and as the refill.
    limits.capacity = constantUsedShare * constant / sharers / 2.0;
    limits.perSecond = limits.capacity / seconds.count();
    limits.capacityPerFirstAttempt = shares.capacity * ratio;
    limits.window = window;
    limits.reservedShare = 0.8;
    limits.chargesUnreachedAttempts = false;
    return limits;
}

RetryBudget sharedBudget(const RetryBudgetLimits &limits)
{
    RetryBudget budget;
    budget.limits = limits;
    budget.tokens = 0.0;
    return budget;
}

bool lacksTokens(const Call &call, RetryBudget &budget, TimePoint now)
{
    refill(budget, now);
    return budget.tokens < 1.0 + tokensLeftToOthers(call, budget);
}

bool hasTokens(RetryBudget &budget, double tokens, TimePoint now)
{
    refill(budget, now);
    return budget.tokens >= tokens;
}

void takeTokens(RetryBudget &budget, double tokens)
{
    budget.tokens -= tokens;
}

bool isRejectedByTarget(const Judged<Answer> &result)
{
    return !result.has_value() && result.error().hasReachedTarget
           && result.error().execution == Execution::NotRun
           && result.error().reason == Reason::Overloaded;
}

bool hasReachedTarget(const Judged<Answer> &result)
{
    return result.has_value() || result.error().execution != Execution::NotRun
           || result.error().hasReachedTarget;
}

bool takeRetry(const Call &call, const AttemptOutcome &end, Allowance &allowance,
               RetryBudget &budget, TimePoint now)
{
    refill(budget, now);
    if (end.failedBelow || !end.hasOtherTarget || !isWorthRetrying(call, *end.result))
        return false;
    if (now + end.expectedLatency >= call.deadline)
        return false;
    if (!hasReachedTarget(*end.result) && !budget.limits.chargesUnreachedAttempts)
        return true;
    if (!end.isAtRejectingTarget && allowance.retries == 0)
        return false;
    if (lacksTokens(call, budget, now))
        return false;
    if (!end.isAtRejectingTarget)
        --allowance.retries;
    budget.tokens -= 1.0;
    return true;
}

} // namespace chive
