#include <Load/Report.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <set>

namespace chive::load {

namespace {

constexpr double fullServiceShare = 0.95; ///< Of the share of whole calls before the trigger.

/// Services that one call to this service runs through.
std::size_t chainLength(const Trace &trace, const std::string &name)
{
    std::size_t length = 0;
    std::string current = name;
    while (!current.empty() && length <= trace.services.size()) {
        ++length;
        const auto service = std::ranges::find(trace.services, current, &TraceService::name);
        if (service == trace.services.end())
            break;
        current = service->calls.substr(0, service->calls.find('/'));
    }
    return length;
}

double quantile(std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0.0;
    const auto rank
            = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::min(sorted.size(), std::max<std::size_t>(rank, 1)) - 1];
}

/// Whole and offered calls of each second of a phase.
struct Second
{
    std::size_t offered = 0;
    std::size_t whole = 0;
};

double recoveryOf(const std::map<std::int64_t, Second> &seconds, double reference)
{
    double recovery = 0.0;
    for (const auto &[number, second] : seconds) {
        const double share
                = static_cast<double>(second.whole) / static_cast<double>(second.offered);
        if (share < fullServiceShare * reference)
            recovery = static_cast<double>(number + 1);
    }
    return recovery;
}

double ratio(double part, double whole)
{
    return whole == 0.0 ? 0.0 : part / whole;
}

const TracePhase *findPhase(const Trace &trace, const std::string &name)
{
    const auto phase = std::ranges::find(trace.phases, name, &TracePhase::name);
    return phase == trace.phases.end() ? nullptr : &*phase;
}

double measureOf(const Figures &figures, const std::string &measure)
{
    if (measure == "goodput")
        return figures.goodput;
    if (measure == "whole_share")
        return figures.wholeShare;
    if (measure == "p99")
        return figures.p99;
    if (measure == "runs_per_call")
        return figures.runsPerCall;
    if (measure == "wasted_share")
        return figures.wastedShare;
    if (measure == "recovery_s")
        return figures.recovery;
    return std::nan("");
}

double measured(const Trace &trace, const DeploymentRun &run, const TraceExpectation &expectation)
{
    const TracePhase *phase = findPhase(trace, expectation.phase);
    if (phase == nullptr)
        return std::nan("");
    const TracePhase *before = findPhase(trace, expectation.ofPhase);
    if (before == nullptr) {
        return measureOf(figuresOf(trace, run, *phase, expectation.kind, 1.0), expectation.measure);
    }
    const Figures reference = figuresOf(trace, run, *before, expectation.kind, 1.0);
    const Figures figures = figuresOf(trace, run, *phase, expectation.kind, reference.wholeShare);
    if (expectation.measure == "recovery_s")
        return figures.recovery;
    return ratio(measureOf(figures, expectation.measure),
                 measureOf(reference, expectation.measure));
}

std::vector<std::string> kindsIn(const Trace &trace, const TracePhase &phase)
{
    std::set<std::string> kinds;
    for (const TraceCall &call : trace.calls) {
        if (call.at >= phase.from && call.at < phase.until)
            kinds.insert(call.kind);
    }
    return {kinds.begin(), kinds.end()};
}

std::map<std::string, std::size_t> refusalsIn(const Trace &trace, const DeploymentRun &run,
                                              const TracePhase &phase)
{
    std::map<std::string, std::size_t> refusals;
    for (std::size_t i = 0; i < trace.calls.size(); ++i) {
        const bool isInPhase = trace.calls[i].at >= phase.from && trace.calls[i].at < phase.until;
        if (isInPhase && !run.results[i].isWhole)
            ++refusals[run.results[i].refusal];
    }
    return refusals;
}

std::string rowOf(const DeploymentRun &run, const TracePhase &phase, const std::string &kind,
                  const Figures &figures)
{
    char line[256];
    std::snprintf(line, sizeof line,
                  "%-9s %-12s %-18s %7zu %8.1f %8.4f %8.1f %8.1f %6.2f %7.3f %6.0f\n",
                  run.deployment.c_str(), phase.name.c_str(), kind.c_str(), figures.offered,
                  figures.goodput, figures.wholeShare, figures.median, figures.p99,
                  figures.runsPerCall, figures.wastedShare, figures.recovery);
    return line;
}

std::string lineOf(const Judgement &judgement)
{
    const TraceExpectation &expectation = judgement.expectation;
    char line[256];
    std::snprintf(line, sizeof line, "%-4s %-9s %s %s%s%s%s%s: %.4g (%.4g to %.4g)\n",
                  judgement.isMet ? "met" : "MISS", expectation.deployment.c_str(),
                  expectation.measure.c_str(), expectation.phase.c_str(),
                  expectation.kind.empty() ? "" : " ", expectation.kind.c_str(),
                  expectation.ofPhase.empty() ? "" : " against ", expectation.ofPhase.c_str(),
                  judgement.measured, expectation.atLeast, expectation.atMost);
    return line;
}

} // namespace

