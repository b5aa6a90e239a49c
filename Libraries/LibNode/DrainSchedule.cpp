#include <LibNode/DrainSchedule.h>

#include <algorithm>

namespace chive {

namespace {

/// Time within which peers learn that the node is leaving.
constexpr Milliseconds peerNoticePeriod{2'000};
/// Callers poll readiness once a second and treat a node as not ready after two consecutive polls.
constexpr Milliseconds callerNoticePeriod{2'900};
/// For the answers to requests that cross the end of the notice period.
constexpr Milliseconds crossingPeriod{300};
/// Calls that are admitted during the notice period have at least this long.
constexpr Milliseconds minimumTime{2'200};
/// Calls with a later deadline than the stop permits are admitted if they have at least this long.
constexpr Milliseconds ampleTime{10'000};
/// For the answers of targets and other nodes that end a call at its deadline.
constexpr Milliseconds answerPeriod{50};
/// For the last verdicts to reach callers and peers before the process ends.
constexpr Milliseconds verdictPeriod{300};

} // namespace

DrainSchedule drainScheduleOf(const Settings &settings, TimePoint stopRequestedAt, TimePoint now)
{
    DrainSchedule schedule;
    schedule.endsAt = std::max(stopRequestedAt + settings.drainTimeout,
                               now + std::min(settings.drainTimeout, verdictPeriod));
    schedule.answersBy = std::max(schedule.endsAt - verdictPeriod, now);
    schedule.deadline = std::max(schedule.answersBy - answerPeriod, now);
    schedule.admitsUntil = std::min(stopRequestedAt + callerNoticePeriod,
                                    std::max(schedule.deadline - minimumTime, stopRequestedAt));
    const TimePoint noticeEnds = settings.ready
                                         ? stopRequestedAt + callerNoticePeriod + crossingPeriod
                                         : stopRequestedAt + peerNoticePeriod;
    schedule.endsFrom = std::min(noticeEnds, schedule.answersBy);
    return schedule;
}

std::optional<Verdict> reasonToRefuse(const DrainSchedule &schedule, CallOrigin origin,
                                      const Call &call, TimePoint now)
{
    const bool isNeeded = origin == CallOrigin::RunningCall && call.objective.count() > 0;
    const TimePoint end
            = isNeeded ? now + call.objective : std::min(call.deadline, now + ampleTime);
    if (now < schedule.admitsUntil || end <= schedule.deadline)
        return std::nullopt;
    return notRun(Reason::Leaving, "this node is stopping");
}

void limitDeadline(const DrainSchedule &schedule, Call &call)
{
    call.deadline = std::min(call.deadline, schedule.deadline);
}

} // namespace chive
