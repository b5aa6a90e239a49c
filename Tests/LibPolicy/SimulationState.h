#pragma once

#include "LoadSimulation.h"

#include <LibPolicy/TargetWork.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <random>
#include <string>
#include <vector>

namespace chive {

constexpr double infinity = std::numeric_limits<double>::infinity();
constexpr double swingPeriod = 17.0;
constexpr double noisePause = 3.4;
constexpr double noiseLength = 0.6;
constexpr double noiseFactor = 2.5;
constexpr double noiseCapacity = 0.85 + 0.15 / noiseFactor;
constexpr double coldTime = 3.0;
/// Largest load of a target by the mean, to which perfect knowledge is bound as well.
constexpr double evenness = 1.15;

struct SimulatedCall
{
    std::size_t chooser = 0;
    std::size_t target = 0;
    std::size_t kind = 0;
    double work = 0.0;
    double sentAt = 0.0;
    double startedAt = 0.0;
    double endsAt = 0.0;
    TargetLoad load;
};

struct SimulatedTarget
{
    std::string id;
    double speed = 1.0;
    std::size_t dataCentre = 0;
    std::vector<std::size_t> running; ///< Indices of calls.
    std::deque<std::size_t> queue;
    std::size_t coming = 0; ///< Sent and not arrived.
    double slowFrom = 0.0;  ///< Of the noise.
    WorkEstimate estimate;
    double workDone = 0.0;
    double occupied = 0.0; ///< Integral of running and queued calls over the present window.
    double occupiedAt = 0.0;
};

struct Event
{
    enum class Type : std::uint8_t { Request, Arrival, End, Answer, Window };
    double at = 0.0; ///< Seconds.
    Type type = Type::Request;
    std::size_t index = 0; ///< Data centre of a request, otherwise the call.

    bool operator>(const Event &other) const { return at > other.at; }
};

/// All requests at the configured load; the capacity takes the noise into account.
[[nodiscard]] double requestsPerSecond(const SimulationSettings &settings);

[[nodiscard]] std::size_t drawKind(const std::vector<SimulatedKind> &kinds,
                                   std::minstd_rand &random);
[[nodiscard]] double drawWork(const SimulatedKind &kind, std::minstd_rand &random);

} // namespace chive
