#pragma once

#include <LibPolicy/Choice.h>

#include <array>

/// Refusal at the node where a call enters, of what every target of the service would refuse now.
/// It saves the way to a target and back. The share that still passes follows the share that
/// targets accept (adaptive throttling, "Site Reliability Engineering", chapter 21), so that the
/// targets stay full and recovery is seen at once.
namespace chive {

/// Recent calls of one importance, decaying.
struct ShedCounter
{
    double offered = 0.0;
    double accepted = 0.0;
    TimePoint updated;
};

/// What an entry node keeps for one service.
struct EntryShedState
{
    std::array<ShedCounter, importanceLevels> counters;
};

/// Whether to refuse the call here. Counts the call as offered.
[[nodiscard]] bool shouldShedAtEntry(EntryShedState &shed, ChoiceState &targets,
                                     std::span<const Candidate> candidates, Importance importance,
                                     TimePoint now);

/// Call when a call that was not shed here ended without being refused for overload.
void noteAccepted(EntryShedState &shed, Importance importance, TimePoint now);

} // namespace chive
