#pragma once

#include <LibCore/Clock.h>

#include <cstdint>

namespace chive {

/// Limits the concurrent requests of one target. The target's slots are the upper bound; refusals
/// for overload by the target lower the limit multiplicatively. Latency does not lower it: latency
/// depends on the mix of kinds and on what their nested calls wait for, and running fewer requests
/// improves neither.
struct ConcurrencyLimit
{
    std::uint32_t ceiling = 1;
    double limit = 1.0;

    // The current measurement window.
    TimePoint windowStart;
    std::uint32_t finished = 0;
    std::uint32_t overloaded = 0;
};

/// Sets the upper bound, at least 1. A limit equal to the old upper bound moves with it.
void setCeiling(ConcurrencyLimit &limit, std::uint32_t ceiling);

/// The outcome of one request on the target.
enum class LimitSample : std::uint8_t {
    Finished,
    Overloaded, ///< The target refused it for overload.
};
void addSample(ConcurrencyLimit &limit, LimitSample sample, TimePoint now);

/// The limit as a whole number, at least 1.
[[nodiscard]] std::uint32_t currentLimit(const ConcurrencyLimit &limit);

} // namespace chive
