#include <Node/NotesPeers.h>

#include <algorithm>

namespace chive {

namespace {

/// Number of random peers that receive the frame of each round and of each change. A change spreads
/// through the mesh in a number of steps that grows with the logarithm of its size (Demers et al.,
/// Epidemic Algorithms for Replicated Database Maintenance, 1987).
constexpr std::size_t peersPerRound = 3;

bool isReachable(const Member &member)
{
    return member.state != MemberState::Dead;
}

} // namespace

NotesPeers::NotesPeers(Bus &bus, const Settings &settings)
    : bus_(bus)
    , settings_(settings)
    , members_(std::make_shared<const std::vector<Member>>())
    , random_(std::random_device{}())
{}

void NotesPeers::setMembers(std::shared_ptr<const std::vector<Member>> members)
{
    members_ = std::move(members);
}

void NotesPeers::send(const Endpoint &peer, const NotesFrame &frame)
{
    SendToPeer message;
    message.peer = peer;
    message.topic = Topic::Notes;
    message.payload = std::make_shared<const std::string>(encodeFrame(frame));
    bus_.post(std::move(message));
}

void NotesPeers::sendToRandomPeers(const NotesFrame &frame)
{
    std::vector<Endpoint> peers;
    std::ranges::sample(candidates(), std::back_inserter(peers), peersPerRound, random_);
    for (const Endpoint &peer : peers)
        send(peer, frame);
}

void NotesPeers::sendToDataCentre(const NotesFrame &frame)
{
    for (const Member &member : *members_) {
        const bool isOther = member.nodeId != settings_.nodeId;
        if (isOther && isReachable(member) && member.dataCentre == settings_.dataCentre)
            send(member.links, frame);
    }
}

std::size_t NotesPeers::rank() const
{
    return std::ranges::count_if(*members_, [this](const Member &member) {
        return member.state == MemberState::Alive && member.nodeId < settings_.nodeId;
    });
}

std::size_t NotesPeers::rankInDataCentre() const
{
    return std::ranges::count_if(*members_, [this](const Member &member) {
        return member.state == MemberState::Alive && member.nodeId < settings_.nodeId
               && member.dataCentre == settings_.dataCentre;
    });
}

std::vector<Endpoint> NotesPeers::candidates() const
{
    std::vector<Endpoint> endpoints;
    for (const Member &member : *members_) {
        if (isReachable(member) && member.nodeId != settings_.nodeId)
            endpoints.push_back(member.links);
    }
    return endpoints.empty() ? settings_.peers : endpoints;
}

} // namespace chive
