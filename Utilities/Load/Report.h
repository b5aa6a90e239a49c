#pragma once

#include <Load/FakeTarget.h>
#include <Load/Replay.h>
#include <Load/Trace.h>

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace chive::load {

/// What one deployment did with a trace.
struct DeploymentRun
{
    std::string deployment;
    std::vector<CallResult> results; ///< One for each call of the trace.
    RunTotals totals;
};

/// The figures of the calls of one kind whose intended time lies in one phase.
struct Figures
{
    std::size_t offered = 0;
    std::size_t whole = 0;
    double goodput = 0.0;     ///< Whole calls a second.
    double wholeShare = 0.0;  ///< Of the offered calls.
    double median = 0.0;      ///< Milliseconds, of whole calls.
    double p99 = 0.0;         ///< Milliseconds, of whole calls.
    double runsPerCall = 0.0; ///< Runs on targets, divided by the length of the call's chain.
    double wastedShare = 0.0; ///< Of the slots' time: runs whose call was not whole, or repeated.
    double recovery = 0.0; ///< Seconds from the phase's begin to the end of its last poor second.
};

/// The figures of a phase; an empty kind means all. `reference` is the share of whole calls that
/// counts as full service in `recovery`.
[[nodiscard]] Figures figuresOf(const Trace &trace, const DeploymentRun &run,
                                const TracePhase &phase, const std::string &kind, double reference);

/// One stated outcome and what was measured.
struct Judgement
{
    TraceExpectation expectation;
    double measured = 0.0;
    bool isMet = false;
};

[[nodiscard]] std::vector<Judgement> judge(const Trace &trace,
                                           const std::vector<DeploymentRun> &runs);

/// A table for people, and the same as JSON.
[[nodiscard]] std::string tableOf(const Trace &trace, const std::vector<DeploymentRun> &runs);
[[nodiscard]] nlohmann::json toJson(const Trace &trace, const std::vector<DeploymentRun> &runs);

} // namespace chive::load
