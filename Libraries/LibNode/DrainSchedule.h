#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Verdict.h>
#include <LibNode/Call.h>
#include <LibSettings/Settings.h>

#include <cstdint>
#include <optional>

/// What a node does when during a planned stop.
namespace chive {

/// The points in time of one planned stop.
struct DrainSchedule
{
    TimePoint admitsUntil; ///< Requests that begin to arrive later are refused.
    TimePoint endsFrom;    ///< The process ends from then on, once nothing is in flight.
    TimePoint answersBy;   ///< What is still in flight gets its verdict.
    TimePoint endsAt;      ///< The process ends in any case.
};

[[nodiscard]] DrainSchedule drainScheduleOf(const Settings &settings, TimePoint stopRequestedAt);

/// When a request began to arrive.
enum class Arrival : std::uint8_t {
    InTime,
    Late, ///< After DrainSchedule::admitsUntil.
};

/// Whether a call belongs to work that is already in flight at this node.
enum class CallOrigin : std::uint8_t {
    Caller,
    RunningCall, ///< The local target makes it for a call that it is running.
};

/// The verdict on a call that is not admitted during a planned stop, or nothing. Past
/// DrainSchedule::admitsUntil, calls need time to meet their objective, and late ones are admitted
/// only for a call in flight that needs them.
[[nodiscard]] std::optional<Verdict> reasonToRefuse(const DrainSchedule &schedule, Arrival arrival,
                                                    CallOrigin origin, const Call &call,
                                                    TimePoint now);

/// Lowers the deadline of a call to the time by which this node must have answered it.
void limitDeadline(const DrainSchedule &schedule, Call &call);

} // namespace chive
