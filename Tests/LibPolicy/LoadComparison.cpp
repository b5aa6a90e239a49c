#include "LoadComparison.h"

#include <doctest/doctest.h>

namespace chive {

std::string describe(const SimulationResult &result)
{
    return "mean " + std::to_string(result.mean) + " p99 " + std::to_string(result.p99)
           + " busiest " + std::to_string(result.busiest) + " other "
           + std::to_string(result.otherShare) + " peak " + std::to_string(result.peakAfterFault)
           + " share in fault " + std::to_string(result.shareInFault);
}

SimulationSettings settingsFor(Work work, std::size_t targets, double load)
{
    SimulationSettings settings;
    settings.kinds = work == Work::Search ? searchKinds() : coldChainKinds();
    settings.hasNoise = work == Work::ColdChain;
    settings.speeds = spreadSpeeds(targets);
    settings.load = load;
    return settings;
}

Comparison compare(SimulationSettings settings)
{
    Comparison comparison;
    settings.policy = "perfect";
    comparison.perfect = simulate(settings);
    settings.policy = "perfect-uneven";
    MESSAGE("uneven:      ", describe(simulate(settings)));
    settings.policy = "two-choices";
    comparison.twoChoices = simulate(settings);
    settings.policy = "least-work";
    comparison.leastWork = simulate(settings);
    MESSAGE("perfect:     ", describe(comparison.perfect));
    MESSAGE("two-choices: ", describe(comparison.twoChoices));
    MESSAGE("least-work:  ", describe(comparison.leastWork));
    return comparison;
}

} // namespace chive
