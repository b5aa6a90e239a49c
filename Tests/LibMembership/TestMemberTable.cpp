#include <LibMembership/DeltaQueue.h>
#include <LibMembership/MemberTable.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace chive;

namespace {

Member member(const std::string &nodeId, std::uint64_t incarnation, MemberState state)
{
    // The last character of the id makes the endpoint unique.
    const auto port = static_cast<std::uint16_t>(7'000 + nodeId.back());
    return {nodeId, incarnation, {"10.0.0.1", port}, "pokhara", "west", "ledger", state};
}

MemberState stateOf(const MemberTable &table, std::string_view nodeId)
{
    const MemberRecord *record = table.find(nodeId);
    REQUIRE(record != nullptr);
    return record->member.state;
}

} // namespace

TEST_CASE("A table of members merges claims")
{
    const TimePoint now{std::chrono::hours(1)};
    MemberTable table(member("a", 10, MemberState::Alive), MemberRetention{});
    REQUIRE(table.merge(member("b", 10, MemberState::Alive), now) == MergeResult::Updated);

    SUBCASE("an older incarnation changes nothing")
    {
        CHECK(table.merge(member("b", 9, MemberState::Leaving), now) == MergeResult::Ignored);
        CHECK(stateOf(table, "b") == MemberState::Alive);
    }

    SUBCASE("a suspicion is accepted and the same incarnation cannot end it")
    {
        CHECK(table.merge(member("b", 10, MemberState::Suspect), now) == MergeResult::Updated);
        CHECK(table.merge(member("b", 10, MemberState::Alive), now) == MergeResult::Ignored);
        CHECK(stateOf(table, "b") == MemberState::Suspect);

        SUBCASE("a higher incarnation refutes it")
        {
            CHECK(table.merge(member("b", 11, MemberState::Alive), now) == MergeResult::Updated);
            CHECK(table.expire(now + std::chrono::hours(1)).empty());
            CHECK(stateOf(table, "b") == MemberState::Alive);
        }

        SUBCASE("without refutation the member dies but is not forgotten")
        {
            CHECK(table.expire(now + Milliseconds(4'000)).size() == 1);
            CHECK(stateOf(table, "b") == MemberState::Dead);
            CHECK(table.present().size() == 1);
        }

        SUBCASE("a pause of this process postpones the death")
        {
            table.postpone(Milliseconds(2'000));
            CHECK(table.expire(now + Milliseconds(4'000)).empty());
        }
    }

    SUBCASE("a claim of a death requests a probe and does not mark the member dead")
    {
        CHECK(table.merge(member("b", 10, MemberState::Dead), now) == MergeResult::ProbeWanted);
        CHECK(stateOf(table, "b") == MemberState::Alive);
    }

    SUBCASE("a leaving member stays leaving while it is suspected")
    {
        CHECK(table.merge(member("b", 11, MemberState::Leaving), now) == MergeResult::Updated);
        CHECK(table.suspect("b", now));
        CHECK(table.merge(member("b", 11, MemberState::Suspect), now) == MergeResult::Ignored);
        CHECK(stateOf(table, "b") == MemberState::Leaving);

        SUBCASE("and a claim of its death is accepted")
        {
            CHECK(table.merge(member("b", 12, MemberState::Dead), now) == MergeResult::Updated);
            CHECK(stateOf(table, "b") == MemberState::Dead);
            CHECK(table.merge(member("b", 12, MemberState::Leaving), now) == MergeResult::Ignored);
        }
    }

    SUBCASE("a suspicion of this node must be refuted")
    {
        CHECK(table.merge(member("a", 10, MemberState::Suspect), now) == MergeResult::AboutSelf);
        table.replaceSelf(table.self(), 10);
        CHECK(table.self().incarnation == 11);
        CHECK(table.merge(member("a", 10, MemberState::Suspect), now) == MergeResult::Ignored);
    }

    SUBCASE("a node at the address of an older one replaces it")
    {
        Member replacement = member("b", 20, MemberState::Alive);
        replacement.nodeId = "c";
        CHECK(table.merge(replacement, now) == MergeResult::Updated);
        CHECK(table.find("b") == nullptr);
        CHECK(table.merge(member("b", 10, MemberState::Alive), now) == MergeResult::Ignored);
    }

    SUBCASE("the death of an unknown member is not recorded")
    {
        CHECK(table.merge(member("d", 1, MemberState::Dead), now) == MergeResult::Ignored);
        CHECK(table.find("d") == nullptr);
    }

    SUBCASE("a tombstone is dropped after a day")
    {
        CHECK(table.suspect("b", now));
        CHECK(table.expire(now + std::chrono::hours(1)).size() == 1);
        CHECK(table.expire(now + std::chrono::hours(26)).empty());
        CHECK(table.find("b") == nullptr);
    }
}

TEST_CASE("Tables that merged the same claims agree, in whichever order")
{
    const TimePoint now{std::chrono::hours(1)};
    const bool isTrue = rc::check("order does not matter", [&] {
        using Claim = std::pair<std::uint64_t, int>;
        const auto claims = *rc::gen::container<std::vector<Claim>>(
                rc::gen::pair(rc::gen::inRange<std::uint64_t>(1, 5), rc::gen::inRange(0, 3)));
        const auto fill = [&](auto begin, auto end) {
            MemberTable table(member("a", 1, MemberState::Alive), MemberRetention{});
            for (auto claim = begin; claim != end; ++claim) {
                const auto state = static_cast<MemberState>(claim->second);
                static_cast<void>(table.merge(member("b", claim->first, state), now));
            }
            return table.digests();
        };
        RC_ASSERT(fill(claims.begin(), claims.end()) == fill(claims.rbegin(), claims.rend()));
    });
    CHECK(isTrue);
}

TEST_CASE("A delta is sent a bounded number of times")
{
    DeltaQueue queue;
    queue.push("a");
    queue.push("b");
    const std::uint32_t transmissions = transmissionsFor(890);
    CHECK(transmissions == 12);

    SUBCASE("each as often as the others")
    {
        for (std::uint32_t sent = 0; sent < 2 * transmissions; ++sent)
            CHECK(queue.take(1, transmissions).size() == 1);
        CHECK(queue.isEmpty());
    }

    SUBCASE("and again after another change")
    {
        static_cast<void>(queue.take(2, 2));
        queue.push("a");
        CHECK(queue.take(1, 2) == std::vector<std::string>{"a"});
        CHECK(queue.take(2, 2).size() == 2);
        CHECK(queue.isEmpty());
    }
}
