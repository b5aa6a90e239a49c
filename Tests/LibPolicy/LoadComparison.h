#pragma once

#include "LoadSimulation.h"

#include <cstddef>
#include <string>

namespace chive {

/// The same load with three load balancing policies.
struct Comparison
{
    SimulationResult perfect;
    SimulationResult twoChoices;
    SimulationResult leastWork;
};

/// Whose kinds of requests are simulated.
enum class Work {
    ColdChain,
    Search,
};

[[nodiscard]] std::string describe(const SimulationResult &result);
[[nodiscard]] SimulationSettings settingsFor(Work work, std::size_t targets, double load);
[[nodiscard]] Comparison compare(SimulationSettings settings);

} // namespace chive
