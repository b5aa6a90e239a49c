#pragma once

#include <LibCore/Clock.h>
#include <LibNode/Call.h>

#include <optional>

/// Retries and nested calls are bounded over the whole tree of calls below one request, and
/// retries besides by a budget for each service.
namespace chive {

/// Takes what a nested call costs from the parent and lends it half of what remains, rounded up.
/// Nothing if the parent may make no more nested calls. All that the tree below holds or has spent
/// is always covered by what the root was granted.
[[nodiscard]] std::optional<Allowance> reserveForChild(Allowance &parent);

/// Returns what a child did not spend. A child cannot return more than it was lent; a lost answer
/// returns nothing, which counts all of it as spent.
void returnUnspent(Allowance &parent, const Allowance &lent, const Allowance &unspent);

/// How many retries one node may make towards one service.
struct RetryBudgetLimits
{
    double perFirstAttempt = 0.1;
    double perSecond = 0.5; ///< Lets a service with little traffic retry at all.
    double capacity = 10.0; ///< What can be saved up.
    /// What can be saved up besides, for each first attempt in the last window.
    double capacityPerFirstAttempt = 0.0;
    Milliseconds window{10'000};
    /// Of what can be saved up, the part that the last in order leave to others: more important
    /// calls, and trees of calls with a lower draw.
    double reservedShare = 0.0;
    /// Whether a retry counts also when the attempt before it provably reached no target.
    bool chargesUnreachedAttempts = true;
};

/// The limits for one of `nodes` nodes that share, for each service and window, `constant` retries
/// and `ratio` of the requests. A part is kept back for what nodes cannot know of each other:
/// members that come and go, and repeats that callers make.
[[nodiscard]] RetryBudgetLimits sharedLimits(double ratio, double constant, Milliseconds window,
                                             std::size_t nodes);

/// Caps the retries towards one service at a share of the first attempts.
struct RetryBudget
{
    RetryBudgetLimits limits;
    double tokens = 3.0;
    double recentAttempts = 0.0; ///< First attempts in about the last window.
    TimePoint lastRefill;
};

[[nodiscard]] bool hasTokens(RetryBudget &budget, double tokens, TimePoint now);
void takeTokens(RetryBudget &budget, double tokens);

/// Call for each first attempt.
void noteFirstAttempt(RetryBudget &budget, TimePoint now);

/// How one attempt ended, as far as a retry depends on it.
struct AttemptOutcome
{
    const Judged<Answer> *result = nullptr;
    bool failedBelow = false;        ///< A nested call failed below.
    bool hasOtherTarget = false;     ///< Another target could take the retry.
    Microseconds expectedLatency{0}; ///< Of the next attempt.
};

/// Whether the attempt came, or may have come, as far as a target.
[[nodiscard]] bool hasReachedTarget(const Judged<Answer> &result);

/// Whether to try again elsewhere. True takes one retry from the allowance and the budget.
[[nodiscard]] bool takeRetry(const Call &call, const AttemptOutcome &end, Allowance &allowance,
                             RetryBudget &budget, TimePoint now);

} // namespace chive
