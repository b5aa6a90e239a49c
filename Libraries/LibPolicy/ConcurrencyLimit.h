#pragma once

#include <LibCore/Clock.h>

#include <cstdint>

namespace chive {

/// How many requests may run at once on one target. The target's slots are the ceiling. Errors of
/// overload lower the limit multiplicatively; latency lowers it on trial only, and the trial is
/// kept only while throughput does not fall, because a target that is slow for a reason of its own
/// does not get faster with fewer requests.
struct ConcurrencyLimit
{
    std::uint32_t ceiling = 1;
    double limit = 1.0;

    double baselineLatency = 0.0; ///< Milliseconds of a short request; 0 before the first.

    // The window that is being measured.
    TimePoint windowStart;
    std::uint32_t finished = 0;
    std::uint32_t overloaded = 0;
    double latencySum = 0.0; ///< Milliseconds.
    bool wasBinding = false; ///< Whether work waited for the limit in this window.

    // The trial of a lower limit.
    double limitBeforeTrial = 0.0;      ///< 0 while no trial runs.
    double throughputBeforeTrial = 0.0; ///< Requests a second.
    TimePoint nextTrial;
};

/// Sets the ceiling; a limit that stood at the old ceiling moves with it.
void setCeiling(ConcurrencyLimit &limit, std::uint32_t ceiling);

/// Notes the end of one request. Latency counts only for short requests.
struct LimitSample
{
    Microseconds latency{0};
    bool isShort = true;
    bool wasOverloaded = false; ///< The target said that it is overloaded.
};
void addSample(ConcurrencyLimit &limit, const LimitSample &sample, TimePoint now);

/// Notes that work waits because the limit is reached.
void noteBinding(ConcurrencyLimit &limit);

/// The limit as a whole number, at least 1.
[[nodiscard]] std::uint32_t currentLimit(const ConcurrencyLimit &limit);

} // namespace chive
