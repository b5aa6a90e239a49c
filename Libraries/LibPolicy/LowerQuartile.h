#pragma once

namespace chive {

/// A running estimate of the lower quartile (25th percentile), in the unit of the samples; 0 before
/// the first sample.
struct LowerQuartile
{
    double value = 0.0;
};

/// Moves the estimate up by a quarter of a step for a larger sample and down by three quarters of a
/// step for any other, which balances where a quarter of the samples are below.
inline void addSample(LowerQuartile &quartile, double sample)
{
    constexpr double stepPart = 0.1; // Step size as a share of the estimate.
    if (quartile.value == 0.0) {
        quartile.value = sample;
        return;
    }
    const double step = stepPart * quartile.value;
    quartile.value += sample > quartile.value ? 0.25 * step : -0.75 * step;
}

} // namespace chive
