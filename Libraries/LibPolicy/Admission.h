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

/// Admission control at the node beside a target: work starts now, waits in a short queue, or is
/// refused.
namespace chive {

/// Identifies one piece of work within the admission state. The caller of this module chooses it.
using WorkToken = std::uint64_t;

/// The properties of a call that admission depends on.
struct WorkAttributes
{
    Importance importance = Importance::Normal;
    Duration duration = Duration::Short;
    TimePoint deadline;
    bool isNested = false; ///< Belongs to a call tree that has started; ordered before new work.
    std::string kind = {}; ///< Latency is estimated for each kind.
};

struct AdmissionSettings
{
    std::uint32_t slots = 100;           ///< Requests that the target can run concurrently.
    std::uint32_t longSharePercent = 30; ///< Percentage of the slots that long work may occupy.
};

struct QueuedWork
{
    WorkToken token = 0;
    WorkAttributes attributes;
    std::uint64_t arrival = 0; ///< Sequence number; breaks ties in the queue order.
};

/// Latency of one kind of work on the target, in milliseconds; 0 before the first sample.
struct KindLatency
{
    double mean = 0.0; ///< Exponential moving average.
    LowerQuartile lowerQuartile;
};

/// The running and queued work of one target, shared by all plug-ins.
struct AdmissionState
{
    AdmissionSettings settings;
    ConcurrencyLimit limit;
    std::map<WorkToken, Duration> running;
    std::uint32_t longRunning = 0;
    std::vector<QueuedWork> queue; ///< In the order in which the plug-in starts the work.
    std::uint64_t arrivals = 0;
    /// Moving average for short work, milliseconds; 0 before the first sample.
    double shortLatency = 0.0;
    double longLatency = 0.0; ///< As shortLatency, for long work.
    /// Keyed by importance as well: more important work is also preferred by the services that it
    /// calls, and so has a lower latency.
    std::map<std::tuple<Duration, Importance, std::string>, KindLatency> latencyByKind;
    std::uint8_t admittedLevel = importanceLevels - 1;
    TimePoint admittedLevelUntil; ///< `admittedLevel` applies until then.
};

enum class AdmissionAction : std::uint8_t {
    Run,    ///< Start it now; it already counts as running.
    Queue,  ///< It is queued; startNext() will return it, or a later offer evicts it.
    Refuse, ///< Not accepted, for the reason in `verdict`; no state is kept.
};

/// Work that was removed from the queue without having run.
struct DroppedWork
{
    WorkToken token = 0;
    Verdict verdict;
};

struct OfferDecision
{
    AdmissionAction action = AdmissionAction::Run;
    Verdict verdict; ///< Set only for Refuse.
    /// Less important work that was removed from the queue to make space.
    std::vector<DroppedWork> evicted;
};

struct StartDecision
{
    std::vector<WorkToken> started; ///< Run these now; they already count as running.
    std::vector<DroppedWork> expired;
};

/// The outcome of running work.
struct WorkOutcome
{
    Microseconds latency{0};    ///< Time on the target.
    bool wasOverloaded = false; ///< The target refused it for overload.
    bool hasFailed = false;     ///< It ended in an error, so its latency is not a valid sample.
    std::string kind = {};
    Importance importance = Importance::Normal;
};

/// An admission policy.
struct AdmissionPlugin
{
    std::string_view name;
    OfferDecision (*offer)(AdmissionState &state, const WorkAttributes &attributes, WorkToken token,
                           TimePoint now)
            = nullptr;
    /// Must be called after finished() and cancel(), and at least every few milliseconds while work
    /// is queued, so that expired work is answered.
    StartDecision (*startNext)(AdmissionState &state, TimePoint now) = nullptr;
};

/// Creates the state for a target with these settings.
[[nodiscard]] AdmissionState makeAdmissionState(const AdmissionSettings &settings);

/// Applies new settings after the target or the catalogue changed them.
void resize(AdmissionState &state, const AdmissionSettings &settings);

/// Ends running work and frees its slot. Ignored if the work is not running.
void finished(AdmissionState &state, WorkToken token, const WorkOutcome &end, TimePoint now);

/// Removes work that is queued or running. Its latency is not sampled.
void cancel(AdmissionState &state, WorkToken token);

/// The load report that the node sends to its peers.
[[nodiscard]] TargetLoad loadOf(const AdmissionState &state, TimePoint now);

/// The measured latency of work of this kind, duration and importance.
[[nodiscard]] KindLatency latencyOf(const AdmissionState &state, const WorkAttributes &attributes);

/// Estimated wait of newly arriving work if everything queued runs first.
[[nodiscard]] std::chrono::nanoseconds queueWait(const AdmissionState &state);

/// Marks work as running. For use by plug-ins.
void markRunning(AdmissionState &state, WorkToken token, Duration duration);

} // namespace chive
