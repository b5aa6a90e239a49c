#include "LoadSimulation.h"
#include "SimulationState.h"

#include <numeric>

namespace chive {

namespace {

double uniform(std::minstd_rand &random, double from, double until)
{
    return std::uniform_real_distribution<double>(from, until)(random);
}

} // namespace

double requestsPerSecond(const SimulationSettings &settings)
{
    const double speeds = std::accumulate(settings.speeds.begin(), settings.speeds.end(), 0.0);
    double work = 0.0;
    for (const SimulatedKind &kind : settings.kinds)
        work += kind.share * kind.meanWork / 1000.0;
    const double capacity = speeds * static_cast<double>(settings.slots) / work;
    return settings.load * capacity * (settings.hasNoise ? noiseCapacity : 1.0);
}

std::size_t drawKind(const std::vector<SimulatedKind> &kinds, std::minstd_rand &random)
{
    double left = uniform(random, 0.0, 1.0);
    for (std::size_t i = 0; i + 1 < kinds.size(); ++i) {
        left -= kinds[i].share;
        if (left < 0.0)
            return i;
    }
    return kinds.size() - 1;
}

double drawWork(const SimulatedKind &kind, std::minstd_rand &random)
{
    if (uniform(random, 0.0, 1.0) < kind.heavyShare)
        return kind.heavyFactor * kind.meanWork;
    const double usual = (1.0 - kind.heavyShare * kind.heavyFactor) / (1.0 - kind.heavyShare);
    return usual * kind.meanWork * uniform(random, 0.6, 1.4);
}

std::vector<SimulatedKind> coldChainKinds()
{
    return {{"temp-read", 0.5, 76.0, 0.03, 7.0},
            {"spoil-claim", 0.15, 100.0, 0.03, 7.0},
            {"hold-release", 0.15, 54.0, 0.03, 7.0},
            {"trace-view", 0.2, 310.0, 0.03, 7.0}};
}

std::vector<SimulatedKind> searchKinds()
{
    return {{"search-query", 0.6, 270.0, 0.01, 4.0},
            {"pin-snapshot", 0.1, 350.0, 0.01, 4.0},
            {"file-view", 0.2, 680.0, 0.01, 4.0},
            {"repo-browse", 0.1, 1'100.0, 0.01, 4.0}};
}

std::vector<double> spreadSpeeds(std::size_t targets)
{
    std::vector<double> speeds;
    for (std::size_t i = 0; i < targets; ++i) {
        // Neighbours differ much, so that each data centre has slow and fast targets. The step has
        // no divisor in common with the numbers of targets in use.
        const std::size_t position = i * 5 % targets;
        speeds.push_back(0.5
                         + 1.2 * static_cast<double>(position) / static_cast<double>(targets - 1));
    }
    return speeds;
}

} // namespace chive
