#include <LibMembership/Rings.h>

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chive {

namespace {

void addOnce(std::vector<std::string> &list, std::string_view nodeId)
{
    if (std::find(list.begin(), list.end(), nodeId) == list.end())
        list.emplace_back(nodeId);
}

/// The distance upwards from one position to another, wrapping around at the top.
std::uint64_t distanceUp(std::uint64_t from, std::uint64_t to)
{
    return to - from;
}

} // namespace

RingPositions ringPositions(std::string_view nodeId)
{
    RingPositions positions{};
    for (std::size_t ring = 0; ring < ringCount; ++ring)
        positions[ring] = XXH3_64bits_withSeed(nodeId.data(), nodeId.size(), ring);
    return positions;
}

Neighbours chooseNeighbours(const RingPositions &own, std::span<const RingMember> others)
{
    Neighbours neighbours;
    if (others.size() <= 2 * ringCount) {
        for (const RingMember &member : others)
            neighbours.all.emplace_back(member.nodeId);
        neighbours.observed = neighbours.all;
        return neighbours;
    }
    for (std::size_t ring = 0; ring < ringCount; ++ring) {
        const auto isCloser = [&](const RingMember &a, const RingMember &b) {
            return distanceUp(own[ring], (*a.positions)[ring])
                   < distanceUp(own[ring], (*b.positions)[ring]);
        };
        const auto [successor, predecessor]
                = std::minmax_element(others.begin(), others.end(), isCloser);
        addOnce(neighbours.observed, successor->nodeId);
        addOnce(neighbours.all, successor->nodeId);
        addOnce(neighbours.all, predecessor->nodeId);
    }
    return neighbours;
}

} // namespace chive
