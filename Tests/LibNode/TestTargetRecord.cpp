#include <LibNode/TargetRecord.h>

#include <doctest/doctest.h>

using namespace chive;

namespace {

constexpr Milliseconds lease{6'000};
constexpr Milliseconds heartbeatInterval{1'500};
constexpr TargetRules rules{lease, true};
/// Of a dialect whose targets cannot be asked.
constexpr TargetRules rulesWithoutCheck{lease, false};
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
    REQUIRE(applyAnnouncement(record, ready(15), rulesWithoutCheck, start)
            == AnnouncementEffect::Begun);
    REQUIRE(isUsed(record));
    CHECK(applyAnnouncement(record, ready(16), rulesWithoutCheck, start + Milliseconds(1'500))
          == AnnouncementEffect::Refreshed);

    SUBCASE("changes of its slots are seen, late ones are not")
    {
        Announcement larger = ready(17);
        larger.slots = 8;
        CHECK(applyAnnouncement(record, larger, rulesWithoutCheck, start)
              == AnnouncementEffect::Changed);
        CHECK(applyAnnouncement(record, ready(16), rulesWithoutCheck, start)
              == AnnouncementEffect::None);
        CHECK(record.held->slots == 8);
    }
    SUBCASE("not once its lease has ended, until it announces itself again")
    {
        const TimePoint later = start + lease + Milliseconds(1'500);
        CHECK_FALSE(endLeases(record, rulesWithoutCheck, later - Milliseconds(1), false));
        CHECK_FALSE(endLeases(record, rulesWithoutCheck, later, true));
        CHECK(endLeases(record, rulesWithoutCheck, later, false));
        CHECK_FALSE(isUsed(record));
        CHECK_FALSE(endLeases(record, rulesWithoutCheck, later, false));
        CHECK(applyAnnouncement(record, ready(20), rulesWithoutCheck, later)
              == AnnouncementEffect::Begun);
        CHECK(isUsed(record));
    }
    SUBCASE("another start takes its place")
    {
        Announcement next = ready(1);
        next.startedAt = 2'000;
        CHECK(applyAnnouncement(record, next, rulesWithoutCheck, start)
              == AnnouncementEffect::Begun);
        CHECK(applyAnnouncement(record, ready(30), rulesWithoutCheck, start)
              == AnnouncementEffect::Rejected);
        CHECK(record.held->startedAt == 2'000);
    }
}

TEST_CASE("A late announcement brings back a target that has left")
{
    TargetRecord record;
    applyAnnouncement(record, ready(15), rulesWithoutCheck, start);

    SUBCASE("after it deregistered")
    {
        REQUIRE(applyDeparture(record, "i-1"));
        SUBCASE("within its lease") {}
        SUBCASE("after its lease")
        {
            REQUIRE(endLeases(record, rulesWithoutCheck, start + lease, false));
        }
    }
    SUBCASE("after it deregistered when its lease had ended")
    {
        REQUIRE(endLeases(record, rulesWithoutCheck, start + lease, false));
        REQUIRE(applyDeparture(record, "i-1"));
    }
    SUBCASE("after it said that it drains")
    {
        applyAnnouncement(record, draining(18), rulesWithoutCheck, start);
        SUBCASE("within its lease") {}
        SUBCASE("after its lease")
        {
            REQUIRE(endLeases(record, rulesWithoutCheck, start + lease, false));
        }
    }
    CHECK(applyAnnouncement(record, ready(16), rulesWithoutCheck, start + lease)
          == AnnouncementEffect::None);
    CHECK_FALSE(isUsed(record));

    Announcement laterStart = ready(1);
    laterStart.startedAt = 2'000;
    CHECK(applyAnnouncement(record, laterStart, rulesWithoutCheck, start + lease)
          == AnnouncementEffect::Begun);
    CHECK(isUsed(record));
}

TEST_CASE("A target of which only a late announcement is known is used")
{
    TargetRecord record;
    REQUIRE(applyAnnouncement(record, ready(15), rules, start) == AnnouncementEffect::Awaiting);
    REQUIRE_FALSE(isUsed(record));

    SUBCASE("only once it has confirmed that it serves")
    {
        CHECK(applyAnnouncement(record, ready(16), rules, start + heartbeatInterval)
              == AnnouncementEffect::Refreshed);
        CHECK_FALSE(isUsed(record));
        confirmCandidate(record);
        CHECK(isUsed(record));
        CHECK(record.held->sequence == 16);
        CHECK(record.heardAt == start + heartbeatInterval);
    }
    SUBCASE("not after it said that it leaves")
    {
        SUBCASE("by deregistering")
        {
            REQUIRE(applyDeparture(record, "i-1"));
        }
        SUBCASE("by draining")
        {
            REQUIRE(applyAnnouncement(record, draining(18), rules, start)
                    == AnnouncementEffect::Begun);
        }
        CHECK_FALSE(record.candidate.has_value());
        CHECK(applyAnnouncement(record, ready(17), rules, start) == AnnouncementEffect::None);
        CHECK_FALSE(isUsed(record));
    }
    SUBCASE("not when it falls silent")
    {
        CHECK_FALSE(endLeases(record, rules, start + lease, false));
        CHECK_FALSE(record.candidate.has_value());
    }
    SUBCASE("when its announcements go on for a whole lease, whatever its health check says")
    {
        std::uint64_t sequence = 16;
        for (Milliseconds after = heartbeatInterval; after < lease; after += heartbeatInterval)
            CHECK(applyAnnouncement(record, ready(sequence++), rules, start + after)
                  == AnnouncementEffect::Refreshed);
        CHECK(applyAnnouncement(record, ready(sequence), rules, start + lease)
              == AnnouncementEffect::Begun);
        CHECK(isUsed(record));
    }
    SUBCASE("and the start before it stays in use until then")
    {
        confirmCandidate(record);
        Announcement next = ready(1);
        next.startedAt = 2'000;
        CHECK(applyAnnouncement(record, next, rules, start) == AnnouncementEffect::Awaiting);
        CHECK(isUsed(record));
        CHECK(record.held->startedAt == 1'000);
        confirmCandidate(record);
        CHECK(record.held->startedAt == 2'000);
    }
}

TEST_CASE("A departure is acknowledged and ignored because its start seems earlier")
{
    TargetRecord record;
    applyAnnouncement(record, ready(15), rules, start);
    confirmCandidate(record);
    Announcement restarted = draining(2);
    restarted.startedAt = 500;

    SUBCASE("it is not acknowledged while the held start may still announce itself")
    {
        CHECK(applyAnnouncement(record, restarted, rules, start + heartbeatInterval)
              == AnnouncementEffect::Rejected);
        CHECK(isUsed(record));
    }
    SUBCASE("it counts once the held start is silent")
    {
        CHECK(applyAnnouncement(record, restarted, rules, start + lease / 2)
              == AnnouncementEffect::Begun);
        CHECK_FALSE(isUsed(record));
    }
    SUBCASE("the id alone is enough for a departure")
    {
        CHECK(applyDeparture(record, "i-1"));
        CHECK_FALSE(isUsed(record));
    }
}
