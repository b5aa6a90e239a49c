#include <Load/Scenario.h>

#include <algorithm>
#include <array>
#include <random>

namespace chive::load {

namespace {

using namespace std::chrono_literals;

constexpr std::array dataCentres{"kathmandu", "lalitpur", "bhaktapur", "hetauda"};

/// One stretch of arrivals of one kind; the rate goes evenly from the first to the second value.
struct Arrivals
{
    std::string service;
    std::string kind;
    Milliseconds from{0};
    Milliseconds until{0};
    double rate = 0.0; ///< Calls a second.
    double rateAtEnd = 0.0;
    std::uint32_t size = 0; ///< Bytes of the body.
};

const TraceKind &kindOf(const Trace &trace, const Arrivals &arrivals)
{
    const auto service = std::ranges::find(trace.services, arrivals.service, &TraceService::name);
    return *std::ranges::find(service->kinds, arrivals.kind, &TraceKind::name);
}

/// Poisson arrivals; a changing rate is thinned from the larger one.
void addArrivals(Trace &trace, const Arrivals &arrivals, std::mt19937_64 &random)
{
    const TraceKind &kind = kindOf(trace, arrivals);
    const double largest = std::max(arrivals.rate, arrivals.rateAtEnd);
    std::exponential_distribution<double> gap(largest / 1'000.0);
    std::uniform_real_distribution<double> share(0.0, 1.0);
    const double length = static_cast<double>((arrivals.until - arrivals.from).count());
    for (double at = gap(random); at < length; at += gap(random)) {
        const double rate = arrivals.rate + (arrivals.rateAtEnd - arrivals.rate) * at / length;
        if (share(random) * largest >= rate)
            continue;
        TraceCall call;
        call.at = arrivals.from + Milliseconds(static_cast<std::int64_t>(at));
        call.caller = "caller-" + std::to_string(random() % 40);
        call.service = arrivals.service;
        call.kind = kind.name;
        call.method = arrivals.size > 0 ? "POST" : "GET";
        call.path = "/" + kind.name + "/" + std::to_string(random() % 1'000);
        call.size = arrivals.size;
        call.deadline = kind.deadline;
        trace.calls.push_back(std::move(call));
    }
}

void addSteady(Trace &trace, const std::string &service, const std::string &kind, Milliseconds from,
               Milliseconds until, double rate, std::mt19937_64 &random)
{
    addArrivals(trace, {service, kind, from, until, rate, rate, 0}, random);
}

Trace startTrace(std::string name, std::uint64_t seed, Milliseconds length)
{
    Trace trace;
    trace.name = std::move(name);
    trace.seed = seed;
    trace.length = length;
    return trace;
}

Trace finishTrace(Trace trace)
{
    std::ranges::stable_sort(trace.calls, {}, &TraceCall::at);
    return trace;
}

void addTargets(Trace &trace, const std::string &service, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        trace.targets.push_back({service, dataCentres.at(i % dataCentres.size())});
}

/// The ledger: four targets that together sustain 200 calls a second.
constexpr double ledgerCapacity = 200.0;

void addLedger(Trace &trace, Milliseconds deadline)
{
    TraceKind kind{"unit-history", "normal", "idempotent", "short", deadline, 80.0};
    trace.services.push_back({"ledger", 4, 27, 30, "", {kind}});
    addTargets(trace, "ledger", 4);
}

Trace buildSurge(std::uint64_t seed)
{
    Trace trace = startTrace("surge", seed, 22s);
    std::mt19937_64 random(seed);
    addLedger(trace, 1s);
    const auto load = [&](Milliseconds from, Milliseconds until, double factor) {
        addSteady(trace, "ledger", "unit-history", from, until, factor * ledgerCapacity, random);
    };
    load(0s, 2s, 0.5);
    load(2s, 8s, 1.0);
    load(9s, 15s, 2.0);
    load(16s, 22s, 10.0);
    trace.phases = {{"1x", 3s, 8s}, {"2x", 10s, 15s}, {"10x", 17s, 22s}};
    trace.expectations = {
            {"policy", "goodput", "2x", "", "1x", 0.95},
            {"policy", "goodput", "10x", "", "1x", 0.90},
            {"policy", "wasted_share", "2x", "", "", 0.0, 0.05},
            {"baseline", "goodput", "10x", "", "1x", 0.0, 0.90},
    };
    return finishTrace(std::move(trace));
}

Trace buildImportance(std::uint64_t seed)
{
    Trace trace = startTrace("importance", seed, 14s);
    std::mt19937_64 random(seed);
    const TraceKind read{"certificate-read", "critical", "idempotent", "short", 1s, 80.0};
    const TraceKind search{"unit-search", "normal", "idempotent", "short", 1s, 80.0};
    const TraceKind summary{"summary", "low", "idempotent", "short", 1s, 80.0};
    trace.services.push_back({"certificates", 4, 32, 30, "", {read, search, summary}});
    addTargets(trace, "certificates", 4);
    addSteady(trace, "certificates", "certificate-read", 0s, 14s, 0.6 * ledgerCapacity, random);
    addSteady(trace, "certificates", "unit-search", 4s, 14s, 1.2 * ledgerCapacity, random);
    addSteady(trace, "certificates", "summary", 4s, 14s, 1.2 * ledgerCapacity, random);
    trace.phases = {{"alone", 1s, 4s}, {"3x", 4s, 14s}};
    trace.expectations = {
            {"policy", "whole_share", "3x", "certificate-read", "", 0.999},
            {"policy", "goodput", "3x", "summary", "", 0.0, 20.0},
            {"baseline", "whole_share", "3x", "certificate-read", "", 0.0, 0.99},
    };
    return finishTrace(std::move(trace));
}

Trace buildRecovery(std::uint64_t seed)
{
    Trace trace = startTrace("recovery", seed, 30s);
    std::mt19937_64 random(seed);
    addLedger(trace, 400ms);
    trace.callerRetries = 3;
    addSteady(trace, "ledger", "unit-history", 0s, 30s, 0.75 * ledgerCapacity, random);
    addSteady(trace, "ledger", "unit-history", 8s, 13s, 0.75 * ledgerCapacity, random);
    for (std::size_t target = 0; target < trace.targets.size(); ++target)
        trace.faults.push_back({target, 8s, 13s, 3.0, 0});
    trace.phases = {{"before", 2s, 8s}, {"trigger", 8s, 13s}, {"after", 13s, 30s}};
    trace.expectations = {
            {"policy", "recovery_s", "after", "", "before", 0.0, 5.0},
            {"baseline", "recovery_s", "after", "", "before", 15.0},
    };
    return finishTrace(std::move(trace));
}

Trace buildHeadOfLine(std::uint64_t seed)
{
    Trace trace = startTrace("head-of-line", seed, 32s);
    std::mt19937_64 random(seed);
    const TraceKind browse{"browse", "normal", "idempotent", "short", 1s, 20.0};
    const TraceKind upload{"upload", "normal", "idempotent", "long", 4s, 1'000.0};
    trace.services.push_back({"artwork", 10, 62, 30, "", {browse, upload}});
    addTargets(trace, "artwork", 3);
    const auto browsing = [&](Milliseconds from, Milliseconds until) {
        addSteady(trace, "artwork", "browse", from, until, 200.0, random);
    };
    const auto uploading = [&](Milliseconds from, Milliseconds until) {
        addArrivals(trace, {"artwork", "upload", from, until, 30.0, 30.0, 200'000}, random);
    };
    browsing(0s, 8s);
    uploading(8s, 18s);
    browsing(22s, 32s);
    uploading(22s, 32s);
    trace.phases = {{"short alone", 2s, 8s}, {"long alone", 10s, 18s}, {"both", 24s, 32s}};
    trace.expectations = {
            {"policy", "p99", "both", "browse", "short alone", 0.0, 1.2},
            {"policy", "whole_share", "both", "browse", "", 0.999},
            {"policy", "goodput", "both", "upload", "long alone", 0.9},
            {"baseline", "p99", "both", "browse", "short alone", 1.2},
    };
    return finishTrace(std::move(trace));
}

Trace buildStraggler(std::uint64_t seed)
{
    Trace trace = startTrace("straggler", seed, 16s);
    std::mt19937_64 random(seed);
    const TraceKind kind{"unit-history", "normal", "idempotent", "short", 2s, 20.0};
    trace.services.push_back({"ledger", 8, 54, 30, "", {kind}});
    addTargets(trace, "ledger", 4);
    addSteady(trace, "ledger", "unit-history", 0s, 16s, 300.0, random);
    trace.faults.push_back({1, 8s, 14s, 10.0, 0});
    trace.phases = {{"healthy", 2s, 8s}, {"slow", 8s, 14s}, {"healed", 14s, 16s}};
    trace.expectations = {
            {"policy", "p99", "slow", "", "healthy", 0.0, 1.5},
            {"baseline", "p99", "slow", "", "healthy", 1.5},
    };
    return finishTrace(std::move(trace));
}

Trace buildCrest(std::uint64_t seed)
{
    Trace trace = startTrace("crest", seed, 14s);
    std::mt19937_64 random(seed);
    addLedger(trace, 1s);
    const double low = 0.3 * ledgerCapacity;
    const double high = 0.9 * ledgerCapacity;
    const auto swing = [&](Milliseconds from, Milliseconds until, double rate, double rateAtEnd) {
        addArrivals(trace, {"ledger", "unit-history", from, until, rate, rateAtEnd, 0}, random);
    };
    swing(0s, 4s, low, low);
    swing(4s, 6s, low, high);
    swing(6s, 9s, high, high);
    swing(9s, 11s, high, low);
    swing(11s, 14s, low, low);
    trace.phases = {{"before", 1s, 4s}, {"swing", 4s, 11s}, {"after", 11s, 14s}};
    trace.expectations = {{"policy", "whole_share", "swing", "", "", 0.99}};
    return finishTrace(std::move(trace));
}

Trace buildChain(std::uint64_t seed)
{
    constexpr std::size_t depth = 8;
    Trace trace = startTrace("chain", seed, 10s);
    std::mt19937_64 random(seed);
    for (std::size_t i = 0; i < depth; ++i) {
        const TraceKind kind{"step", "normal", "idempotent", "short", 2s, 4.0};
        const std::string next = i + 1 < depth ? "service-" + std::to_string(i + 1) + "/step" : "";
        const std::string name = "service-" + std::to_string(i);
        trace.services.push_back({name, 8, 54, 30, next, {kind}});
        addTargets(trace, name, 2);
    }
    addSteady(trace, "service-0", "step", 0s, 10s, 10.0, random);
    trace.faults.push_back({trace.targets.size() - 2, 4s, 10s, 1.0, 503});
    trace.faults.push_back({trace.targets.size() - 1, 4s, 10s, 1.0, 503});
    trace.phases = {{"healthy", 1s, 4s}, {"failing", 4s, 10s}};
    trace.expectations = {
            {"policy", "runs_per_call", "failing", "", "", 0.0, 1.1},
            {"baseline", "runs_per_call", "failing", "", "", 1.1},
    };
    return finishTrace(std::move(trace));
}

constexpr std::array<Scenario, 7> allScenarios{{
        {"surge", "one service at 1, 2 and 10 times what it sustains", buildSurge},
        {"importance", "three importances, three times what fits", buildImportance},
        {"recovery", "slow targets and more demand for 5 s, callers retry hard", buildRecovery},
        {"head-of-line", "short calls beside long uploads", buildHeadOfLine},
        {"straggler", "one of four targets ten times slower", buildStraggler},
        {"crest", "demand triples within 2 s and falls again", buildCrest},
        {"chain", "eight services in a row, the last one fails", buildChain},
}};

} // namespace

std::span<const Scenario> scenarios()
{
    return allScenarios;
}

} // namespace chive::load
