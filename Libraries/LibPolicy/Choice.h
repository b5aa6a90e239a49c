#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCore/Clock.h>
#include <LibKernel/Registry.h>
#include <LibNode/Call.h>
#include <LibPolicy/TargetSpeed.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>

/// Load balancing: selects the target of a call from the chooser's own observations and from the
/// load reports that targets attach to their answers.
namespace chive {

/// A target that could take the call now.
struct Candidate
{
    std::string_view nodeId;
    bool isNear = true;     ///< In the chooser's own data centre.
    bool isSuspect = false; ///< Missed heartbeats; used only if no other candidate is left.
};

/// The chooser's observations of one target of one service.
struct TargetView
{
    std::multiset<TimePoint> shortInFlight; ///< When the chooser's own outstanding calls were sent.
    std::uint32_t longInFlight = 0;
    /// Moving average of short calls, milliseconds; 0 before the first sample.
    double latency = 0.0;
    TargetLoad load;
    TimePoint loadReceivedAt; ///< When `load` arrived; TimePoint{} before the first report.
    TimePoint failedAt;       ///< When an attempt last failed; TimePoint{} if none has.

    /// Excluded as a straggler until then; afterwards probed by single calls.
    TimePoint pausedUntil;
    Milliseconds pauseLength{0};     ///< Length of the exclusion; 0 while the target is in use.
    bool isProbing = false;          ///< A probe call is outstanding.
    std::int64_t selectionScore = 0; ///< For "request-counting".
    TargetWorkView work;             ///< For "least-work".
};

/// The load balancing state of one service.
struct ChoiceState
{
    std::map<std::string, TargetView, std::less<>> targets;
    std::minstd_rand random;
    std::uint64_t rotation = 0; ///< For "round-robin".
    ServiceWork work;           ///< For "least-work".
    /// For "least-work": milliseconds by which a target in another data centre must be better.
    double otherDataCentreCost = 12.0;
};

struct ChoiceRequest
{
    Importance importance = Importance::Normal;
    Duration duration = Duration::Short;
    std::string_view kind = {};
};

/// The policy whose choosers need TargetLoad::work.
constexpr std::string_view leastWorkName = "least-work";

/// A load balancing policy.
struct ChoicePlugin
{
    std::string_view name;
    /// Returns the index of the chosen candidate, or nothing if there is no candidate.
    std::optional<std::size_t> (*choose)(ChoiceState &state, std::span<const Candidate> candidates,
                                         const ChoiceRequest &request, TimePoint now)
            = nullptr;
};

/// The outcome of a call to a chosen target, as the chooser saw it.
struct ObservedOutcome
{
    TimePoint sentAt;
    Duration duration = Duration::Short;
    bool wasServed = false; ///< The target answered, so the latency is a valid sample.
    bool hasFailed = false; ///< No answer arrived because the connection, link or target failed.
    std::optional<TargetLoad> load;
    std::string_view kind = {};
};

/// The state of the target, which is created when it is first needed.
[[nodiscard]] TargetView &viewOf(ChoiceState &state, std::string_view nodeId);

/// Must be called when a call is sent to a target, and noteEnded() exactly once when it has ended
/// in any way.
void noteSent(ChoiceState &state, std::string_view nodeId, Duration duration, TimePoint now);
void noteEnded(ChoiceState &state, std::string_view nodeId, const ObservedOutcome &end,
               TimePoint now);

/// Drops the state of targets that are not in the list.
void retainTargets(ChoiceState &state, std::span<const Candidate> members);

/// Whether the latest load report is recent enough to use.
[[nodiscard]] bool hasFreshLoad(const TargetView &view, TimePoint now);

/// Whether the target admits work of this importance according to its latest load report. True
/// without a fresh report.
[[nodiscard]] bool wouldAdmit(const TargetView &view, Importance importance, TimePoint now);

/// The moving average of the latency of a target; zero before the first answer.
[[nodiscard]] Microseconds expectedLatency(const ChoiceState &state, std::string_view nodeId);

} // namespace chive
