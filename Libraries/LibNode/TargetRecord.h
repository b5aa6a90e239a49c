#pragma once

#include <LibCore/Clock.h>
#include <LibNode/Announcement.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace chive {

/// What a node knows of the target beside it.
struct TargetRecord
{
    /// The start that is used, or was used last. It stays when the lease ends, so that a start that
    /// left is not taken for a new one.
    std::optional<Announcement> held;
    bool isPresent = false; ///< The lease of the held start has not ended.
    TimePoint heardAt;      ///< When the held start last announced itself.
};

/// What an announcement has changed.
enum class AnnouncementEffect : std::uint8_t {
    None,      ///< Nothing: it is older than what is known.
    Refreshed, ///< The held start is still there.
    Changed,   ///< The held start has other slots or another state.
    Begun,     ///< The held start is a new one, or back after its lease.
};

AnnouncementEffect applyAnnouncement(TargetRecord &record, const Announcement &announcement,
                                     TimePoint now);

/// The target of this id says that it leaves. Returns whether the record has changed.
bool applyDeparture(TargetRecord &record, std::string_view targetId);

/// Ends the lease of the held start if it is silent for longer. A start with requests in flight is
/// kept, as a target that only stopped announcing can still finish them. Returns whether the lease
/// has ended.
bool endLease(TargetRecord &record, Milliseconds lease, TimePoint now, bool hasInFlight);

} // namespace chive
