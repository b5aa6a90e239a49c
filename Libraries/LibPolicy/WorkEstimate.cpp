#include <LibPolicy/WorkEstimate.h>

#include <algorithm>
#include <cmath>

namespace chive {

namespace {

constexpr std::size_t maximumKinds = 32;
constexpr double firstBucketEnd = 0.5; ///< Milliseconds.
/// Holds several hundred samples of a busy target, so that one in a hundred is represented.
constexpr double histogramLifetime = 30.0; ///< Seconds.
/// Shorter than the disturbances of 0.6 s that it has to follow.
constexpr double paceLifetime = 0.4; ///< Seconds.
/// Samples at the usual pace that the pace starts from. Without them, single calls that cost seven
/// times the mean would look like a slow target.
constexpr double paceSamples = 10.0;

double secondsBetween(TimePoint from, TimePoint until)
{
    return std::chrono::duration<double>(until - from).count();
}

std::size_t bucketOf(double milliseconds)
{
    if (milliseconds <= firstBucketEnd)
        return 0;
    const double steps = std::ceil(2.0 * std::log2(milliseconds / firstBucketEnd));
    return std::min(static_cast<std::size_t>(steps), serviceTimeBuckets - 1);
}

void decay(ServiceTimes &times, TimePoint now)
{
    const double elapsed = secondsBetween(times.decayedAt, now);
    // Often enough for the lifetime, and not for each of several hundred calls a second.
    if (times.decayedAt != TimePoint{} && elapsed < 0.5)
        return;
    const double factor
            = times.decayedAt == TimePoint{} ? 1.0 : std::exp(-elapsed / histogramLifetime);
    times.decayedAt = now;
    for (double &count : times.counts)
        count *= factor;
    for (double &sum : times.sums)
        sum *= factor;
    times.totalCount *= factor;
    times.totalSum *= factor;
    times.waitSum *= factor;
}

ServiceTimes &timesFor(WorkEstimate &estimate, std::string_view kind)
{
    const auto found = estimate.kinds.find(kind);
    if (found != estimate.kinds.end())
        return found->second;
    const bool hasRoom = estimate.kinds.size() + 1 < maximumKinds;
    return estimate.kinds[hasRoom ? std::string(kind) : std::string()];
}

const ServiceTimes *timesOf(const WorkEstimate &estimate, std::string_view kind)
{
    auto found = estimate.kinds.find(kind);
    if (found == estimate.kinds.end())
        found = estimate.kinds.find(std::string_view());
    if (found == estimate.kinds.end() || found->second.totalCount == 0.0)
        return nullptr;
    return &found->second;
}

} // namespace

void addServiceTime(WorkEstimate &estimate, std::string_view kind, double ownMilliseconds,
                    double nestedWait, TimePoint now)
{
    ServiceTimes &times = timesFor(estimate, kind);
    decay(times, now);
    const double pace = paceOf(estimate, now);
    const double expected
            = times.totalCount == 0.0 ? ownMilliseconds : times.totalSum / times.totalCount;
    const double factor = estimate.paceAt == TimePoint{}
                                  ? 0.0
                                  : std::exp(-secondsBetween(estimate.paceAt, now) / paceLifetime);
    estimate.recentTime = estimate.recentTime * factor + ownMilliseconds;
    estimate.recentExpected = estimate.recentExpected * factor + expected;
    estimate.paceAt = now;

    // A lasting change of speed has to reach the histograms, so only part of the pace is removed.
    const double usual = ownMilliseconds / std::sqrt(pace);
    const std::size_t bucket = bucketOf(usual);
    times.counts.at(bucket) += 1.0;
    times.sums.at(bucket) += usual;
    times.totalCount += 1.0;
    times.totalSum += usual;
    times.waitSum += nestedWait;
}

double paceOf(const WorkEstimate &estimate, TimePoint now)
{
    if (estimate.paceAt == TimePoint{} || estimate.recentExpected <= 0.0)
        return 1.0;
    const double factor = std::exp(-secondsBetween(estimate.paceAt, now) / paceLifetime);
    const double prior = paceSamples * expectedWork(estimate, {});
    return (estimate.recentTime * factor + prior) / (estimate.recentExpected * factor + prior);
}

double expectedWork(const WorkEstimate &estimate, std::string_view kind)
{
    if (const ServiceTimes *times = timesOf(estimate, kind))
        return times->totalSum / times->totalCount;
    double count = 0.0;
    double sum = 0.0;
    for (const auto &[name, times] : estimate.kinds) {
        count += times.totalCount;
        sum += times.totalSum;
    }
    return count == 0.0 ? 0.0 : sum / count;
}

double expectedNestedWait(const WorkEstimate &estimate, std::string_view kind)
{
    const ServiceTimes *times = timesOf(estimate, kind);
    return times == nullptr ? 0.0 : times->waitSum / times->totalCount;
}

double expectedResidual(const WorkEstimate &estimate, std::string_view kind, double age)
{
    const ServiceTimes *times = timesOf(estimate, kind);
    if (times == nullptr)
        return std::max(expectedWork(estimate, kind) - age, age);
    const std::size_t bucket = bucketOf(age);
    double count = 0.0;
    double sum = 0.0;
    for (std::size_t i = bucket + 1; i < serviceTimeBuckets; ++i) {
        count += times->counts.at(i);
        sum += times->sums.at(i);
    }
    // Of the bucket that holds the age, the calls above the bucket's mean are still running.
    const double inBucket = times->counts.at(bucket);
    if (inBucket > 0.0 && times->sums.at(bucket) / inBucket > age) {
        count += inBucket;
        sum += times->sums.at(bucket);
    }
    // With a few samples or none above it, a call is expected to take as long again: that is the
    // residual of a distribution without a scale.
    constexpr double priorCount = 0.5;
    return (sum - count * age + priorCount * std::max(age, 1.0)) / (count + priorCount);
}

} // namespace chive
