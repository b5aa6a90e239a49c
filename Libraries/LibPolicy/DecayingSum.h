#pragma once

#include <LibCore/Clock.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace chive {

/// A sum that decays exponentially with a time constant.
struct DecayingSum
{
    double value = 0.0;
    TimePoint updated;
};

[[nodiscard]] inline double decayedValue(const DecayingSum &sum,
                                         std::chrono::duration<double> timeConstant, TimePoint now)
{
    const std::chrono::duration<double> passed = now - sum.updated;
    return sum.value * std::exp(-std::max(0.0, passed / timeConstant));
}

inline void add(DecayingSum &sum, double amount, std::chrono::duration<double> timeConstant,
                TimePoint now)
{
    sum.value = decayedValue(sum, timeConstant, now) + amount;
    sum.updated = now;
}

} // namespace chive
