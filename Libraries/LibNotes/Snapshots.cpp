#include <LibNotes/Snapshots.h>

#include <algorithm>

namespace chive {

namespace {

/// Lower bound of the refresh interval, so that snapshots do not fill the stream.
constexpr Milliseconds minimumRefreshInterval{1'000};

bool isExpired(const NotesFold &fold)
{
    return !fold.lastSnapshot() || fold.lastSnapshot()->asOf < fold.firstRetained();
}

bool hasNewDecision(const NotesFold &fold)
{
    return !fold.lastSnapshot() || decidedUpTo(fold.state()) > fold.lastSnapshot()->asOf;
}

} // namespace

void observeSnapshots(SnapshotTimes &times, const NotesFold &fold, TimePoint now)
{
    const bool isWanted = isSnapshotWanted(times, fold, now);
    if (!isWanted) {
        times.wantedSince.reset();
        return;
    }
    if (times.wantedSince)
        return;
    times.wantedSince = now;
    // The snapshot expired before its refresh, so the log retains records for less time than
    // assumed.
    if (times.lastSeen && isExpired(fold)) {
        const auto lifetime = std::chrono::duration_cast<Milliseconds>(now - *times.lastSeen);
        times.refreshInterval
                = std::max(minimumRefreshInterval, std::min(times.refreshInterval, lifetime / 2));
    }
}

bool isSnapshotWanted(const SnapshotTimes &times, const NotesFold &fold, TimePoint now)
{
    const bool hasDecisions = !fold.state().decided.empty();
    if (!hasDecisions || !fold.isUsable() || fold.hasGap())
        return false;
    if (fold.firstRetained() > 0 && isExpired(fold))
        return true;
    if (!times.lastSeen)
        return true;
    const auto age = now - *times.lastSeen;
    return age >= times.refreshInterval || (hasNewDecision(fold) && age >= snapshotDelay);
}

bool shouldWriteSnapshot(const SnapshotTimes &times, std::size_t rank, TimePoint now)
{
    return times.wantedSince
           && now - *times.wantedSince >= static_cast<std::int64_t>(rank) * snapshotRankDelay;
}

} // namespace chive
