#include <LibPolicy/EntryShed.h>

#include <algorithm>
#include <cmath>

namespace chive {

namespace {

constexpr double halfLife = 0.5;        ///< Seconds, of the counters.
constexpr double passedPerAccept = 2.0; ///< Calls passed on for each accepted one.
/// Decayed count of calls below which nothing is shed; also bounds the probing rate.
constexpr double smallestTraffic = 10.0;

void decay(ShedCounter &counter, TimePoint now)
{
    const std::chrono::duration<double> passed = now - counter.updated;
    const double factor
            = counter.updated == TimePoint{} ? 0.0 : std::exp2(-passed.count() / halfLife);
    counter.offered *= factor;
    counter.accepted *= factor;
    counter.updated = now;
}

bool wouldRefuse(const ChoiceState &targets, const Candidate &candidate, Importance importance,
                 TimePoint now)
{
    const auto entry = targets.targets.find(candidate.nodeId);
    return entry != targets.targets.end() && !wouldAdmit(entry->second, importance, now);
}

ShedCounter &counterOf(EntryShedState &shed, Importance importance)
{
    return shed.counters[static_cast<std::size_t>(importance)];
}

} // namespace

bool shouldShedAtEntry(EntryShedState &shed, ChoiceState &targets,
                       std::span<const Candidate> candidates, Importance importance, TimePoint now)
{
    ShedCounter &counter = counterOf(shed, importance);
    decay(counter, now);
    counter.offered += 1.0;
    const bool allRefuse = !candidates.empty()
                           && std::ranges::all_of(candidates, [&](const Candidate &candidate) {
                                  return wouldRefuse(targets, candidate, importance, now);
                              });
    if (!allRefuse)
        return false;
    const double excess = counter.offered - passedPerAccept * counter.accepted - smallestTraffic;
    if (excess <= 0.0)
        return false;
    const double random = static_cast<double>(targets.random() - std::minstd_rand::min())
                          / static_cast<double>(std::minstd_rand::max());
    return random < excess / (counter.offered + 1.0);
}

void noteAccepted(EntryShedState &shed, Importance importance, TimePoint now)
{
    ShedCounter &counter = counterOf(shed, importance);
    decay(counter, now);
    counter.accepted += 1.0;
}

} // namespace chive
