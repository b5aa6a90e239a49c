#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

inline constexpr std::size_t ringCount = 8;

/// Where a member stands on each ring.
using RingPositions = std::array<std::uint64_t, ringCount>;

/// Pseudorandom and the same on every node.
[[nodiscard]] RingPositions ringPositions(std::string_view nodeId);

/// A member that may become a neighbour.
struct RingMember
{
    std::string_view nodeId;
    const RingPositions *positions = nullptr;
};

/// The few members that a node exchanges control messages with.
struct Neighbours
{
    std::vector<std::string> observed; ///< Probed by this node: its successor on each ring.
    std::vector<std::string> all;      ///< Successors and predecessors: gossip goes to these.
};

/// Chooses the neighbours of a node among `others`, which do not include it. The members stand on
/// several pseudorandom rings and each probes its successor on each, which gives every member
/// `ringCount` observers and a node a bounded number of links, however many members there are
/// (Suresh et al., "Stable and Consistent Membership at Scale with Rapid", USENIX ATC 2018,
/// section 4.1). With few members all others are neighbours.
[[nodiscard]] Neighbours chooseNeighbours(const RingPositions &own,
                                          std::span<const RingMember> others);

} // namespace chive
