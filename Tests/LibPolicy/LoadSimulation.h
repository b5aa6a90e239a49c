#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// A queueing simulation of one service: choosers that see only the answers to their own calls, and
/// targets of different speeds with slots and a queue.
namespace chive {

struct SimulatedKind
{
    std::string name;
    double share = 1.0;     ///< Of the calls.
    double meanWork = 50.0; ///< Milliseconds at speed 1.
    double heavyShare = 0.0;
    double heavyFactor = 1.0; ///< Work of heavy calls by the mean.
};

/// A time in which one target differs.
struct SimulatedFault
{
    enum class Type : std::uint8_t {
        Absent,    ///< Then joins with a cold start: twice as slow for 3 s, unknown to choosers.
        Slow,      ///< Five times slower.
        FalseLoad, ///< Five times slower, and its reports claim that it is idle and fast.
        NoReports, ///< Answers carry no report of its work.
    };
    Type type = Type::Slow;
    std::size_t target = 0;
    double from = 0.0;  ///< Seconds.
    double until = 0.0; ///< Seconds.
};

struct SimulationSettings
{
    std::string_view policy; ///< A plug-in, or "perfect": exact knowledge of all remaining work.
                             ///< "perfect-uneven" is not bound by `evenness`.
    std::vector<SimulatedKind> kinds;
    std::vector<double> speeds; ///< One for each target.
    std::size_t slots = 20;
    std::size_t choosers = 60;
    std::size_t dataCentres = 1;
    double load = 0.85;
    double swing = 0.0;     ///< Amplitude of the demand of each data centre within 17 s.
    bool hasNoise = false;  ///< 15 % of the time 2.5 times slower for 0.6 s.
    double nearDelay = 0.3; ///< Milliseconds, one way.
    double otherDelay = 1.4;
    double warmUp = 8.0;    ///< Seconds.
    double duration = 16.0; ///< Seconds after the warm-up.
    std::optional<SimulatedFault> fault;
    std::uint32_t seed = 1;
};

struct SimulationResult
{
    std::size_t calls = 0;
    double mean = 0.0; ///< Milliseconds.
    double p99 = 0.0;
    double busiest = 0.0;    ///< Largest work by speed of a target, by the mean of all.
    double otherShare = 0.0; ///< Of calls sent to another data centre.
    /// Largest running and queued calls of a target over one second, by the mean of all, after
    /// the end of the fault.
    double peakAfterFault = 0.0;
    double shareInFault = 0.0; ///< Of the calls sent to the faulty target, by an equal share.
};

[[nodiscard]] SimulationResult simulate(const SimulationSettings &settings);

[[nodiscard]] std::vector<SimulatedKind> coldChainKinds();
[[nodiscard]] std::vector<SimulatedKind> searchKinds();

/// Speeds from 0.5 to 1.7, evenly spaced and with a mean of 1.1.
[[nodiscard]] std::vector<double> spreadSpeeds(std::size_t targets);

} // namespace chive
