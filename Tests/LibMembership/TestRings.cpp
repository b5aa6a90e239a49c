#include <LibMembership/Rings.h>

#include <doctest/doctest.h>

#include <map>

using namespace chive;

namespace {

std::map<std::string, Neighbours> neighboursOfAll(std::size_t count)
{
    std::map<std::string, RingPositions> positions;
    for (std::size_t number = 0; number < count; ++number) {
        const std::string nodeId = "node-" + std::to_string(number);
        positions[nodeId] = ringPositions(nodeId);
    }
    std::map<std::string, Neighbours> all;
    for (const auto &[own, ownPositions] : positions) {
        std::vector<RingMember> others;
        for (const auto &[other, otherPositions] : positions) {
            if (other != own)
                others.push_back({other, &otherPositions});
        }
        all[own] = chooseNeighbours(ownPositions, others);
    }
    return all;
}

} // namespace

TEST_CASE("In a small mesh all members are neighbours")
{
    for (const auto &[nodeId, neighbours] : neighboursOfAll(10)) {
        CHECK(neighbours.all.size() == 9);
        CHECK(neighbours.observed.size() == 9);
    }
}

TEST_CASE("In a mesh of 890 nodes each has few neighbours and enough observers")
{
    const auto all = neighboursOfAll(890);
    std::map<std::string, std::size_t> observers;
    for (const auto &[nodeId, neighbours] : all) {
        CHECK(neighbours.all.size() <= 2 * ringCount);
        for (const std::string &observed : neighbours.observed)
            ++observers[observed];
    }
    CHECK(observers.size() == 890);
    for (const auto &[nodeId, count] : observers)
        CHECK(count >= ringCount / 2);
}
