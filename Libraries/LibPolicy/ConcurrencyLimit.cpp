#include <LibPolicy/ConcurrencyLimit.h>

#include <algorithm>

namespace chive {

namespace {

constexpr Milliseconds windowLength{100};
constexpr Milliseconds pauseAfterFailedTrial{2'000};
constexpr std::uint32_t samplesPerWindow = 10;
constexpr double decreaseOnOverload = 0.9;
constexpr double decreaseOnTrial = 0.8;
constexpr double increasePerWindow = 0.05; ///< Of the ceiling.
constexpr double smallestShare = 0.2;      ///< Of the ceiling.
constexpr double slowLatencyRatio = 2.0;   ///< Of window latency to baseline.
constexpr double keptThroughput = 0.97;    ///< Of the throughput before the trial.
constexpr double baselineGain = 0.02;      ///< Weight of a slower window in the baseline.
constexpr double overloadedShare = 0.02;   ///< Of a window's requests.

double millisecondsOf(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// The baseline follows faster windows at once and slower ones reluctantly.
void updateBaseline(ConcurrencyLimit &limit, double latency)
{
    if (limit.baselineLatency == 0.0 || latency < limit.baselineLatency)
        limit.baselineLatency = latency;
    else
        limit.baselineLatency += baselineGain * (latency - limit.baselineLatency);
}

void startWindow(ConcurrencyLimit &limit, TimePoint now)
{
    limit.windowStart = now;
    limit.finished = 0;
    limit.overloaded = 0;
    limit.latencySum = 0.0;
    limit.wasBinding = false;
}

void setLimit(ConcurrencyLimit &limit, double value)
{
    const double floor = std::max(1.0, smallestShare * limit.ceiling);
    limit.limit = std::clamp(value, floor, static_cast<double>(limit.ceiling));
}

void endTrial(ConcurrencyLimit &limit, double throughput, TimePoint now)
{
    if (throughput < keptThroughput * limit.throughputBeforeTrial) {
        setLimit(limit, limit.limitBeforeTrial);
        limit.nextTrial = now + pauseAfterFailedTrial;
    }
    limit.limitBeforeTrial = 0.0;
}

void judgeWindow(ConcurrencyLimit &limit, TimePoint now)
{
    const double seconds = millisecondsOf(now - limit.windowStart) / 1000.0;
    const double throughput = limit.finished / seconds;
    const double latency = limit.latencySum / std::max(limit.finished, 1U);
    const bool isSlow
            = limit.baselineLatency > 0.0 && latency > slowLatencyRatio * limit.baselineLatency;
    updateBaseline(limit, latency);

    if (limit.overloaded > overloadedShare * (limit.finished + limit.overloaded)) {
        limit.limitBeforeTrial = 0.0;
        setLimit(limit, limit.limit * decreaseOnOverload);
    } else if (limit.limitBeforeTrial > 0.0) {
        endTrial(limit, throughput, now);
    } else if (isSlow && limit.wasBinding && now >= limit.nextTrial) {
        limit.limitBeforeTrial = limit.limit;
        limit.throughputBeforeTrial = throughput;
        setLimit(limit, limit.limit * decreaseOnTrial);
    } else if (!isSlow) {
        setLimit(limit, limit.limit + increasePerWindow * limit.ceiling);
    }
}

} // namespace

void setCeiling(ConcurrencyLimit &limit, std::uint32_t ceiling)
{
    ceiling = std::max(ceiling, 1U);
    const bool stoodAtCeiling = limit.limit >= limit.ceiling;
    limit.ceiling = ceiling;
    setLimit(limit, stoodAtCeiling ? ceiling : limit.limit);
}

void addSample(ConcurrencyLimit &limit, const LimitSample &sample, TimePoint now)
{
    if (limit.windowStart == TimePoint{})
        startWindow(limit, now);
    if (sample.wasOverloaded) {
        ++limit.overloaded;
    } else if (sample.isShort) {
        ++limit.finished;
        limit.latencySum += millisecondsOf(sample.latency);
    }
    const bool isLongEnough = now - limit.windowStart >= windowLength;
    if (!isLongEnough || limit.finished + limit.overloaded < samplesPerWindow)
        return;
    judgeWindow(limit, now);
    startWindow(limit, now);
}

void noteBinding(ConcurrencyLimit &limit)
{
    limit.wasBinding = true;
}

std::uint32_t currentLimit(const ConcurrencyLimit &limit)
{
    return std::max(1U, static_cast<std::uint32_t>(limit.limit));
}

} // namespace chive
