#pragma once

#include <LibCore/Clock.h>
#include <LibNode/Messages.h>

#include <cstddef>
#include <span>
#include <string_view>

/// Decides which nodes ask the store whether anything has changed, beside their waiting reads. The
/// answer to a waiting read can be lost, and the read then looks as if nothing had changed. Nodes
/// tell each other when the store last answered, so usually a single node of the mesh asks. The
/// rate of these calls depends neither on the number of nodes nor on the load.
namespace chive {

/// When the newest version was last known to be the one in force, and when this node last asked.
struct StoreChecks
{
    TimePoint confirmedAt; ///< By an answer to this node or to a peer.
    TimePoint checkedAt;
};

/// The number of alive members that ask before this node does, 0 for the first. Node names often
/// follow the data centres, so the order is that of the digests of the names.
[[nodiscard]] std::size_t storeCheckRank(std::span<const Member> members, std::string_view nodeId);

/// How long a node of this rank goes without an answer of the store to anyone before it asks.
[[nodiscard]] Milliseconds storeCheckInterval(std::size_t rank);

/// Whether neither an answer to anyone nor a check of this node lies within its interval.
[[nodiscard]] bool isStoreCheckDue(const StoreChecks &checks, std::size_t rank, TimePoint now);

} // namespace chive
