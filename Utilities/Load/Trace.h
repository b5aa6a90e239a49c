#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// A trace: a first line of JSON that describes the mesh, its faults and the stated outcomes, and
/// one line for each call.
namespace chive::load {

/// One call of a caller, at its intended time.
struct TraceCall
{
    Milliseconds at{0}; ///< Since the begin of the replay.
    std::string caller;
    std::string service;
    std::string kind;
    std::string method = "GET";
    std::string path;
    std::uint32_t size = 0; ///< Bytes of the body.
    Milliseconds deadline{1'000};
    std::string key; ///< Idempotency key; empty for none.
};

struct TraceKind
{
    std::string name;
    std::string importance = "normal";
    std::string repetition = "idempotent";
    std::string duration = "short";
    Milliseconds deadline{1'000};
    double serviceTime = 10.0; ///< Mean, milliseconds.
};

struct TraceService
{
    std::string name;
    std::uint32_t slots = 4;
    std::uint32_t connections = 30; ///< Requests that a target holds, running and waiting.
    std::uint32_t longSharePercent = 30;
    std::string calls; ///< "SERVICE/PATH" that each run calls before it answers; empty for none.
    std::vector<TraceKind> kinds;
};

struct TraceTarget
{
    std::string service;
    std::string dataCentre;
};

/// A target is slower, or fails, for a time.
struct TraceFault
{
    std::size_t target = 0;
    Milliseconds from{0};
    Milliseconds until{0};
    double slowFactor = 1.0;
    int failStatus = 0; ///< Answer this after the run; 0 for none.
};

/// A part of the replay that is reported by itself, by the intended time of its calls.
struct TracePhase
{
    std::string name;
    Milliseconds from{0};
    Milliseconds until{0};
};

/// A stated outcome of one deployment: the measure lies within the bounds.
struct TraceExpectation
{
    std::string deployment; ///< "policy" or "baseline".
    std::string measure;    ///< See measureOf() in Report.h.
    std::string phase;
    std::string kind;    ///< Empty for all kinds.
    std::string ofPhase; ///< The measure is divided by that of this phase; empty for none.
    double atLeast = 0.0;
    double atMost = 1e9;
};

struct Trace
{
    std::string name;
    std::uint64_t seed = 1;
    Milliseconds length{0};
    std::uint32_t callerRetries = 0; ///< Attempts after the first, made by the caller at once.
    std::vector<TraceService> services;
    std::vector<TraceTarget> targets;
    std::vector<TraceFault> faults;
    std::vector<TracePhase> phases;
    std::vector<TraceExpectation> expectations;
    std::vector<TraceCall> calls;
};

[[nodiscard]] Result<Trace> parseTrace(std::string_view text);
[[nodiscard]] std::string format(const Trace &trace);

/// The first line of a trace by itself.
[[nodiscard]] nlohmann::json headerOf(const Trace &trace);

} // namespace chive::load
