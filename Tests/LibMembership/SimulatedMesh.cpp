#include "SimulatedMesh.h"

#include <utility>

namespace chive {

namespace {

constexpr Milliseconds stepLength{10};
constexpr Milliseconds tickInterval{100};
constexpr int leastDelay = 3; // Milliseconds one way.
constexpr int mostDelay = 25;

} // namespace

std::string SimulatedMesh::nameOf(std::size_t number)
{
    return "ledger-" + std::to_string(number);
}

Endpoint SimulatedMesh::endpointOf(std::size_t number)
{
    const std::string high = std::to_string(number / 250);
    const std::string low = std::to_string(number % 250);
    return {"10.20." + high + "." + low, 7003};
}

void SimulatedMesh::start(std::size_t number, const std::vector<std::size_t> &contacts)
{
    const Member self{
            .nodeId = nameOf(number),
            .incarnation = 1'000 * ++starts_,
            .links = endpointOf(number),
            .dataCentre = "centre-" + std::to_string(number % 9),
            .region = "region-" + std::to_string(number % 3),
            .service = "ledger",
            .state = MemberState::Alive,
    };
    Node node;
    node.state = std::make_unique<Membership>(self, MembershipTiming{}, random_(), now_);
    node.nextTick = now_ + Milliseconds(static_cast<int>(random_() % tickInterval.count()));
    for (std::size_t contact : contacts)
        node.state->addContact(endpointOf(contact));
    nodes_.insert_or_assign(number, std::move(node));
    numbers_.insert_or_assign(self.links, number);
}

void SimulatedMesh::startMany(std::size_t count)
{
    for (std::size_t number = 0; number < count; ++number) {
        if (number == 0)
            start(number, {});
        else
            start(number, {random_() % number, random_() % number});
    }
}

void SimulatedMesh::kill(std::size_t number)
{
    nodes_.erase(number);
}

void SimulatedMesh::leave(std::size_t number)
{
    deliver(number, node(number).leave());
}

void SimulatedMesh::sayGone(std::size_t number)
{
    deliver(number, node(number).sayGone());
    kill(number);
}

void SimulatedMesh::pause(std::size_t number, Milliseconds length)
{
    nodes_.at(number).pausedUntil = now_ + length;
}

void SimulatedMesh::deliver(std::size_t from, const std::vector<MembershipSend> &sends)
{
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    std::uniform_int_distribution<int> delay(leastDelay, mostDelay);
    for (const MembershipSend &send : sends) {
        const auto to = numbers_.find(send.peer);
        std::string bytes = encode(send.message);
        ++traffic_.messages;
        traffic_.bytes += bytes.size();
        const bool isLost = chance(random_) < loss_;
        const Milliseconds travel(delay(random_));
        if (to == numbers_.end() || isLost)
            continue;
        if (isInside_ && isInside_(from) != isInside_(to->second))
            continue;
        packets_.emplace(now_ + travel, Packet{to->second, std::move(bytes)});
    }
}

void SimulatedMesh::step()
{
    now_ += stepLength;
    while (!packets_.empty() && packets_.begin()->first <= now_) {
        const Packet packet = std::move(packets_.begin()->second);
        packets_.erase(packets_.begin());
        const auto node = nodes_.find(packet.to);
        if (node == nodes_.end())
            continue;
        if (now_ < node->second.pausedUntil) {
            packets_.emplace(node->second.pausedUntil, packet);
            continue;
        }
        const auto message = parseMembershipMessage(packet.bytes);
        if (message.has_value())
            deliver(packet.to, node->second.state->receive(message.value(), now_));
    }
    for (auto &[number, node] : nodes_) {
        if (now_ < node.nextTick || now_ < node.pausedUntil)
            continue;
        node.nextTick = now_ + tickInterval;
        deliver(number, node.state->tick(now_));
    }
}

void SimulatedMesh::run(Milliseconds length)
{
    const TimePoint end = now_ + length;
    while (now_ < end)
        step();
}

Milliseconds SimulatedMesh::runUntil(const std::function<bool()> &condition, Milliseconds limit)
{
    Milliseconds taken{0};
    while (taken < limit && !condition()) {
        run(tickInterval);
        taken += tickInterval;
    }
    return taken;
}

bool SimulatedMesh::everyoneHolds(std::size_t subject, MemberState state,
                                  const std::function<bool(std::size_t)> &filter) const
{
    for (const auto &[number, node] : nodes_) {
        if (number == subject || (filter && !filter(number)))
            continue;
        const MemberRecord *record = node.state->table().find(nameOf(subject));
        if (record == nullptr || record->member.state != state)
            return false;
    }
    return true;
}

bool SimulatedMesh::isConverged(const std::function<bool(std::size_t)> &filter) const
{
    for (const auto &[number, node] : nodes_) {
        if (filter && !filter(number))
            continue;
        std::size_t expected = 0;
        for (const auto &[other, ignored] : nodes_) {
            if (filter && !filter(other))
                continue;
            ++expected;
            const MemberRecord *record = node.state->table().find(nameOf(other));
            if (record == nullptr || record->member.state != MemberState::Alive)
                return false;
        }
        if (node.state->table().present().size() != expected)
            return false;
    }
    return true;
}

} // namespace chive
