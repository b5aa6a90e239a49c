#include <LibPolicy/StoreChecks.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace chive;

namespace {

std::vector<Member> membersOf(std::size_t count)
{
    std::vector<Member> members(count);
    for (std::size_t i = 0; i < count; ++i)
        members[i].nodeId = "node-" + std::to_string(i);
    return members;
}

constexpr Milliseconds announcementInterval{250};
constexpr Milliseconds step{50}; ///< Longer than a call to the store or a message takes.
constexpr std::size_t peersPerRound = 2;

/// Nodes that check the store and tell each other of its answers, in steps of time.
struct Mesh
{
    struct Node
    {
        StoreChecks checks;
        std::size_t rank = 0;
        bool reachesStore = true;
        bool knowsChange = false;
    };

    std::vector<Node> nodes;
    TimePoint now{std::chrono::hours(1)};
    bool isStoreAway = false;
    bool isChanged = false; ///< The store has a change that no waiting read reported.
    std::size_t calls = 0;
    std::minstd_rand random{1};

    explicit Mesh(std::size_t count)
        : nodes(count)
    {
        const std::vector<Member> members = membersOf(count);
        for (std::size_t i = 0; i < count; ++i) {
            nodes[i].rank = storeCheckRank(members, members[i].nodeId);
            nodes[i].checks = {now, now};
        }
    }

    void runFor(Milliseconds time)
    {
        const TimePoint end = now + time;
        for (; now < end; now += step) {
            const std::vector<Node> before = nodes;
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                const std::size_t phase = i % static_cast<std::size_t>(announcementInterval / step);
                if ((now.time_since_epoch() / step) % (announcementInterval / step)
                    != static_cast<std::int64_t>(phase))
                    continue;
                check(nodes[i]);
                announce(before[i]);
            }
        }
    }

    void check(Node &node)
    {
        if (!isStoreCheckDue(node.checks, node.rank, now))
            return;
        node.checks.checkedAt = now;
        ++calls;
        if (isStoreAway || !node.reachesStore)
            return;
        node.checks.confirmedAt = now;
        node.knowsChange = node.knowsChange || isChanged;
    }

    void announce(const Node &node)
    {
        for (std::size_t i = 0; i < peersPerRound; ++i) {
            Node &peer = nodes[random() % nodes.size()];
            // A confirmation is about the version that the sender has.
            if (node.knowsChange == peer.knowsChange)
                peer.checks.confirmedAt
                        = std::max(peer.checks.confirmedAt, node.checks.confirmedAt);
            peer.knowsChange = peer.knowsChange || node.knowsChange;
        }
    }

    [[nodiscard]] bool isChangeKnownToAll() const
    {
        return std::ranges::all_of(nodes, &Node::knowsChange);
    }
};

} // namespace

TEST_CASE("Every alive member has a rank of its own in checking the store")
{
    std::vector<Member> members = membersOf(50);
    const auto ranks = [&] {
        std::set<std::size_t> found;
        for (const Member &member : members) {
            if (member.state == MemberState::Alive)
                found.insert(storeCheckRank(members, member.nodeId));
        }
        return found;
    };
    CHECK(ranks().size() == 50);
    CHECK(*ranks().rbegin() == 49);

    SUBCASE("and those behind a dead one move up")
    {
        const auto first = std::ranges::find_if(members, [&](const Member &member) {
            return storeCheckRank(members, member.nodeId) == 0;
        });
        first->state = MemberState::Dead;
        CHECK(ranks().size() == 49);
        CHECK(*ranks().begin() == 0);
        CHECK(*ranks().rbegin() == 48);
    }
}

TEST_CASE("A check is due once neither an answer nor an earlier check is recent")
{
    const TimePoint start{std::chrono::hours(1)};
    for (const std::size_t rank : {0U, 1U, 7U}) {
        CAPTURE(rank);
        const Milliseconds interval = storeCheckInterval(rank);
        CHECK_FALSE(isStoreCheckDue({start, {}}, rank, start + interval - Milliseconds(1)));
        CHECK(isStoreCheckDue({start, {}}, rank, start + interval));
        CHECK_FALSE(isStoreCheckDue({{}, start}, rank, start + interval - Milliseconds(1)));
        CHECK(isStoreCheckDue({{}, start}, rank, start + interval));
        CHECK(storeCheckInterval(rank) < storeCheckInterval(rank + 1));
    }
}

TEST_CASE("Nodes that check the store in turn")
{
    constexpr Milliseconds minute{60'000};
    constexpr Milliseconds contact{3'000}; ///< `contactS` of the sites.
    for (const std::size_t count : {1U, 17U, 89U, 196U}) {
        CAPTURE(count);
        Mesh mesh(count);

        SUBCASE("make few calls, however many they are")
        {
            mesh.runFor(minute);
            CHECK(mesh.calls <= 180);
        }

        SUBCASE("make few calls while it is away")
        {
            mesh.isStoreAway = true;
            mesh.runFor(Milliseconds(9'000));
            CHECK(mesh.calls <= 90);
        }

        SUBCASE("know a missed change soon after its return")
        {
            mesh.runFor(minute);
            mesh.isStoreAway = true;
            mesh.isChanged = true;
            mesh.runFor(Milliseconds(4'500));
            mesh.isStoreAway = false;
            mesh.runFor(contact);
            CHECK(mesh.isChangeKnownToAll());
        }

        SUBCASE("take the place of those that do not reach it")
        {
            if (count == 1)
                continue;
            for (Mesh::Node &node : mesh.nodes)
                node.reachesStore = node.rank >= 3;
            mesh.runFor(minute);
            const Milliseconds longest = storeCheckInterval(4);
            const bool isConfirmed = std::ranges::all_of(mesh.nodes, [&](const Mesh::Node &node) {
                return mesh.now - node.checks.confirmedAt < longest + contact;
            });
            CHECK(isConfirmed);
        }
    }
}
