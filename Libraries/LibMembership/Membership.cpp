#include <LibMembership/Membership.h>

#include <algorithm>
#include <utility>

namespace chive {

namespace {

using Type = MembershipMessage::Type;

constexpr std::size_t gossipFanout = 3;
constexpr std::size_t indirectProbes = 3;
constexpr std::size_t claimsPerMessage = 12; ///< About 1 KB, one packet.
constexpr std::size_t bucketsPerSync = 16;
constexpr std::size_t contactsAtOnce = 3;
constexpr int attemptsPerContact = 10;
constexpr std::size_t maximumContacts = 2'048;
constexpr std::size_t maximumUrgentProbes = 32;
constexpr Milliseconds urgentProbeInterval{200};

/// A random time within the first interval, so that nodes started together do not act together.
TimePoint phased(TimePoint now, Milliseconds interval, std::mt19937_64 &random)
{
    std::uniform_int_distribution<std::int64_t> delay(0, interval.count());
    return now + Milliseconds(delay(random));
}

bool isDoubted(MemberState state)
{
    return state == MemberState::Suspect || state == MemberState::Dead;
}

} // namespace

Membership::Membership(const Member &self, MembershipTiming timing, std::uint64_t seed,
                       TimePoint now)
    : timing_(timing)
    , random_(seed)
    , table_(self, timing.retention)
    , lastTick_(now)
    , nextProbe_(phased(now, timing.probeInterval, random_))
    , nextUrgentProbe_(now)
    , nextGossip_(now)
    , nextSync_(phased(now, timing.syncInterval, random_))
    , nextDeadRetry_(phased(now, timing.deadRetryInterval, random_))
    , nextContact_(now)
{
    deltas_.push(self.nodeId);
}

std::vector<MembershipSend> Membership::tick(TimePoint now)
{
    Sends sends;
    postponeAfterPause(now);
    for (const std::string &nodeId : table_.expire(now)) {
        ++counters_.deaths;
        isChanged_ = areNeighboursStale_ = true;
        // Members that received the suspicion reach the same result by their own timers. The
        // suspicion of a leaving member was never disseminated, so its death has to be.
        if (const MemberRecord *record = table_.find(nodeId); record && record->hasLeft)
            deltas_.push(nodeId);
        else
            deltas_.remove(nodeId);
    }
    checkProbes(now, sends);
    if (isDue(nextProbe_, timing_.probeInterval, now))
        startNextProbe(now, sends);
    if (!urgentProbes_.empty() && isDue(nextUrgentProbe_, urgentProbeInterval, now)) {
        const std::string subject = urgentProbes_.front();
        urgentProbes_.pop_front();
        startProbe(subject, false, now, sends);
    }
    if (isDue(nextSync_, timing_.syncInterval, now))
        startSync(sends);
    if (isDue(nextDeadRetry_, timing_.deadRetryInterval, now))
        retryDead(now, sends);
    const bool isAlone = neighbours().all.empty();
    if (isDue(nextContact_, isAlone ? timing_.joinInterval : timing_.contactInterval, now))
        contactOthers(sends);
    if (isDue(nextGossip_, timing_.gossipInterval, now))
        gossip(sends);
    expireRelays(now);
    return sends;
}

std::vector<MembershipSend> Membership::receive(const MembershipMessage &message, TimePoint now)
{
    Sends sends;
    if (message.sender.nodeId == table_.self().nodeId)
        return sends;
    mergeAll(message, now);
    switch (message.type) {
    case Type::Ping:
        handlePing(message, sends);
        break;
    case Type::Ack:
        handleAck(message, now, sends);
        break;
    case Type::ProbeRequest:
        handleProbeRequest(message, now, sends);
        break;
    case Type::Gossip:
        break;
    case Type::SyncDigest:
        handleDigest(message, sends);
        break;
    case Type::SyncRecords:
        handleRecords(message, sends);
        break;
    }
    return sends;
}

void Membership::addContact(const Endpoint &contact)
{
    if (contact == table_.self().links || contacts_.size() >= maximumContacts)
        return;
    contacts_.insert_or_assign(contact, 0);
}

void Membership::suspectLink(const Endpoint &peer)
{
    for (const std::string &nodeId : neighbours().all) {
        const MemberRecord *record = table_.find(nodeId);
        const bool isQueued = std::find(urgentProbes_.begin(), urgentProbes_.end(), nodeId)
                              != urgentProbes_.end();
        if (record->member.links == peer && record->member.state == MemberState::Alive && !isQueued)
            urgentProbes_.push_back(nodeId);
    }
}

std::vector<MembershipSend> Membership::setTarget(const std::string &service, bool isDraining)
{
    Member self = table_.self();
    self.service = service;
    if (!isStopping_)
        self.state = isDraining ? MemberState::Leaving : MemberState::Alive;
    Sends sends;
    if (self == table_.self())
        return sends;
    table_.replaceSelf(self);
    markChanged(self.nodeId);
    notifyNeighbours(sends);
    return sends;
}

std::vector<MembershipSend> Membership::leave()
{
    isStopping_ = true;
    Member self = table_.self();
    self.state = MemberState::Leaving;
    table_.replaceSelf(self);
    markChanged(self.nodeId);
    Sends sends;
    notifyNeighbours(sends);
    return sends;
}

std::vector<MembershipSend> Membership::sayGone()
{
    isStopping_ = true;
    Member self = table_.self();
    self.state = MemberState::Dead;
    table_.replaceSelf(self);
    Sends sends;
    notifyNeighbours(sends);
    return sends;
}

bool Membership::takeChanged()
{
    return std::exchange(isChanged_, false);
}

MembershipMessage Membership::compose(Type type)
{
    MembershipMessage message;
    message.type = type;
    message.sender = table_.self();
    const std::uint32_t transmissions = transmissionsFor(table_.records().size());
    for (const std::string &nodeId : deltas_.take(claimsPerMessage, transmissions)) {
        // Every message carries the sender's own record anyway.
        if (nodeId == message.sender.nodeId)
            continue;
        if (const MemberRecord *record = table_.find(nodeId))
            message.claims.push_back(record->member);
    }
    return message;
}

void Membership::send(Sends &sends, const Member &peer, MembershipMessage message) const
{
    // A member that is recorded as suspect or dead, or that restarted with its clock set back, must
    // learn of it to be able to refute it.
    const MemberRecord *record = table_.find(peer.nodeId);
    if (record != nullptr && (record->member != peer || isDoubted(record->member.state)))
        message.claims.push_back(record->member);
    sends.push_back({peer.links, std::move(message)});
}

void Membership::postponeAfterPause(TimePoint now)
{
    const auto gap = now - lastTick_;
    lastTick_ = now;
    if (gap <= timing_.longestPause)
        return;
    table_.postpone(gap);
    for (auto &[sequence, probe] : probes_)
        probe.sentAt += gap;
}

void Membership::checkProbes(TimePoint now, Sends &sends)
{
    for (auto entry = probes_.begin(); entry != probes_.end();) {
        Probe &probe = entry->second;
        const auto age = now - probe.sentAt;
        if (age >= timing_.probeTimeout) {
            failProbe(probe, now);
            entry = probes_.erase(entry);
            continue;
        }
        if (age >= timing_.indirectAfter && !probe.isIndirectSent && !probe.isRetryOfDead)
            requestIndirectProbes(entry->first, probe, sends);
        ++entry;
    }
}

void Membership::startNextProbe(TimePoint now, Sends &sends)
{
    if (probeOrder_.empty()) {
        const std::vector<std::string> &observed = neighbours().observed;
        probeOrder_.assign(observed.begin(), observed.end());
        std::shuffle(probeOrder_.begin(), probeOrder_.end(), random_);
    }
    while (!probeOrder_.empty()) {
        const std::string subject = probeOrder_.front();
        probeOrder_.pop_front();
        const MemberRecord *record = table_.find(subject);
        if (record == nullptr || record->member.state == MemberState::Dead)
            continue;
        startProbe(subject, false, now, sends);
        return;
    }
}

void Membership::startProbe(const std::string &subject, bool isRetryOfDead, TimePoint now,
                            Sends &sends)
{
    const MemberRecord *record = table_.find(subject);
    if (record == nullptr)
        return;
    ++counters_.probes;
    MembershipMessage message = compose(Type::Ping);
    message.sequence = nextSequence_++;
    probes_[message.sequence] = {subject, now, false, isRetryOfDead};
    send(sends, record->member, std::move(message));
}

void Membership::requestIndirectProbes(std::uint64_t sequence, Probe &probe, Sends &sends)
{
    probe.isIndirectSent = true;
    const MemberRecord *subject = table_.find(probe.subject);
    if (subject == nullptr)
        return;
    for (const std::string &helper : pickNeighbours(indirectProbes, probe.subject)) {
        MembershipMessage message = compose(Type::ProbeRequest);
        message.sequence = sequence;
        message.subject = probe.subject;
        message.subjectLinks = subject->member.links;
        send(sends, table_.find(helper)->member, std::move(message));
    }
}

void Membership::failProbe(const Probe &probe, TimePoint now)
{
    ++counters_.failedProbes;
    if (!table_.suspect(probe.subject, now))
        return;
    ++counters_.suspicions;
    if (table_.find(probe.subject)->member.state == MemberState::Suspect)
        markChanged(probe.subject);
}

void Membership::gossip(Sends &sends)
{
    if (deltas_.isEmpty())
        return;
    for (const std::string &nodeId : pickNeighbours(gossipFanout, {})) {
        if (deltas_.isEmpty())
            return;
        send(sends, table_.find(nodeId)->member, compose(Type::Gossip));
    }
}

void Membership::notifyNeighbours(Sends &sends)
{
    for (const std::string &nodeId : neighbours().all)
        send(sends, table_.find(nodeId)->member, compose(Type::Gossip));
}

void Membership::startSync(Sends &sends)
{
    for (const std::string &nodeId : pickNeighbours(1, {})) {
        ++counters_.syncs;
        send(sends, table_.find(nodeId)->member, composeDigest());
    }
}

MembershipMessage Membership::composeDigest()
{
    MembershipMessage message = compose(Type::SyncDigest);
    const Digests digests = table_.digests();
    message.digests.assign(digests.begin(), digests.end());
    message.knownMembers = table_.records().size();
    return message;
}

void Membership::retryDead(TimePoint now, Sends &sends)
{
    const std::vector<std::string> dead = table_.dead();
    if (dead.empty())
        return;
    std::uniform_int_distribution<std::size_t> pick(0, dead.size() - 1);
    startProbe(dead[pick(random_)], true, now, sends);
}

void Membership::contactOthers(Sends &sends)
{
    std::vector<Endpoint> unmet;
    for (const auto &[contact, attempts] : contacts_) {
        if (!table_.isPresentAt(contact))
            unmet.push_back(contact);
    }
    std::shuffle(unmet.begin(), unmet.end(), random_);
    const std::size_t count = neighbours().all.empty() ? contactsAtOnce : 1;
    unmet.resize(std::min(unmet.size(), count));
    for (const Endpoint &contact : unmet) {
        sends.push_back({contact, composeDigest()});
        const bool isSpent = ++contacts_[contact] >= attemptsPerContact;
        if (isSpent && !neighbours().all.empty())
            contacts_.erase(contact);
    }
}

void Membership::expireRelays(TimePoint now)
{
    std::erase_if(relays_, [&](const auto &entry) { return now >= entry.second.expiresAt; });
}

void Membership::mergeAll(const MembershipMessage &message, TimePoint now)
{
    mergeOne(message.sender, now);
    for (const Member &claim : message.claims)
        mergeOne(claim, now);
}

void Membership::mergeOne(const Member &claim, TimePoint now)
{
    switch (table_.merge(claim, now)) {
    case MergeResult::Ignored:
        break;
    case MergeResult::Updated:
        markChanged(claim.nodeId);
        break;
    case MergeResult::ProbeWanted:
        if (urgentProbes_.size() < maximumUrgentProbes)
            urgentProbes_.push_back(claim.nodeId);
        break;
    case MergeResult::AboutSelf:
        refute(claim);
        break;
    }
}

void Membership::refute(const Member &claim)
{
    if (table_.self().state == MemberState::Dead)
        return;
    ++counters_.refutations;
    table_.replaceSelf(table_.self(), claim.incarnation);
    markChanged(claim.nodeId);
}

void Membership::markChanged(const std::string &nodeId)
{
    deltas_.push(nodeId);
    isChanged_ = true;
    areNeighboursStale_ = true;
}

void Membership::handlePing(const MembershipMessage &message, Sends &sends)
{
    MembershipMessage answer = compose(Type::Ack);
    answer.sequence = message.sequence;
    answer.subject = table_.self().nodeId;
    send(sends, message.sender, std::move(answer));
}

void Membership::handleAck(const MembershipMessage &message, TimePoint now, Sends &sends)
{
    const auto probe = probes_.find(message.sequence);
    if (probe != probes_.end() && probe->second.subject == message.subject) {
        const auto age = now - probe->second.sentAt;
        table_.confirm(message.subject, std::chrono::duration_cast<Milliseconds>(age));
        probes_.erase(probe);
        return;
    }
    const auto relay = relays_.find(message.sequence);
    if (relay == relays_.end() || relay->second.subject != message.subject)
        return;
    MembershipMessage answer = compose(Type::Ack);
    answer.sequence = relay->second.sequence;
    answer.subject = message.subject;
    send(sends, relay->second.requester, std::move(answer));
    relays_.erase(relay);
}

void Membership::handleProbeRequest(const MembershipMessage &message, TimePoint now, Sends &sends)
{
    MembershipMessage ping = compose(Type::Ping);
    ping.sequence = nextSequence_++;
    relays_[ping.sequence]
            = {message.sender, message.sequence, message.subject, now + timing_.probeTimeout};
    const MemberRecord *record = table_.find(message.subject);
    if (record != nullptr)
        send(sends, record->member, std::move(ping));
    else
        sends.push_back({message.subjectLinks, std::move(ping)});
}

void Membership::handleDigest(const MembershipMessage &message, Sends &sends)
{
    const Digests own = table_.digests();
    if (message.digests.size() != own.size())
        return;
    std::vector<std::uint8_t> differing;
    for (std::size_t bucket = 0; bucket < own.size(); ++bucket) {
        if (own[bucket] != message.digests[bucket])
            differing.push_back(static_cast<std::uint8_t>(bucket));
    }
    if (differing.empty())
        return;
    // A new member gets all buckets at once. Otherwise each exchange stays small, and later ones
    // cover the rest.
    const bool isNewcomer = message.knownMembers * 2 < table_.records().size();
    if (!isNewcomer && differing.size() > bucketsPerSync) {
        std::shuffle(differing.begin(), differing.end(), random_);
        differing.resize(bucketsPerSync);
    }
    MembershipMessage answer = compose(Type::SyncRecords);
    for (Member &member : table_.inBuckets(differing))
        answer.claims.push_back(std::move(member));
    answer.buckets = std::move(differing);
    answer.isReplyWanted = true;
    send(sends, message.sender, std::move(answer));
}

void Membership::handleRecords(const MembershipMessage &message, Sends &sends)
{
    if (!message.isReplyWanted)
        return;
    MembershipMessage answer = compose(Type::SyncRecords);
    for (Member &member : table_.inBuckets(message.buckets))
        answer.claims.push_back(std::move(member));
    answer.buckets = message.buckets;
    send(sends, message.sender, std::move(answer));
}

const Neighbours &Membership::neighbours()
{
    if (std::exchange(areNeighboursStale_, false))
        neighbours_ = table_.neighbours();
    return neighbours_;
}

std::vector<std::string> Membership::pickNeighbours(std::size_t count, std::string_view except)
{
    std::vector<std::string> picked = neighbours().all;
    std::erase(picked, except);
    std::shuffle(picked.begin(), picked.end(), random_);
    picked.resize(std::min(picked.size(), count));
    return picked;
}

bool Membership::isDue(TimePoint &next, Milliseconds interval, TimePoint now)
{
    if (now < next)
        return false;
    next = now + interval;
    return true;
}

} // namespace chive
