#include <LibNode/DrainSchedule.h>

#include <doctest/doctest.h>

using namespace chive;

namespace {

constexpr TimePoint stopRequestedAt{std::chrono::hours(1)};

Settings settingsWith(Milliseconds drainTimeout, bool hasReady)
{
    Settings settings;
    settings.drainTimeout = drainTimeout;
    if (hasReady)
        settings.ready = Endpoint{"127.0.0.1", 1};
    return settings;
}

Call callWith(Milliseconds objective)
{
    Call call;
    call.objective = objective;
    call.deadline = stopRequestedAt + std::chrono::hours(1);
    return call;
}

} // namespace

TEST_CASE("A planned stop leaves time for the requests that it admits")
{
    const DrainSchedule schedule
            = drainScheduleOf(settingsWith(Milliseconds(5600), true), stopRequestedAt);
    const Call call = callWith(Milliseconds(300));

    SUBCASE("with readiness checks it admits until callers have heard of it")
    {
        CHECK(schedule.admitsUntil > stopRequestedAt);
        CHECK(schedule.endsFrom > schedule.admitsUntil);
        CHECK(schedule.answersBy > schedule.endsFrom);
        CHECK(schedule.endsAt == stopRequestedAt + Milliseconds(5600));
    }

    SUBCASE("without them it admits as long as there is time")
    {
        const DrainSchedule plain
                = drainScheduleOf(settingsWith(Milliseconds(30'000), false), stopRequestedAt);
        CHECK(plain.admitsUntil > stopRequestedAt + Milliseconds(20'000));
        CHECK(plain.admitsUntil < plain.answersBy - Milliseconds(2'000));
        CHECK(plain.endsFrom < plain.admitsUntil);
        CHECK(plain.answersBy < plain.endsAt);
    }

    SUBCASE("also when there is no time at all")
    {
        const DrainSchedule none
                = drainScheduleOf(settingsWith(Milliseconds(0), false), stopRequestedAt);
        CHECK(none.admitsUntil == stopRequestedAt);
        CHECK(none.endsFrom == stopRequestedAt);
        CHECK(none.answersBy == stopRequestedAt);
        CHECK(none.endsAt == stopRequestedAt);
    }

    SUBCASE("callers that have not heard of the stop are served")
    {
        const TimePoint now = schedule.admitsUntil - Milliseconds(1);
        CHECK_FALSE(reasonToRefuse(schedule, Arrival::InTime, CallOrigin::Caller, call, now));
    }

    SUBCASE("a late request is refused as not run")
    {
        const auto refusal = reasonToRefuse(schedule, Arrival::Late, CallOrigin::Caller, call,
                                            schedule.admitsUntil);
        REQUIRE(refusal);
        CHECK(refusal->execution == Execution::NotRun);
        CHECK(refusal->reason == Reason::Leaving);
    }

    SUBCASE("a request that began to arrive in time is served while there is time for it")
    {
        CHECK_FALSE(reasonToRefuse(schedule, Arrival::InTime, CallOrigin::Caller, call,
                                   schedule.endsFrom));
        CHECK(reasonToRefuse(schedule, Arrival::InTime, CallOrigin::Caller, call,
                             schedule.answersBy - Milliseconds(300)));
    }

    SUBCASE("a running call may make its calls while there is time for them")
    {
        CHECK_FALSE(reasonToRefuse(schedule, Arrival::Late, CallOrigin::RunningCall, call,
                                   schedule.endsFrom));
        CHECK(reasonToRefuse(schedule, Arrival::Late, CallOrigin::RunningCall, call,
                             schedule.answersBy - Milliseconds(300)));
    }

    SUBCASE("no admitted call may run past the last answers")
    {
        Call admitted = callWith(Milliseconds(300));
        limitDeadline(schedule, admitted);
        CHECK(admitted.deadline == schedule.answersBy);
        admitted.deadline = stopRequestedAt + Milliseconds(1);
        limitDeadline(schedule, admitted);
        CHECK(admitted.deadline == stopRequestedAt + Milliseconds(1));
    }
}