Figures figuresOf(const Trace &trace, const DeploymentRun &run, const TracePhase &phase,
                  const std::string &kind, double reference)
{
    Figures figures;
    std::vector<double> latencies;
    std::map<std::int64_t, Second> seconds;
    double runs = 0.0;
    double runsExpected = 0.0;
    double busy = 0.0;
    double wasted = 0.0;
    for (std::size_t i = 0; i < trace.calls.size(); ++i) {
        const TraceCall &call = trace.calls[i];
        if (call.at < phase.from || call.at >= phase.until)
            continue;
        if (!kind.empty() && call.kind != kind)
            continue;
        const CallResult &result = run.results[i];
        Second &second = seconds[(call.at - phase.from).count() / 1'000];
        ++figures.offered;
        ++second.offered;
        if (result.isWhole) {
            ++figures.whole;
            ++second.whole;
            latencies.push_back(result.latency);
        }
        const auto length = static_cast<double>(chainLength(trace, call.service));
        runsExpected += length;
        const auto total = run.totals.find(requestIdOf(trace, i));
        if (total == run.totals.end())
            continue;
        runs += total->second.runs;
        busy += total->second.busy;
        const double useful = result.isWhole ? std::min(1.0, length / total->second.runs) : 0.0;
        wasted += total->second.busy * (1.0 - useful);
    }
    std::ranges::sort(latencies);
    const std::chrono::duration<double> time = phase.until - phase.from;
    figures.goodput = static_cast<double>(figures.whole) / time.count();
    figures.wholeShare
            = ratio(static_cast<double>(figures.whole), static_cast<double>(figures.offered));
    figures.median = quantile(latencies, 0.5);
    figures.p99 = quantile(latencies, 0.99);
    figures.runsPerCall = ratio(runs, runsExpected);
    figures.wastedShare = ratio(wasted, busy);
    figures.recovery = recoveryOf(seconds, reference);
    return figures;
}

std::vector<Judgement> judge(const Trace &trace, const std::vector<DeploymentRun> &runs)
{
    std::vector<Judgement> judgements;
    for (const TraceExpectation &expectation : trace.expectations) {
        const auto run
                = std::ranges::find(runs, expectation.deployment, &DeploymentRun::deployment);
        if (run == runs.end())
            continue;
        const double value = measured(trace, *run, expectation);
        const bool isMet = value >= expectation.atLeast && value <= expectation.atMost;
        judgements.push_back({expectation, value, isMet});
    }
    return judgements;
}

std::string tableOf(const Trace &trace, const std::vector<DeploymentRun> &runs)
{
    std::string text = "deployed  phase        kind               offered  goodput    whole   "
                       "p50_ms   p99_ms   runs  wasted  rec_s\n";
    for (const TracePhase &phase : trace.phases) {
        for (const std::string &kind : kindsIn(trace, phase)) {
            for (const DeploymentRun &run : runs)
                text += rowOf(run, phase, kind, figuresOf(trace, run, phase, kind, 1.0));
        }
    }
    for (const DeploymentRun &run : runs) {
        for (const TracePhase &phase : trace.phases) {
            for (const auto &[refusal, count] : refusalsIn(trace, run, phase))
                text += run.deployment + " " + phase.name + " refused: " + refusal + " "
                        + std::to_string(count) + '\n';
        }
    }
    for (const Judgement &judgement : judge(trace, runs))
        text += lineOf(judgement);
    return text;
}

nlohmann::json toJson(const Trace &trace, const std::vector<DeploymentRun> &runs)
{
    nlohmann::json report{
            {"trace", trace.name}, {"seed", trace.seed}, {"rows", nlohmann::json::array()}};
    for (const DeploymentRun &run : runs) {
        for (const TracePhase &phase : trace.phases) {
            for (const std::string &kind : kindsIn(trace, phase)) {
                const Figures figures = figuresOf(trace, run, phase, kind, 1.0);
                report["rows"].push_back({{"deployment", run.deployment},
                                          {"phase", phase.name},
                                          {"kind", kind},
                                          {"offered", figures.offered},
                                          {"whole", figures.whole},
                                          {"goodput", figures.goodput},
                                          {"p50_ms", figures.median},
                                          {"p99_ms", figures.p99},
                                          {"runs_per_call", figures.runsPerCall},
                                          {"wasted_share", figures.wastedShare},
                                          {"recovery_s", figures.recovery}});
            }
        }
    }
    for (const Judgement &judgement : judge(trace, runs)) {
        report["judgements"].push_back({{"deployment", judgement.expectation.deployment},
                                        {"measure", judgement.expectation.measure},
                                        {"phase", judgement.expectation.phase},
                                        {"kind", judgement.expectation.kind},
                                        {"measured", judgement.measured},
                                        {"met", judgement.isMet}});
    }
    return report;
}

} // namespace chive::load
