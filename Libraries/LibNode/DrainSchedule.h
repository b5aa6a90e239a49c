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
    TimePoint admitsUntil; ///< Later calls are admitted only if they end in time.
    TimePoint endsFrom;    ///< The process ends from then on, once nothing is in flight.
    TimePoint deadline;    ///< Latest deadline of the calls that are admitted during the stop.
    TimePoint answersBy;   ///< What is still in flight gets its verdict.
    TimePoint endsAt;      ///< The process ends in any case.
};

/// `now` is later than the request if the process did not run meanwhile. What is in flight gets its
/// verdict even if the drain timeout is over by then.
[[nodiscard]] DrainSchedule drainScheduleOf(const Settings &settings, TimePoint stopRequestedAt,
                                            TimePoint now);

/// Who makes a call.
enum class CallOrigin : std::uint8_t {
    Caller,
    RunningCall, ///< The local target makes it for a call that it is running.
};

/// The verdict on a call that is not admitted during a planned stop, or nothing. Past
/// DrainSchedule::admitsUntil, a call of a caller needs its whole time before the stop ends, or
/// ample time, and a call on which work in flight depends needs the time of its objective.
[[nodiscard]] std::optional<Verdict>
reasonToRefuse(const DrainSchedule &schedule, CallOrigin origin, const Call &call, TimePoint now);

/// Lowers the deadline of a call to that of the schedule.
void limitDeadline(const DrainSchedule &schedule, Call &call);

} // namespace chive
