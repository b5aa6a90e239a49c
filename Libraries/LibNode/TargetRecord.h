#pragma once

#include <LibCore/Clock.h>
#include <LibNode/Announcement.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace chive {

/// What a node knows of the target beside it. An announcement may be seconds old when it arrives,
/// so a start that the node does not know is a candidate until the target has confirmed that it
/// serves.
struct TargetRecord
{
    struct Candidate
    {
        Announcement announcement;
        TimePoint firstHeardAt;
        TimePoint heardAt;
    };

    /// The start that is used, or was used last. It stays when the lease ends, so that a start that
    /// left is not taken for a new one.
    std::optional<Announcement> held;
    bool isPresent = false; ///< The lease of the held start has not ended.
    TimePoint heardAt;      ///< When the held start last announced itself.
    std::optional<Candidate> candidate;
};

struct TargetRules
{
    Milliseconds lease{0};          ///< A target that is silent for longer is gone.
    bool needsConfirmation = false; ///< Targets can be asked whether they serve; a new start is.
};

/// What an announcement has changed.
enum class AnnouncementEffect : std::uint8_t {
    None,      ///< Nothing: it is older than what is known of its start.
    Rejected,  ///< Nothing: it seems to be of an earlier start. It must not be acknowledged, as the
               ///< node does not act on it.
    Refreshed, ///< The held start, or the candidate, is still there.
    Changed,   ///< The held start has other slots or another state.
    Begun,     ///< The held start is a new one, or back after its lease.
    Awaiting,  ///< There is a new candidate.
};

AnnouncementEffect applyAnnouncement(TargetRecord &record, const Announcement &announcement,
                                     const TargetRules &rules, TimePoint now);

/// The target of this id says that it leaves. Returns whether the record has changed.
bool applyDeparture(TargetRecord &record, std::string_view targetId);

/// The candidate has confirmed that it serves, and becomes the held start.
void confirmCandidate(TargetRecord &record);

/// Ends the leases of the held start and of the candidate where they are silent. A held start with
/// requests in flight is kept, as a target that only stopped announcing can still finish them.
/// Returns whether the lease of the held start has ended.
bool endLeases(TargetRecord &record, const TargetRules &rules, TimePoint now, bool hasInFlight);

} // namespace chive
