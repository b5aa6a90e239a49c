#include <LibPolicy/ConcurrencyLimit.h>

#include <algorithm>

namespace chive {

namespace {

constexpr Milliseconds windowLength{100};
constexpr std::uint32_t samplesPerWindow = 10;
constexpr double decreaseOnOverload = 0.9;
constexpr double increasePerWindow = 0.05; ///< Of the ceiling.
constexpr double smallestShare = 0.2;      ///< Of the ceiling.
/// Share of a window's requests above which the target counts as overloaded.
constexpr double overloadedShare = 0.02;

void startWindow(ConcurrencyLimit &limit, TimePoint now)
{
    limit.windowStart = now;
    limit.finished = 0;
    limit.overloaded = 0;
}

void setLimit(ConcurrencyLimit &limit, double value)
{
    const double floor = std::max(1.0, smallestShare * limit.ceiling);
    limit.limit = std::clamp(value, floor, static_cast<double>(limit.ceiling));
}

void evaluateWindow(ConcurrencyLimit &limit)
{
    const bool isOverloaded
            = limit.overloaded > overloadedShare * (limit.finished + limit.overloaded);
    setLimit(limit, isOverloaded ? limit.limit * decreaseOnOverload
                                 : limit.limit + increasePerWindow * limit.ceiling);
}

} // namespace

void setCeiling(ConcurrencyLimit &limit, std::uint32_t ceiling)
{
    ceiling = std::max(ceiling, 1U);
    const bool stoodAtCeiling = limit.limit >= limit.ceiling;
    limit.ceiling = ceiling;
    setLimit(limit, stoodAtCeiling ? ceiling : limit.limit);
}

void addSample(ConcurrencyLimit &limit, LimitSample sample, TimePoint now)
{
    if (limit.windowStart == TimePoint{})
        startWindow(limit, now);
    if (sample == LimitSample::Overloaded)
        ++limit.overloaded;
    else
        ++limit.finished;
    const bool isLongEnough = now - limit.windowStart >= windowLength;
    if (!isLongEnough || limit.finished + limit.overloaded < samplesPerWindow)
        return;
    evaluateWindow(limit);
    startWindow(limit, now);
}

std::uint32_t currentLimit(const ConcurrencyLimit &limit)
{
    return std::max(1U, static_cast<std::uint32_t>(limit.limit));
}

} // namespace chive
