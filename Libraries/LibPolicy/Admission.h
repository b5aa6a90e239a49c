#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCore/Clock.h>
#include <LibCore/Verdict.h>
#include <LibKernel/Registry.h>
#include <LibNode/Call.h>
#include <LibPolicy/ConcurrencyLimit.h>
#include <LibPolicy/LowerQuartile.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

/// Admission of work at the node beside a target: run now, wait in a short queue, or be refused.
namespace chive {

/// Names one piece of work within the admission state; chosen by the user of this module.
using WorkToken = std::uint64_t;

/// What admission needs to know of a call.
struct WorkAttributes
{
    Importance importance = Importance::Normal;
    Duration duration = Duration::Short;
    TimePoint deadline;
    bool isNested = false; ///< Part of a tree that has begun; goes before new work.
    std::string kind = {}; ///< Kinds differ in how long they run.
};

struct AdmissionSettings
{
    std::uint32_t slots = 100;           ///< Requests that the target can run at once.
    std::uint32_t longSharePercent = 30; ///< Of the slots that long work may hold.
};

struct QueuedWork
{
    WorkToken token = 0;
    WorkAttributes attributes;
    std::uint64_t arrival = 0; ///< Order of arrival.
};

/// How long work of one kind takes on the target, in milliseconds; 0 before the first.
struct KindLatency
{
    double mean = 0.0; ///< Smoothed.
    LowerQuartile lowerQuartile;
};

/// The work that runs or waits at one target, shared by all plug-ins.
struct AdmissionState
{
    AdmissionSettings settings;
    ConcurrencyLimit limit;
    std::map<WorkToken, Duration> running;
    std::uint32_t longRunning = 0;
    std::vector<QueuedWork> queue; ///< In the order in which the plug-in starts work.
    std::uint64_t arrivals = 0;
    double shortLatency = 0.0; ///< Smoothed time on the target, milliseconds; 0 before the first.
    double longLatency = 0.0;  ///< The same for long work.
    /// More important work of a kind overtakes the rest below, too, and so is faster.
    std::map<std::tuple<Duration, Importance, std::string>, KindLatency> latencyByKind;
    std::uint8_t admittedLevel = importanceLevels - 1;
    TimePoint admittedLevelUntil; ///< Until then the lowered level `admitted` stands.
};

enum class AdmissionAction : std::uint8_t {
    Run,    ///< Start it now; it counts as running.
    Queue,  ///< It waits; startNext() will name it, or a later offer evicts it.
    Refuse, ///< `verdict` says why; it is forgotten.
};

/// Work that left the queue without having run.
struct DroppedWork
{
    WorkToken token = 0;
    Verdict verdict;
};

struct OfferDecision
{
    AdmissionAction action = AdmissionAction::Run;
    Verdict verdict;                  ///< Only for Refuse.
    std::vector<DroppedWork> evicted; ///< Less important work that made room.
};

struct StartDecision
{
    std::vector<WorkToken> started; ///< Run these now; they count as running.
    std::vector<DroppedWork> expired;
};

/// How a piece of running work ended.
struct WorkOutcome
{
    Microseconds latency{0};    ///< Time on the target.
    bool wasOverloaded = false; ///< The target refused it because of overload.
    bool hasFailed = false;     ///< It ended in an error, so the latency tells nothing of its work.
    std::string kind = {};
    Importance importance = Importance::Normal;
};

/// One way of admission.
struct AdmissionPlugin
{
    std::string_view name;
    OfferDecision (*offer)(AdmissionState &state, const WorkAttributes &attributes, WorkToken token,
                           TimePoint now)
            = nullptr;
    /// To be called after finished() and cancel(), and at least every few milliseconds while work
    /// is queued, so that expired work is answered.
    StartDecision (*startNext)(AdmissionState &state, TimePoint now) = nullptr;
};

/// State for a target of that size.
[[nodiscard]] AdmissionState makeAdmissionState(const AdmissionSettings &settings);

/// The target or the catalogue changed the size.
void resize(AdmissionState &state, const AdmissionSettings &settings);

/// Running work ended; frees its slot.
void finished(AdmissionState &state, WorkToken token, const WorkOutcome &end, TimePoint now);

/// The work is no longer wanted, queued or running. Its latency teaches nothing.
void cancel(AdmissionState &state, WorkToken token);

/// What the node tells its peers.
[[nodiscard]] TargetLoad loadOf(const AdmissionState &state, TimePoint now);

/// What is known of how long such work takes.
[[nodiscard]] KindLatency latencyOf(const AdmissionState &state, const WorkAttributes &attributes);

/// How long work that comes now would wait if all that is queued ran before it.
[[nodiscard]] std::chrono::nanoseconds queueWait(const AdmissionState &state);

/// Marks work as running; for plug-ins.
void markRunning(AdmissionState &state, WorkToken token, Duration duration);

} // namespace chive
