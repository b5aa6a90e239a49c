#include "SimulatedLog.h"

#include <LibOnce/StreamFold.h>

#include <doctest/doctest.h>

using namespace chive;
using chive::test::SimulatedLog;

namespace {

constexpr Milliseconds lifetime{80'000};
const TimePoint start{std::chrono::hours(1)};

std::string intentOf(const std::string &key)
{
    OnceBatch batch;
    batch.holder = 1;
    batch.intents = {{digestOfKey(key), 1, 1, 0}};
    return encodeOnceRecord(batch);
}

void appendSnapshot(SimulatedLog &log, const StreamFold &fold)
{
    for (const SnapshotPart &part : makeSnapshot(fold.table(), 5, fold.nextOffset(), start))
        log.append(encodeOnceRecord(part));
}

} // namespace

TEST_CASE("StreamFold: completeness of the key table")
{
    SimulatedLog log;
    for (const char *key : {"a", "b", "c"})
        log.append(intentOf(key));
    StreamFold old(lifetime);
    old.handlePage(log.read(0), start);

    SUBCASE("it is complete after reading from offset 0")
    {
        CHECK(old.isComplete());
        CHECK(old.table().size() == 3);
        CHECK_FALSE(old.isSnapshotMissing());
    }

    SUBCASE("it is incomplete if records expired before the first read")
    {
        log.retainFrom(2);
        old.handlePage(log.read(3), start);
        CHECK(old.isSnapshotMissing());
        StreamFold fresh(lifetime);
        fresh.handlePage(log.read(0), start);
        CHECK_FALSE(fresh.isComplete());

        SUBCASE("it is complete after reading a snapshot")
        {
            log.append(intentOf("d"));
            appendSnapshot(log, old);
            log.append(intentOf("e"));
            const auto progress = fresh.handlePage(log.read(3), start);
            CHECK(fresh.isComplete());
            REQUIRE(progress.seekOffset == 3);
            fresh.handlePage(log.read(3), start);
            CHECK(fresh.lag() == 0);
            CHECK(fresh.table().size() == 5);
            CHECK_FALSE(fresh.isSnapshotMissing());
        }

        SUBCASE("it is complete after reading without a gap for one key lifetime")
        {
            fresh.handlePage(log.read(3), start + lifetime - Milliseconds(1));
            CHECK_FALSE(fresh.isComplete());
            fresh.handlePage(log.read(3), start + lifetime);
            CHECK(fresh.isComplete());
        }
    }

    SUBCASE("it is incomplete if unread records expired during a pause")
    {
        log.append(intentOf("d"));
        log.retainFrom(4);
        old.handlePage(log.read(3), start);
        CHECK_FALSE(old.isComplete());
        CHECK(old.table().size() == 3);
    }

    SUBCASE("it is incomplete if the log lost records")
    {
        log.records.pop_back();
        old.handlePage(log.read(3), start);
        CHECK_FALSE(old.isComplete());
    }
}

TEST_CASE("StreamFold: a snapshot is loaded only if the records after it are retained")
{
    SimulatedLog log;
    log.append(intentOf("a"));
    StreamFold old(lifetime);
    old.handlePage(log.read(0), start);
    appendSnapshot(log, old);
    log.append(intentOf("b"));
    StreamFold fresh(lifetime);

    SUBCASE("they are retained")
    {
        log.retainFrom(1);
        fresh.handlePage(log.read(0), start);
        CHECK(fresh.isComplete());
    }

    SUBCASE("one of them has expired")
    {
        log.retainFrom(2);
        fresh.handlePage(log.read(0), start);
        CHECK_FALSE(fresh.isComplete());
    }
}

TEST_CASE("StreamFold: a page that skips records is read again from the gap")
{
    SimulatedLog log;
    for (const char *key : {"a", "b", "c"})
        log.append(intentOf(key));
    StreamFold fold(lifetime);
    fold.handlePage(log.read(0, 1), start);
    const auto progress = fold.handlePage(log.read(2), start);
    CHECK(progress.seekOffset == 1);
    CHECK(fold.nextOffset() == 1);
    CHECK(fold.isComplete());
}
