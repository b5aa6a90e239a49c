#include <LibPolicy/StoreChecks.h>

#include <LibCore/Identifier.h>

#include <algorithm>

namespace chive {

namespace {

constexpr Milliseconds shortestInterval{750};
/// Added for each rank. An answer is known throughout the mesh before many ranks have passed, and
/// while the store is away few nodes ask.
constexpr Milliseconds intervalPerRank{500};

} // namespace

std::size_t storeCheckRank(std::span<const Member> members, std::string_view nodeId)
{
    const std::string own = digest(nodeId);
    return static_cast<std::size_t>(std::ranges::count_if(members, [&](const Member &member) {
        return member.state == MemberState::Alive && member.nodeId != nodeId
               && digest(member.nodeId) < own;
    }));
}

Milliseconds storeCheckInterval(std::size_t rank)
{
    return shortestInterval + intervalPerRank * static_cast<Milliseconds::rep>(rank);
}

bool isStoreCheckDue(const StoreChecks &checks, std::size_t rank, TimePoint now)
{
    return now - std::max(checks.confirmedAt, checks.checkedAt) >= storeCheckInterval(rank);
}

} // namespace chive
