#pragma once

#include <LibNode/Messages.h>
#include <LibPolicy/Retry.h>
#include <LibPolicy/RootAdmission.h>

#include <map>
#include <string>
#include <string_view>

/// Limits the root requests while the targets of a downstream service reject calls. The retries
/// towards a service are bounded over all nodes. Spread over all call trees they complete none of
/// them, so only as many trees are admitted as the retries can complete.
namespace chive {

/// By the kind of the root request that the calls belong to.
using CallsByKind = std::map<std::string, CallCount, std::less<>>;

[[nodiscard]] bool hasRejections(const CallsByKind &calls);

/// What one target's node counts between two reports. Without rejections the counts are due only at
/// a low rate, as they serve only to learn how many calls a tree makes.
struct CallCounter
{
    CallsByKind calls;
    TimePoint lastRejection;
    TimePoint lastTaken;
};

void noteCalls(CallCounter &counter, std::string_view kind, const CallCount &count, TimePoint now);

/// Ends an interval. Returns the counts if they are due, and nothing otherwise.
[[nodiscard]] CallsByKind takeCalls(CallCounter &counter, TimePoint now);

/// The bound on retries that all nodes keep together, as in sharedLimits().
struct SharedRetryBound
{
    double ratio = 0.0;
    double constant = 0.0;
    Milliseconds window{10'000};
};

/// What a collector has learned about one service.
struct TreeStatistics
{
    /// The sums are over the time in which hardly any call was rejected, see `calmSince`.
    struct KindEntry
    {
        DecayingSum calls;
        DecayingSum roots;
        double callsPerTree = 0.0; ///< The latest reliable value; 0: not known.
        DecayingSum accepted;      ///< Recent calls that were not rejected.
        /// What the budgets of all nodes together hold for the calls of this kind: accepted calls
        /// count as first attempts, and rejected ones as retries.
        RetryBudget budget;
    };

    struct ServiceEntry
    {
        DecayingSum calls;
        DecayingSum rejected;
        TimePoint calmSince;
        std::map<std::string, KindEntry, std::less<>> kinds;
    };

    struct RootEntry
    {
        Importance importance = Importance::Normal;
        DecayingSum offered;
    };

    SharedRetryBound bound;
    std::map<std::string, ServiceEntry, std::less<>> services;
    std::map<std::string, RootEntry, std::less<>> roots; ///< By kind.
};

void noteTreeRoots(TreeStatistics &statistics, std::string_view kind, const RootCount &count,
                   TimePoint now);
void noteTreeCalls(TreeStatistics &statistics, std::string_view service, const CallsByKind &calls,
                   TimePoint now);

/// The limits that rejections set.
struct TreeLimits
{
    /// The share of the calls that targets reject, for each service where it is noticeable.
    std::map<std::string, double, std::less<>> rejectedShares;
    /// The share of the roots to admit, for each kind of which not all trees can be completed.
    std::map<std::string, double, std::less<>> treeShares;
};

[[nodiscard]] TreeLimits treeLimits(TreeStatistics &statistics, TimePoint now);

/// Returns after what time a root that was refused for lack of retries should come again: within
/// the part of the time that it has left for which callers wait, evenly spread by the random `draw`
/// from 0 to 1, as the rejections may end at any time.
[[nodiscard]] Milliseconds retryAfterRejections(Milliseconds left, double draw);

} // namespace chive
