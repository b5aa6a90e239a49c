#pragma once

#include <LibCore/Clock.h>

#include <cstdint>

namespace chive {

/// How many requests may run at once on one target. The target's slots are the ceiling; what the
/// target refuses for overload lowers the limit multiplicatively. Latency does not: it follows the
/// mix of kinds and what their nested calls wait for, and fewer requests make neither faster.
struct ConcurrencyLimit
{
    std::uint32_t ceiling = 1;
    double limit = 1.0;

    // The window that is being measured.
    TimePoint windowStart;
    std::uint32_t finished = 0;
    std::uint32_t overloaded = 0;
};

/// Sets the ceiling; a limit that stood at the old ceiling moves with it.
void setCeiling(ConcurrencyLimit &limit, std::uint32_t ceiling);

/// How one request ended on the target.
enum class LimitSample : std::uint8_t {
    Finished,
    Overloaded, ///< The target said that it is overloaded.
};
void addSample(ConcurrencyLimit &limit, LimitSample sample, TimePoint now);

/// The limit as a whole number, at least 1.
[[nodiscard]] std::uint32_t currentLimit(const ConcurrencyLimit &limit);

} // namespace chive
