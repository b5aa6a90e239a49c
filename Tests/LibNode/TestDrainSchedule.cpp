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

/// A call that begins `after` the stop was requested and may take `time`.
Call callWith(Milliseconds objective, Milliseconds after, Milliseconds time)
{
    Call call;
    call.objective = objective;
    call.deadline = stopRequestedAt + after + time;
    return call;
}

} // namespace

TEST_CASE("A planned stop admits no request that it would cut")
{
    const DrainSchedule schedule = drainScheduleOf(settingsWith(Milliseconds(5600), true),
                                                   stopRequestedAt, stopRequestedAt);
    const auto isAdmitted = [](const DrainSchedule &stop, CallOrigin origin, const Call &call,
                               Milliseconds after) {
        const auto refusal = reasonToRefuse(stop, origin, call, stopRequestedAt + after);
        if (refusal) {
            CHECK(refusal->execution == Execution::NotRun);
            CHECK(refusal->reason == Reason::Leaving);
        }
        return !refusal;
    };

    SUBCASE("its points in time are in order")
    {
        CHECK(schedule.admitsUntil > stopRequestedAt + Milliseconds(2'000));
        CHECK(schedule.endsFrom > schedule.admitsUntil);
        CHECK(schedule.deadline > schedule.endsFrom);
        CHECK(schedule.answersBy > schedule.deadline);
        CHECK(schedule.endsAt == stopRequestedAt + Milliseconds(5600));
    }

    SUBCASE("also when there is no time at all")
    {
        const DrainSchedule none = drainScheduleOf(settingsWith(Milliseconds(0), false),
                                                   stopRequestedAt, stopRequestedAt);
        CHECK(none.admitsUntil == stopRequestedAt);
        CHECK(none.endsFrom == stopRequestedAt);
        CHECK(none.answersBy == stopRequestedAt);
        CHECK(none.endsAt == stopRequestedAt);
    }

    SUBCASE("its time counts from the request, also when the process handles it late")
    {
        const DrainSchedule late
                = drainScheduleOf(settingsWith(Milliseconds(5600), true), stopRequestedAt,
                                  stopRequestedAt + Milliseconds(2'500));
        CHECK(late.endsAt == schedule.endsAt);
        CHECK(late.answersBy == schedule.answersBy);
        CHECK(late.deadline == schedule.deadline);
        CHECK(late.admitsUntil == schedule.admitsUntil);
    }

    SUBCASE("what is in flight gets a verdict, even if the time is over when it is handled")
    {
        const TimePoint now = stopRequestedAt + Milliseconds(7'000);
        const DrainSchedule late
                = drainScheduleOf(settingsWith(Milliseconds(5600), true), stopRequestedAt, now);
        CHECK(late.admitsUntil < now);
        CHECK(late.answersBy == now);
        CHECK(late.endsAt > now + Milliseconds(200));
        CHECK(late.endsAt < now + Milliseconds(400));
        const Call call = callWith(Milliseconds(300), Milliseconds(7'000), Milliseconds(6'000));
        CHECK_FALSE(isAdmitted(late, CallOrigin::Caller, call, Milliseconds(7'000)));
    }

    SUBCASE("callers that have not heard of the stop are served, within its time")
    {
        Call call = callWith(Milliseconds(1500), Milliseconds(2'500), Milliseconds(6'000));
        CHECK(isAdmitted(schedule, CallOrigin::Caller, call, Milliseconds(2'500)));
        limitDeadline(schedule, call);
        CHECK(call.deadline == schedule.deadline);
    }

    SUBCASE("a deadline that is earlier stays")
    {
        Call call = callWith(Milliseconds(1500), Milliseconds(0), Milliseconds(700));
        limitDeadline(schedule, call);
        CHECK(call.deadline == stopRequestedAt + Milliseconds(700));
    }

    SUBCASE("later ones are refused")
    {
        const Call call = callWith(Milliseconds(1500), Milliseconds(4'600), Milliseconds(6'000));
        CHECK_FALSE(isAdmitted(schedule, CallOrigin::Caller, call, Milliseconds(4'600)));
    }

    SUBCASE("unless all of their time is left")
    {
        const Call call = callWith(Milliseconds(400), Milliseconds(3'500), Milliseconds(1'500));
        CHECK(isAdmitted(schedule, CallOrigin::Caller, call, Milliseconds(3'500)));
    }

    SUBCASE("a running call may make its calls while there is time for them")
    {
        const Call call = callWith(Milliseconds(300), Milliseconds(0), Milliseconds(60'000));
        CHECK(isAdmitted(schedule, CallOrigin::RunningCall, call, Milliseconds(4'600)));
        CHECK_FALSE(isAdmitted(schedule, CallOrigin::RunningCall, call, Milliseconds(5'200)));
    }

    SUBCASE("a short drain keeps time for what it admits")
    {
        const DrainSchedule brief = drainScheduleOf(settingsWith(Milliseconds(2'600), true),
                                                    stopRequestedAt, stopRequestedAt);
        const Call call = callWith(Milliseconds(1'500), Milliseconds(2'200), Milliseconds(6'000));
        CHECK_FALSE(isAdmitted(brief, CallOrigin::Caller, call, Milliseconds(2'200)));
    }

    SUBCASE("a long drain without readiness checks goes on to serve what ends in time")
    {
        const DrainSchedule patient = drainScheduleOf(settingsWith(Milliseconds(12'000), false),
                                                      stopRequestedAt, stopRequestedAt);
        const Call brief = callWith(Milliseconds(0), Milliseconds(7'000), Milliseconds(4'000));
        CHECK(isAdmitted(patient, CallOrigin::Caller, brief, Milliseconds(7'000)));
        const Call longer = callWith(Milliseconds(0), Milliseconds(7'000), Milliseconds(5'000));
        CHECK_FALSE(isAdmitted(patient, CallOrigin::Caller, longer, Milliseconds(7'000)));
        const DrainSchedule ample = drainScheduleOf(settingsWith(Milliseconds(30'000), false),
                                                    stopRequestedAt, stopRequestedAt);
        const Call upload = callWith(Milliseconds(0), Milliseconds(4'000), Milliseconds(30'000));
        CHECK(isAdmitted(ample, CallOrigin::Caller, upload, Milliseconds(4'000)));
        CHECK_FALSE(isAdmitted(ample, CallOrigin::Caller, upload, Milliseconds(25'000)));
    }
}
