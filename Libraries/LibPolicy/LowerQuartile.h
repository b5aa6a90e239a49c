#pragma once

namespace chive {

/// About the time within which a quarter of the samples lie, in the unit of the samples. 0 before
/// the first.
struct LowerQuartile
{
    double value = 0.0;
};

/// Moves up by a quarter of a step for what took longer and down by three quarters for the rest,
/// which balances where a quarter is below.
inline void addSample(LowerQuartile &quarter, double sample)
{
    constexpr double stepPart = 0.1; // of the estimate
    if (quarter.value == 0.0) {
        quarter.value = sample;
        return;
    }
    const double step = stepPart * quarter.value;
    quarter.value += sample > quarter.value ? 0.25 * step : -0.75 * step;
}

} // namespace chive
