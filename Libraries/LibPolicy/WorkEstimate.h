#pragma once

#include <LibCore/Clock.h>

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

/// Learned at the node beside a target: how long the target's own work on a call of each kind
/// takes. Time that a call spends waiting for its nested calls is not the target's own work.
namespace chive {

/// Buckets grow by a factor of the square root of two, from half a millisecond to 45 seconds.
constexpr std::size_t serviceTimeBuckets = 33;

/// A decaying histogram of the own times of one kind, in milliseconds at the target's usual pace.
struct ServiceTimes
{
    std::array<double, serviceTimeBuckets> counts{};
    std::array<double, serviceTimeBuckets> sums{};
    double totalCount = 0.0;
    double totalSum = 0.0;
    double waitSum = 0.0; ///< Time spent waiting for nested calls.
    TimePoint decayedAt;
};

struct WorkEstimate
{
    /// At most `maximumKinds`; further kinds share the entry of the empty name.
    std::map<std::string, ServiceTimes, std::less<>> kinds;
    /// Recent own time, and what the histograms led to expect. Their ratio is the pace: a target
    /// that is briefly slow changes the pace and not the histograms.
    double recentTime = 0.0;
    double recentExpected = 0.0;
    TimePoint paceAt;
};

/// Adds a call that ended: its own time on the target and its wait for nested calls.
void addServiceTime(WorkEstimate &estimate, std::string_view kind, double ownMilliseconds,
                    double nestedWait, TimePoint now);

/// Own time at present relative to the usual one: 2 means twice as slow. 1 before the first sample.
[[nodiscard]] double paceOf(const WorkEstimate &estimate, TimePoint now);

/// Mean own time of this kind at the usual pace; without samples that of all kinds, or 0.
[[nodiscard]] double expectedWork(const WorkEstimate &estimate, std::string_view kind);

/// Mean time that a call of this kind waits for its nested calls.
[[nodiscard]] double expectedNestedWait(const WorkEstimate &estimate, std::string_view kind);

/// Expected remaining own time, at the usual pace, of a call that has already taken `age`
/// milliseconds of own time. Grows with the age where a few calls take much longer than the mean.
[[nodiscard]] double expectedResidual(const WorkEstimate &estimate, std::string_view kind,
                                      double age);

} // namespace chive
