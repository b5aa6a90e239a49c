#pragma once

#include <LibCore/Clock.h>
#include <LibNotes/NotesFold.h>

#include <cstddef>
#include <optional>

namespace chive {

/// When one node last read a snapshot, and how often snapshots have to be refreshed.
struct SnapshotTimes
{
    std::optional<TimePoint> lastSeen; ///< When the latest snapshot was read from the stream.
    /// Maximum age of the latest snapshot. Shortened after a snapshot expired before its refresh.
    Milliseconds refreshInterval{30 * 60 * 1000};
    std::optional<TimePoint> wantedSince; ///< Since when a new snapshot has been needed.
};

/// Minimum age of the latest snapshot before a new decision causes another one, so that a burst of
/// notes needs only one.
inline constexpr Milliseconds snapshotDelay{60'000};

/// Extra wait of each live member, in order of id, over the one before it. One member writes the
/// snapshot although there is no leader, and the next one takes over if it fails to.
inline constexpr Milliseconds snapshotRankDelay{10'000};

/// Updates the times after a read of the stream.
void observeSnapshots(SnapshotTimes &times, const NotesFold &fold, TimePoint now);

/// Whether the stream needs a new snapshot. A new node must find one that reaches back to the
/// oldest retained record, and it must be written before the notes themselves expire.
[[nodiscard]] bool isSnapshotWanted(const SnapshotTimes &times, const NotesFold &fold,
                                    TimePoint now);

/// Whether the member with this rank should write the snapshot now. Ranks count the live members in
/// order of id, from 0.
[[nodiscard]] bool shouldWriteSnapshot(const SnapshotTimes &times, std::size_t rank, TimePoint now);

} // namespace chive
