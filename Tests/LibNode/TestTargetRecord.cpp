#include <LibNode/TargetRecord.h>

#include <doctest/doctest.h>

using namespace chive;

namespace {

constexpr Milliseconds lease{6'000};
constexpr TimePoint start{Milliseconds(100'000)};

Announcement ready(std::uint64_t sequence)
{
    Announcement announcement;
    announcement.service = "s";
    announcement.endpoint = {"127.0.0.1", 8080};
    announcement.slots = 4;
    announcement.targetId = "i-1";
    announcement.startedAt = 1'000;
    announcement.sequence = sequence;
    return announcement;
}

Announcement draining(std::uint64_t sequence)
{
    Announcement announcement = ready(sequence);
    announcement.isDraining = true;
    return announcement;
}

bool isUsed(const TargetRecord &record)
{
    return record.isPresent && !record.held->isDraining;
}

} // namespace

TEST_CASE("A target is used while it announces itself")
{
    TargetRecord record;
    REQUIRE(applyAnnouncement(record, ready(15), start) == AnnouncementEffect::Begun);
    REQUIRE(isUsed(record));
    CHECK(applyAnnouncement(record, ready(16), start + Milliseconds(1'500))
          == AnnouncementEffect::Refreshed);

    SUBCASE("changes of its slots are seen, late ones are not")
    {
        Announcement larger = ready(17);
        larger.slots = 8;
        CHECK(applyAnnouncement(record, larger, start) == AnnouncementEffect::Changed);
        CHECK(applyAnnouncement(record, ready(16), start) == AnnouncementEffect::None);
        CHECK(record.held->slots == 8);
    }
    SUBCASE("not once its lease has ended, until it announces itself again")
    {
        const TimePoint later = start + lease + Milliseconds(1'500);
        CHECK_FALSE(endLease(record, lease, later - Milliseconds(1), false));
        CHECK_FALSE(endLease(record, lease, later, true));
        CHECK(endLease(record, lease, later, false));
        CHECK_FALSE(isUsed(record));
        CHECK_FALSE(endLease(record, lease, later, false));
        CHECK(applyAnnouncement(record, ready(20), later) == AnnouncementEffect::Begun);
        CHECK(isUsed(record));
    }
    SUBCASE("another start takes its place")
    {
        Announcement next = ready(1);
        next.startedAt = 2'000;
        CHECK(applyAnnouncement(record, next, start) == AnnouncementEffect::Begun);
        CHECK(applyAnnouncement(record, ready(30), start) == AnnouncementEffect::None);
        CHECK(record.held->startedAt == 2'000);
    }
}

TEST_CASE("A late announcement brings back a target that has left")
{
    TargetRecord record;
    applyAnnouncement(record, ready(15), start);

    SUBCASE("after it deregistered")
    {
        REQUIRE(applyDeparture(record, "i-1"));
        SUBCASE("within its lease") {}
        SUBCASE("after its lease")
        {
            REQUIRE(endLease(record, lease, start + lease, false));
        }
    }
    SUBCASE("after it deregistered when its lease had ended")
    {
        REQUIRE(endLease(record, lease, start + lease, false));
        REQUIRE(applyDeparture(record, "i-1"));
    }
    SUBCASE("after it said that it drains")
    {
        applyAnnouncement(record, draining(18), start);
        SUBCASE("within its lease") {}
        SUBCASE("after its lease")
        {
            REQUIRE(endLease(record, lease, start + lease, false));
        }
    }
    CHECK(applyAnnouncement(record, ready(16), start + lease) == AnnouncementEffect::None);
    CHECK_FALSE(isUsed(record));

    Announcement laterStart = ready(1);
    laterStart.startedAt = 2'000;
    CHECK(applyAnnouncement(record, laterStart, start + lease) == AnnouncementEffect::Begun);
    CHECK(isUsed(record));
}
