#include <LibNotes/NotesRecord.h>
#include <LibNotes/Readers.h>
#include <LibNotes/Snapshots.h>

#include <LibNotes/Notes.h>
#include <doctest/doctest.h>

using namespace chive;
using namespace chive::test;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr TimePoint start{hours(1)};

void take(NotesFold &fold, std::uint64_t firstRetained, std::uint64_t offset,
          const std::string &payload)
{
    fold.beginRead(firstRetained, offset + 1);
    fold.takeRecord(offset, payload);
    fold.endRead();
}

} // namespace

TEST_CASE("Snapshots: a snapshot is written before the notes expire")
{
    NotesFold fold;
    SnapshotTimes times;
    take(fold, 0, 0, "no note");
    observeSnapshots(times, fold, start);
    CHECK_FALSE(isSnapshotWanted(times, fold, start));

    take(fold, 0, 1, record("a", "", adding("ledger")));
    observeSnapshots(times, fold, start);
    REQUIRE(isSnapshotWanted(times, fold, start));

    SUBCASE("by the first member at once, by the next ones if it is still missing")
    {
        CHECK(shouldWriteSnapshot(times, 0, start));
        CHECK_FALSE(shouldWriteSnapshot(times, 1, start));
        CHECK(shouldWriteSnapshot(times, 1, start + snapshotRankDelay));
    }

    take(fold, 0, 2, encodeSnapshotRecord(fold.state()));
    times.lastSeen = start;
    observeSnapshots(times, fold, start);
    CHECK_FALSE(shouldWriteSnapshot(times, 0, start + hours(1)));

    SUBCASE("again after a new decision, but not for each decision of a burst")
    {
        take(fold, 0, 3, record("b", "a", adding("photos")));
        CHECK_FALSE(isSnapshotWanted(times, fold, start + seconds(1)));
        CHECK(isSnapshotWanted(times, fold, start + snapshotDelay));
    }

    SUBCASE("again when the latest one is old")
    {
        CHECK_FALSE(isSnapshotWanted(times, fold, start + minutes(29)));
        CHECK(isSnapshotWanted(times, fold, start + minutes(30)));
    }

    SUBCASE("at once after an early expiry, which also shortens the refresh interval")
    {
        const TimePoint expired = start + minutes(4);
        take(fold, 3, 3, "no note");
        CHECK(isSnapshotWanted(times, fold, expired));
        observeSnapshots(times, fold, expired);
        CHECK(times.refreshInterval == minutes(2));
    }

    SUBCASE("never by a node that has a gap")
    {
        take(fold, 9, 9, "no note");
        CHECK_FALSE(isSnapshotWanted(times, fold, start + hours(9)));
    }
}

TEST_CASE("readInterval: few nodes read the stream often")
{
    ReaderView view{.rankInDataCentre = 2, .lastHeardFromPeer = start, .hasGap = false};
    CHECK(readInterval(view, start) == readerInterval);

    view.rankInDataCentre = 3;
    CHECK(readInterval(view, start) == listenerInterval);

    SUBCASE("nodes that hear from no peer read often")
    {
        CHECK(readInterval(view, start + peerSilenceLimit) == readerInterval);
        view.lastHeardFromPeer.reset();
        CHECK(readInterval(view, start) == readerInterval);
    }

    SUBCASE("nodes that miss records read often")
    {
        view.hasGap = true;
        CHECK(readInterval(view, start) == readerInterval);
    }
}
