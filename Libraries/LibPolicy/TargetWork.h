#pragma once

#include <LibNode/Call.h>
#include <LibPolicy/WorkEstimate.h>

#include <cstdint>
#include <span>
#include <string_view>

/// The work that a target still has to do, from what runs and waits there.
namespace chive {

/// A call that the target is running.
struct RunningCall
{
    std::string_view kind;
    double ownMilliseconds = 0.0;    ///< Since its start, without the wait for nested calls.
    double waitedMilliseconds = 0.0; ///< For nested calls.
};

/// The work left at a target, in milliseconds of a slot at the target's present pace.
struct WorkLeft
{
    double running = 0.0;
    double queued = 0.0;
    double untilStart = 0.0; ///< Milliseconds until a new call would start; 0 with a free slot.
};

[[nodiscard]] WorkLeft workLeft(const WorkEstimate &estimate, std::span<const RunningCall> running,
                                std::span<const std::string_view> queuedKinds, std::uint32_t limit,
                                TimePoint now);

/// What the node reports with the answer to a call of this kind.
[[nodiscard]] WorkReport reportWork(const WorkEstimate &estimate,
                                    std::span<const RunningCall> running,
                                    std::span<const std::string_view> queuedKinds,
                                    std::uint32_t limit, std::string_view kind, TimePoint now);

} // namespace chive
