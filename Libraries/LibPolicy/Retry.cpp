#include <LibPolicy/Retry.h>

#include <algorithm>

namespace chive {

namespace {

constexpr double tokensPerFirstAttempt = 0.1;
constexpr double tokensPerSecond = 0.5; ///< Lets a service with little traffic retry at all.
constexpr double largestBudget = 10.0;
constexpr int serviceUnavailable = 503; ///< RFC 9110, section 15.6.4.
constexpr int badGateway = 502;
constexpr int gatewayTimeout = 504;

std::uint32_t halfRoundedUp(std::uint32_t value)
{
    return value / 2 + value % 2;
}

void addTokens(RetryBudget &budget, double tokens)
{
    budget.tokens = std::min(largestBudget, budget.tokens + tokens);
}

void refill(RetryBudget &budget, TimePoint now)
{
    if (budget.lastRefill != TimePoint{}) {
        const std::chrono::duration<double> passed = now - budget.lastRefill;
        addTokens(budget, tokensPerSecond * passed.count());
    }
    budget.lastRefill = now;
}

/// Whether another target could give a better answer for this reason.
bool helpsElsewhere(Reason reason)
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
    if (verdict.retriedBelow || !helpsElsewhere(verdict.reason))
        return false;
    return verdict.execution == Execution::NotRun || call.repetition == Repetition::Idempotent;
}

} // namespace

std::optional<Allowance> lendToChild(Allowance &parent)
{
    if (parent.calls == 0)
        return std::nullopt;
    --parent.calls;
    const Allowance lent{halfRoundedUp(parent.retries), halfRoundedUp(parent.calls)};
    parent.retries -= lent.retries;
    parent.calls -= lent.calls;
    return lent;
}

void giveBack(Allowance &parent, const Allowance &lent, const Allowance &unspent)
{
    parent.retries += std::min(lent.retries, unspent.retries);
    parent.calls += std::min(lent.calls, unspent.calls);
}

void noteFirstAttempt(RetryBudget &budget, TimePoint now)
{
    refill(budget, now);
    addTokens(budget, tokensPerFirstAttempt);
}

bool takeRetry(const Call &call, const AttemptEnd &end, Allowance &allowance, RetryBudget &budget,
               TimePoint now)
{
    refill(budget, now);
    if (end.failedBelow || !end.hasOtherTarget || !isWorthRetrying(call, *end.result))
        return false;
    if (now + end.expectedLatency >= call.deadline)
        return false;
    if (allowance.retries == 0 || budget.tokens < 1.0)
        return false;
    --allowance.retries;
    budget.tokens -= 1.0;
    return true;
}

} // namespace chive
