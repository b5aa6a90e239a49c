#pragma once

#include <LibCore/Clock.h>
#include <LibNotes/NotesFold.h>

#include <cstddef>
#include <optional>

namespace chive {

/// When one node last saw a snapshot, and how long the log kept the earlier ones.
struct SnapshotTimes
{
    std::optional<TimePoint> lastSeen; ///< When the latest snapshot was read.
    /// Refresh while the state is unchanged; shortened when retention turns out to be short.
    Milliseconds refreshInterval{30 * 60 * 1000};
    std::optional<TimePoint> wantedSince; ///< Since when a snapshot has been missing.
};

/// Snapshots follow a decision by at least this, so that a burst of notes needs only one.
inline constexpr Milliseconds snapshotDelay{60'000};

/// The next live member by id waits this much longer than the one before it, so that one snapshot
/// is written although nobody leads.
inline constexpr Milliseconds snapshotRankDelay{10'000};

/// Updates the times after a read of the stream.
void observeSnapshots(SnapshotTimes &times, const NotesFold &fold, TimePoint now);

/// Whether the stream needs a new snapshot: a fresh node must find one that reaches back to the
/// oldest retained record, before the notes themselves expire.
[[nodiscard]] bool isSnapshotWanted(const SnapshotTimes &times, const NotesFold &fold,
                                    TimePoint now);

/// Whether the member with that rank among the live ones, by id from 0, should write it now.
[[nodiscard]] bool shouldWriteSnapshot(const SnapshotTimes &times, std::size_t rank, TimePoint now);

} // namespace chive
