#include <LibNode/DrainSchedule.h>

#include <algorithm>

namespace chive {

namespace {

/// Time within which peers learn that the node is leaving.
constexpr Milliseconds peerNoticePeriod{2'000};
/// Callers poll readiness once a second and treat a node as not ready after two consecutive polls.
constexpr Milliseconds callerNoticePeriod{3'000};
/// For the refusal of requests that cross the end of the notice period.
constexpr Milliseconds refusalPeriod{200};
/// Without readiness checks callers cannot learn of the stop in advance, so requests are admitted
/// as long as they have this much time.
constexpr Milliseconds minimumTimeLeft{2'500};
/// For the last verdicts to reach callers and peers before the process ends.
constexpr Milliseconds verdictPeriod{300};

} // namespace

DrainSchedule drainScheduleOf(const Settings &settings, TimePoint stopRequestedAt)
{
    DrainSchedule schedule;
    schedule.endsAt = stopRequestedAt + settings.drainTimeout;
    schedule.answersBy = std::max(schedule.endsAt - verdictPeriod, stopRequestedAt);
    if (settings.ready) {
        schedule.admitsUntil = std::min(stopRequestedAt + callerNoticePeriod, schedule.answersBy);
        schedule.endsFrom = std::min(schedule.admitsUntil + refusalPeriod, schedule.answersBy);
    } else {
        schedule.admitsUntil = std::max(schedule.answersBy - minimumTimeLeft, stopRequestedAt);
        schedule.endsFrom = std::min(stopRequestedAt + peerNoticePeriod, schedule.answersBy);
    }
    return schedule;
}

std::optional<Verdict> reasonToRefuse(const DrainSchedule &schedule, Arrival arrival,
                                      CallOrigin origin, const Call &call, TimePoint now)
{
    if (now < schedule.admitsUntil)
        return std::nullopt;
    const bool isNeeded = arrival == Arrival::InTime || origin == CallOrigin::RunningCall;
    if (isNeeded && now + call.objective < schedule.answersBy)
        return std::nullopt;
    return notRun(Reason::Leaving, "this node is stopping");
}

void limitDeadline(const DrainSchedule &schedule, Call &call)
{
    call.deadline = std::min(call.deadline, schedule.answersBy);
}

} // namespace chive
