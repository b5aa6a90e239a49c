#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// One crash of a target. The node beside the target numbers its crashes by wall-clock time.
struct Crash
{
    std::string nodeId;
    std::uint64_t number = 0;
    TimePoint at;
};

/// The crashes and the latest completion of the requests with one fingerprint.
struct Suspicion
{
    std::string fingerprint;
    std::vector<Crash> crashes; ///< Crashes during which such a request was in flight.
    /// Latest completion; clears the fingerprint of crashes up to then.
    std::optional<TimePoint> completedAt;
};

/// Distinguishes requests that crash their target from those that were only in flight at the same
/// time. A request in flight during two crashes is quarantined; a completion clears it of earlier
/// crashes. After one crash it is a suspect, and a target runs one suspect at a time, so that a
/// second crash identifies a single one. Merging is commutative and idempotent.
class Quarantine
{
public:
    /// Merges a suspicion. Returns true if the crashes changed and other nodes should be told.
    bool merge(const Suspicion &suspicion, TimePoint now);

    /// Records that a request completed on a target. Returns true if that cleared it of a crash,
    /// which other nodes should be told.
    bool noteCompletion(const std::string &fingerprint, TimePoint now);

    /// Drops suspicions without an update for 24 hours. Returns true if any was dropped.
    bool expire(TimePoint now);

    /// Fingerprints in flight during one crash, or during more and released again.
    [[nodiscard]] std::vector<std::string> suspects(TimePoint now) const;
    /// Fingerprints to refuse now.
    [[nodiscard]] std::vector<std::string> quarantined(TimePoint now) const;
    [[nodiscard]] bool isSuspected(std::string_view fingerprint) const;

    /// All suspicions, to be sent to other nodes.
    [[nodiscard]] std::vector<Suspicion> suspicions() const;

private:
    std::map<std::string, Suspicion, std::less<>> suspicions_;
};

} // namespace chive
