#include <LibQuota/Allocators.h>
#include <LibQuota/ContactShare.h>
#include <LibQuota/QuotaCounts.h>

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

using namespace chive;

namespace {

const TimePoint start{std::chrono::hours(100)};

std::vector<Member> membersOf(std::size_t count)
{
    std::vector<Member> members(count);
    for (std::size_t i = 0; i < count; ++i) {
        members[i].nodeId = "node-" + std::to_string(i);
        members[i].links = {"127.0.0.1", static_cast<std::uint16_t>(10'000 + i)};
    }
    return members;
}

std::string customerName(int number)
{
    return "customer-" + std::to_string(number);
}

} // namespace

// Guards against nodes that disagree on who lends the tokens of a customer.
TEST_CASE("Choice of the allocators")
{
    SUBCASE("takes two, or one in 32 members")
    {
        CHECK(allocatorsOf(membersOf(1)).size() == 1);
        CHECK(allocatorsOf(membersOf(5)).size() == 2);
        CHECK(allocatorsOf(membersOf(87)).size() == 2);
        CHECK(allocatorsOf(membersOf(890)).size() == 27);
        CHECK(allocatorOf("northwind", {}) == nullptr);
    }

    SUBCASE("does not depend on the order of the list")
    {
        std::vector<Member> members = membersOf(87);
        const std::vector<Member> allocators = allocatorsOf(members);
        std::ranges::reverse(members);
        CHECK(allocatorsOf(members) == allocators);
    }

    SUBCASE("takes neither leaving nor dead members, and suspects only for want of others")
    {
        std::vector<Member> members = membersOf(4);
        members[0].state = MemberState::Leaving;
        members[1].state = MemberState::Dead;
        members[2].state = MemberState::Suspect;
        const std::vector<Member> allocators = allocatorsOf(members);
        REQUIRE(allocators.size() == 2);
        CHECK(allocators[0].nodeId == "node-3");
        CHECK(allocators[1].nodeId == "node-2");
    }

    SUBCASE("moves only the customers of an allocator that goes, and spreads them")
    {
        const std::vector<Member> before = allocatorsOf(membersOf(890));
        std::vector<Member> after = before;
        after.pop_back();
        std::map<std::string, int> counts;
        for (int i = 0; i < 5'000; ++i) {
            const Member *old = allocatorOf(customerName(i), before);
            ++counts[old->nodeId];
            if (old->nodeId != before.back().nodeId)
                CHECK(allocatorOf(customerName(i), after)->nodeId == old->nodeId);
        }
        for (const auto &[nodeId, count] : counts)
            CHECK(count < 2 * 5'000 / 27);
    }
}

// Guards against the sides of a partition that refill their buckets at the whole rate each.
TEST_CASE("Share of the known members that is alive")
{
    KnownMembers known;
    std::vector<Member> members = membersOf(9);
    known.setMembers(members, start);
    CHECK(known.aliveShare(start) == 1.0);

    SUBCASE("counts lost members for a minute")
    {
        members.resize(6);
        known.setMembers(members, start);
        CHECK(known.aliveShare(start + std::chrono::seconds(59)) == doctest::Approx(6.0 / 9));
        CHECK(known.aliveShare(start + std::chrono::seconds(61)) == 1.0);
    }

    SUBCASE("does not count suspects as alive")
    {
        members[0].state = MemberState::Suspect;
        known.setMembers(members, start);
        CHECK(known.aliveShare(start) == doctest::Approx(8.0 / 9));
    }

    SUBCASE("leaves out members that left")
    {
        members[0].state = MemberState::Leaving;
        known.setMembers(members, start);
        members.erase(members.begin());
        known.setMembers(members, start);
        CHECK(known.aliveShare(start) == 1.0);
    }

    SUBCASE("counts registered nodes that a new process does not know yet")
    {
        KnownMembers fresh;
        fresh.setMembers(membersOf(1), start);
        for (const Member &member : members)
            fresh.noteContact(member.links, start);
        CHECK(fresh.aliveShare(start) == doctest::Approx(1.0 / 9));
        CHECK(fresh.aliveShare(start + std::chrono::seconds(11)) == 1.0);
    }
}

// Guards against an allocator that lends for members it has lost contact with.
TEST_CASE("Share of the members in contact")
{
    ContactShare contact(1);
    std::vector<Endpoint> others;
    for (const Member &member : membersOf(9))
        others.push_back(member.links);
    contact.setMembers(others);
    CHECK_FALSE(contact.share(start).has_value());
    contact.advance(start);
    CHECK(contact.takeProbes().size() == 9);
    CHECK(contact.takeProbes().empty());
    for (int i = 0; i < 4; ++i)
        contact.noteEcho(contact.round());
    CHECK_FALSE(contact.share(start + Milliseconds(10)).has_value());
    CHECK(contact.share(start + Milliseconds(50)) == doctest::Approx(0.5));

    SUBCASE("survives one round that is late")
    {
        contact.advance(start + Milliseconds(400));
        CHECK(contact.share(start + Milliseconds(500)) == doctest::Approx(0.5));
        contact.advance(start + Milliseconds(800));
        CHECK(contact.share(start + Milliseconds(900)) == doctest::Approx(0.1));
    }

    SUBCASE("ignores echoes of unknown rounds and more than were probed")
    {
        contact.noteEcho(77);
        CHECK(contact.share(start + Milliseconds(50)) == doctest::Approx(0.5));
        for (int i = 0; i < 40; ++i)
            contact.noteEcho(contact.round());
        CHECK(contact.share(start + Milliseconds(50)) == 1.0);
    }

    SUBCASE("probes a sample of many members")
    {
        ContactShare large(1);
        large.setMembers(std::vector<Endpoint>(890, Endpoint{"127.0.0.1", 1}));
        large.advance(start);
        CHECK(large.takeProbes().size() == 128);
    }
}

// Guards against metrics and status reports that grow with the number of customers.
TEST_CASE("Counts of the decisions for each customer")
{
    QuotaCounts counts;
    std::set<std::string, std::less<>> labels;
    for (int i = 0; i < 20'000; ++i) {
        const std::string name = i % 2 == 0 ? "large" : customerName(i);
        counts.note(name, i % 4 != 0);
        labels.emplace(counts.labelOf(name));
    }
    CHECK(labels.contains("large"));
    CHECK(labels.contains("others"));
    CHECK(labels.size() <= 17);
    const auto largest = counts.largest(16);
    REQUIRE(largest.size() == 16);
    CHECK(largest.front().first == "large");
    CHECK(largest.front().second.granted == 5'000);
    CHECK(largest.front().second.refused == 5'000);
    CHECK(counts.largest(1'000).size() == 64);
}
