#include <LibNotes/Snapshots.h>

#include <algorithm>

namespace chive {

namespace {

/// Refreshing more often than this would fill the stream with snapshots.
constexpr Milliseconds leastRefreshInterval{1'000};

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
    // A snapshot that expired before its refresh shows that the log keeps records for less time.
    if (times.lastSeen && isExpired(fold)) {
        const auto lifetime = std::chrono::duration_cast<Milliseconds>(now - *times.lastSeen);
        times.refreshInterval
                = std::max(leastRefreshInterval, std::min(times.refreshInterval, lifetime / 2));
    }
}

bool isSnapshotWanted(const SnapshotTimes &times, const NotesFold &fold, TimePoint now)
{
    const bool isWorthKeeping = !fold.state().decided.empty();
    if (!isWorthKeeping || !fold.isUsable() || fold.hasGap())
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
