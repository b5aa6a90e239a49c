#pragma once

#include <LibPolicy/Choice.h>

#include <array>

/// Load shedding at the entry node: refuses calls that every target of the service would refuse
/// now, which saves the round trip to a target. The share of calls that still passes follows the
/// share that targets accept (adaptive throttling, "Site Reliability Engineering", chapter 21), so
/// that targets stay fully used and recovery is detected at once.
namespace chive {

/// Exponentially decaying counts of recent calls of one importance.
struct ShedCounter
{
    double offered = 0.0;
    double accepted = 0.0;
    TimePoint updated;
};

/// The load shedding state of an entry node for one service.
struct EntryShedState
{
    std::array<ShedCounter, importanceLevels> counters;
};

/// Whether to refuse the call at this node. Counts the call as offered.
[[nodiscard]] bool shouldShedAtEntry(EntryShedState &shed, ChoiceState &targets,
                                     std::span<const Candidate> candidates, Importance importance,
                                     TimePoint now);

/// Must be called when a call that was not shed ended without a refusal for overload.
void noteAccepted(EntryShedState &shed, Importance importance, TimePoint now);

} // namespace chive
