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

/// The position of a member on each ring.
using RingPositions = std::array<std::uint64_t, ringCount>;

/// The ring positions of a node: pseudorandom, and the same on every node.
[[nodiscard]] RingPositions ringPositions(std::string_view nodeId);

/// A candidate for chooseNeighbours().
struct RingMember
{
    std::string_view nodeId;
    const RingPositions *positions = nullptr;
};

/// The members with which a node exchanges control messages.
struct Neighbours
{
    std::vector<std::string> observed; ///< Probed by this node: its successor on each ring.
    std::vector<std::string> all;      ///< Successors and predecessors, which receive gossip.
};

/// Chooses the neighbours of a node from `others`, which must not include it. The members are
/// placed on several pseudorandom rings and each probes its successor on every ring. This gives
/// each member `ringCount` observers and bounds the number of links of a node, however many members
/// there are (Suresh et al., "Stable and Consistent Membership at Scale with Rapid", USENIX ATC
/// 2018, section 4.1). In a small mesh, all other members are neighbours.
[[nodiscard]] Neighbours chooseNeighbours(const RingPositions &own,
                                          std::span<const RingMember> others);

} // namespace chive
