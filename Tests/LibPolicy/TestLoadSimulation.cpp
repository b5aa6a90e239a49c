#include "LoadComparison.h"

#include <doctest/doctest.h>

using namespace chive;

TEST_CASE("Sixty choosers with old reports share the work of targets of different speeds")
{
    for (const std::size_t targets : {7, 28}) {
        for (const double load : {0.5, 0.85}) {
            for (const Work work : {Work::ColdChain, Work::Search}) {
                CAPTURE(targets);
                CAPTURE(load);
                const Comparison comparison = compare(settingsFor(work, targets, load));
                const SimulationResult &result = comparison.leastWork;
                CHECK(result.mean <= 1.25 * comparison.perfect.mean);
                CHECK(result.busiest <= 1.15);
                if (work == Work::Search)
                    CHECK(result.p99 <= 1.25 * comparison.perfect.p99);
                if (load > 0.8)
                    CHECK(result.p99 <= 0.7 * comparison.twoChoices.p99);
            }
        }
    }
}

TEST_CASE("A target that joins or recovers is not overwhelmed by choosers with the same reports")
{
    for (const auto type : {SimulatedFault::Type::Absent, SimulatedFault::Type::Slow}) {
        for (const std::size_t targets : {7, 28}) {
            SimulationSettings settings;
            settings.kinds = coldChainKinds();
            settings.hasNoise = false;
            settings.speeds = spreadSpeeds(targets);
            settings.fault = SimulatedFault{type, 2, 8.0, 14.0};
            const SimulationResult result = compare(settings).leastWork;
            CAPTURE(targets);
            CHECK(result.peakAfterFault <= 1.3);
        }
    }
}

TEST_CASE("A target whose reports are false or missing is judged by what the chooser sees")
{
    SimulationSettings settings;
    settings.kinds = coldChainKinds();
    settings.speeds = spreadSpeeds(28);
    settings.load = 0.6;
    settings.policy = "least-work";

    // At a fifth of its speed and a load of 0.6 a target can do 0.33 of an equal share. The probes
    // of 60 choosers, up to six each in the eleven seconds that are counted, take 0.3 of one.
    SUBCASE("false reports of an idle and fast target that is five times slower")
    {
        settings.fault = SimulatedFault{SimulatedFault::Type::FalseLoad, 2, 8.0, 20.0};
        const SimulationResult result = simulate(settings);
        MESSAGE(describe(result));
        CHECK(result.shareInFault < 0.33);
    }

    SUBCASE("missing reports of a good target")
    {
        settings.fault = SimulatedFault{SimulatedFault::Type::NoReports, 2, 8.0, 20.0};
        const SimulationResult result = simulate(settings);
        MESSAGE(describe(result));
        CHECK(result.shareInFault > 0.5);
        CHECK(result.shareInFault < 1.5);
    }
}

TEST_CASE("Work moves to data centres with room while the demand of each swings")
{
    SimulationSettings settings;
    settings.kinds = coldChainKinds();
    settings.speeds = spreadSpeeds(21);
    settings.dataCentres = 3;
    settings.swing = 0.55;
    settings.duration = 34.0;
    const Comparison comparison = compare(settings);
    CHECK(comparison.leastWork.p99 <= 0.7 * comparison.twoChoices.p99);
    CHECK(comparison.leastWork.mean <= 1.25 * comparison.perfect.mean);
    // The demand above the capacity of a data centre alone is 9 % of all; the rest can stay near.
    CHECK(comparison.leastWork.otherShare < 0.4);
}
