#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCore/Clock.h>
#include <LibKernel/Registry.h>
#include <LibNode/Call.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>

/// Choice of the target for a call, from what the chooser itself has seen of the targets and from
/// the load reports carried on their answers.
namespace chive {

/// One target that could take the call now.
struct Candidate
{
    std::string_view nodeId;
    bool isNear = true;     ///< In the chooser's own data centre.
    bool isSuspect = false; ///< Missed heartbeats; used only when nobody better is left.
};

/// What the chooser has seen of one target of one service.
struct TargetView
{
    std::multiset<TimePoint> shortInFlight; ///< When the chooser's own calls were sent.
    std::uint32_t longInFlight = 0;
    double latency = 0.0; ///< Smoothed, of short calls, milliseconds; 0 before the first.
    TargetLoad load;
    TimePoint loadReceivedAt; ///< When `load` arrived; the beginning of time before the first.
    TimePoint failedAt;       ///< When the last attempt failed.

    TimePoint pausedUntil;           ///< Left out until then; afterwards probed by single calls.
    Milliseconds pauseLength{0};     ///< Length of the pause; 0 while the target is in use.
    bool isProbing = false;          ///< The probe is out.
    std::int64_t selectionScore = 0; ///< For "request-counting".
};

/// What a chooser keeps for one service.
struct ChoiceState
{
    std::map<std::string, TargetView, std::less<>> targets;
    std::minstd_rand random;
    std::uint64_t rotation = 0; ///< For "round-robin".
};

struct ChoiceRequest
{
    Importance importance = Importance::Normal;
    Duration duration = Duration::Short;
};

/// One way of choosing.
struct ChoicePlugin
{
    std::string_view name;
    /// The index of the chosen candidate, or nothing when there is no candidate.
    std::optional<std::size_t> (*choose)(ChoiceState &state, std::span<const Candidate> candidates,
                                         const ChoiceRequest &question, TimePoint now)
            = nullptr;
};

/// How a call to a chosen target ended, as the chooser saw it.
struct ObservedOutcome
{
    TimePoint sentAt;
    Duration duration = Duration::Short;
    bool wasServed = false; ///< The target gave an answer, so the latency is that of its work.
    bool hasFailed = false; ///< No answer came: connection, link or target failed.
    std::optional<TargetLoad> load;
};

/// Call when a call is sent to a target, and once when it ended in whatever way.
void noteSent(ChoiceState &state, std::string_view nodeId, Duration duration, TimePoint now);
void noteEnded(ChoiceState &state, std::string_view nodeId, const ObservedOutcome &end,
               TimePoint now);

/// Forgets the targets that are not in the list.
void retainTargets(ChoiceState &state, std::span<const Candidate> members);

/// Whether the latest load report is recent enough to be used.
[[nodiscard]] bool hasFreshLoad(const TargetView &view, TimePoint now);

/// Whether the target would take work of this importance, as far as a fresh report tells.
[[nodiscard]] bool wouldAdmit(const TargetView &view, Importance importance, TimePoint now);

/// The smoothed latency of a target; zero before the first answer.
[[nodiscard]] Microseconds expectedLatency(const ChoiceState &state, std::string_view nodeId);

} // namespace chive
