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

/// What is known about the requests of one fingerprint.
struct Suspicion
{
    std::string fingerprint;
    std::vector<Crash> crashes;           ///< At which such a request was in flight.
    std::optional<TimePoint> completedAt; ///< Acquits it of the crashes before.
};

/// Tells requests that crash their target from those that were in flight beside one. A request in
/// flight at two crashes is quarantined; one that completed meanwhile is acquitted. Between the
/// two, it is a suspect, and a target runs one suspect at a time: then a second crash points at one
/// of them only. The state merges in any order and with repetitions.
class Quarantine
{
public:
    /// True when this is news.
    bool merge(const Suspicion &suspicion, TimePoint now);

    /// A request completed on a target. True when it was under suspicion, which is news.
    bool noteCompletion(const std::string &fingerprint, TimePoint now);

    /// Drops what is too old to matter. True when something was dropped.
    bool expire(TimePoint now);

    /// In flight at one crash, or at more but released again.
    [[nodiscard]] std::vector<std::string> suspects(TimePoint now) const;
    /// To be refused now.
    [[nodiscard]] std::vector<std::string> quarantined(TimePoint now) const;
    [[nodiscard]] bool isSuspected(std::string_view fingerprint) const;

    /// All that is known, for other nodes.
    [[nodiscard]] std::vector<Suspicion> suspicions() const;

private:
    std::map<std::string, Suspicion, std::less<>> suspicions_;
};

} // namespace chive
