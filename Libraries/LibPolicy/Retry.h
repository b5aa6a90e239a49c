#pragma once

#include <LibCore/Clock.h>
#include <LibNode/Call.h>
#include <LibSettings/Settings.h>

#include <array>
#include <deque>
#include <optional>

/// Bounds the retries and nested calls of the whole call tree of a request, and the retries towards
/// each service by a retry budget.
namespace chive {

/// Deducts one nested call from the parent's allowance and moves half of the rest, rounded up, to
/// the child. Returns nothing if the parent may make no more nested calls. What the call tree holds
/// and has spent never exceeds what was granted to the root.
[[nodiscard]] std::optional<Allowance> reserveForChild(Allowance &parent);

/// Returns the unspent allowance of a child to its parent, at most what the child was given. If the
/// answer is lost, nothing is returned and all of it counts as spent.
void returnUnspent(Allowance &parent, const Allowance &lent, const Allowance &unspent);

/// Limits of the retries that one node may make towards one service.
struct RetryBudgetLimits
{
    double perFirstAttempt = 0.1;
    /// Tokens that a first attempt adds later: half a window after it, and a window after it. While
    /// a fault lasts, call trees break off early and make few first attempts.
    std::array<double, 2> perFirstAttemptLater{0.0, 0.0};
    /// Part of `perFirstAttempt` that moves to the tokens added a window later, see
    /// RetryBudget::isShifted.
    double shiftedPerFirstAttempt = 0.0;
    double perSecond = 0.5; ///< Allows retries to a service with little traffic.
    double capacity = 10.0; ///< Maximum number of saved tokens.
    /// Added to `capacity` for each first attempt in the last window.
    double capacityPerFirstAttempt = 0.0;
    Milliseconds window{10'000};
    /// Share of the capacity that the calls of lowest rank leave to others. More important calls
    /// rank higher, and among equally important ones the call trees with a lower random draw.
    double reservedShare = 0.0;
    /// Whether a retry costs a token even if the attempt before it provably reached no target.
    bool chargesUnreachedAttempts = true;
};

/// Returns the limits of one of `nodes` nodes that together may make, for each service and window,
/// `constant` retries plus `ratio` times the number of requests. A margin is kept for what nodes
/// cannot know of each other: members that join and leave, and retries made by callers.
[[nodiscard]] RetryBudgetLimits sharedLimits(double ratio, double constant, Milliseconds window,
                                             std::size_t nodes,
                                             RetryPlanning planning = RetryPlanning::Calls);

/// A token bucket that caps the retries towards one service at a share of the first attempts.
struct RetryBudget
{
    /// First attempts in a short span of time.
    struct Span
    {
        TimePoint start;
        double attempts = 0.0;
    };

    RetryBudgetLimits limits;
    double tokens = 3.0;
    /// Attempts that will add tokens later, the oldest first, by delay as in perFirstAttemptLater.
    std::array<std::deque<Span>, 2> later;
    /// Set while the service rejects calls: trees break off or are refused, and the current
    /// requests add few tokens. It may change at any time.
    bool isShifted = false;
    double recentAttempts = 0.0; ///< Decaying count of the first attempts in about the last window.
    TimePoint lastRefill;
};

/// The budget of a process that has just begun and shares a bound with other nodes. It is empty, as
/// the process before it may have spent all that the node was allowed.
[[nodiscard]] RetryBudget sharedBudget(const RetryBudgetLimits &limits);

[[nodiscard]] bool hasTokens(RetryBudget &budget, double tokens, TimePoint now);

/// Whether the budget has no token for a retry of this call.
[[nodiscard]] bool lacksTokens(const Call &call, RetryBudget &budget, TimePoint now);

void takeTokens(RetryBudget &budget, double tokens);

/// Must be called for each first attempt, or with the count of several.
void noteFirstAttempt(RetryBudget &budget, TimePoint now, double count = 1.0);

/// The tokens a second that will be added soon, at this rate of first attempts.
[[nodiscard]] double tokensPerSecond(const RetryBudget &budget, double firstAttemptsPerSecond);

/// The outcome of an attempt, as far as a retry depends on it.
struct AttemptOutcome
{
    const Judged<Answer> *result = nullptr;
    bool failedBelow = false;    ///< The attempt failed because a nested call failed.
    bool hasOtherTarget = false; ///< Another target is available for a retry.
    /// The retry goes to a target that has rejected this call before. It reaches no further target,
    /// so it costs no retry of the allowance.
    bool isAtRejectingTarget = false;
    Microseconds expectedLatency{0}; ///< Expected latency of the next attempt.
};

/// Whether a target rejected the call, without running it, for lack of slots or of time.
[[nodiscard]] bool isRejectedByTarget(const Judged<Answer> &result);

/// Whether the attempt reached a target or may have reached one.
[[nodiscard]] bool hasReachedTarget(const Judged<Answer> &result);

/// Whether to retry at another target. If so, takes one retry from the allowance and one token from
/// the budget, unless the attempt reached no target and such retries are free.
[[nodiscard]] bool takeRetry(const Call &call, const AttemptOutcome &end, Allowance &allowance,
                             RetryBudget &budget, TimePoint now);

} // namespace chive
