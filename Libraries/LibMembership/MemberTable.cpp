#include <LibMembership/MemberTable.h>

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chive {

namespace {

std::uint8_t bucketOf(std::string_view nodeId)
{
    return static_cast<std::uint8_t>(XXH3_64bits(nodeId.data(), nodeId.size()) % bucketCount);
}

std::uint64_t digestOf(const Member &member)
{
    const std::uint64_t seed = member.incarnation * 4 + static_cast<std::uint64_t>(member.state);
    return XXH3_64bits_withSeed(member.nodeId.data(), member.nodeId.size(), seed);
}

} // namespace

MemberTable::MemberTable(const Member &self, MemberRetention retention)
    : selfId_(self.nodeId)
    , retention_(retention)
{
    store(self, {});
}

const MemberRecord *MemberTable::find(std::string_view nodeId) const
{
    const auto found = records_.find(nodeId);
    return found == records_.end() ? nullptr : &found->second;
}

MergeResult MemberTable::merge(const Member &claim, TimePoint now)
{
    if (claim.nodeId == selfId_)
        return mergeAboutSelf(claim);
    const auto found = records_.find(claim.nodeId);
    if (found == records_.end())
        return mergeUnknown(claim, now);
    MemberRecord &record = found->second;
    const Member &held = record.member;
    if (claim.incarnation < held.incarnation)
        return MergeResult::Ignored;
    if (claim.incarnation == held.incarnation && claim.state <= held.state)
        return MergeResult::Ignored;
    if (claim.state == MemberState::Dead)
        return mergeDeath(record, claim, now);
    store(claim, now);
    return MergeResult::Updated;
}

MergeResult MemberTable::mergeUnknown(const Member &claim, TimePoint now)
{
    // Tombstones are not copied, since they would otherwise circulate forever.
    if (claim.state == MemberState::Dead)
        return MergeResult::Ignored;
    const auto samePlace = byEndpoint_.find(claim.links);
    if (samePlace != byEndpoint_.end()) {
        const MemberRecord &other = records_.find(samePlace->second)->second;
        if (other.member.incarnation > claim.incarnation)
            return MergeResult::Ignored;
    }
    store(claim, now);
    return MergeResult::Updated;
}

MergeResult MemberTable::mergeDeath(MemberRecord &record, const Member &claim, TimePoint now)
{
    switch (record.member.state) {
    case MemberState::Leaving:
        // The member announced its leaving itself, so its death needs no probe.
        record.member.incarnation = claim.incarnation;
        markDead(record, now);
        return MergeResult::Updated;
    case MemberState::Alive:
        return MergeResult::ProbeWanted;
    case MemberState::Suspect:
    case MemberState::Dead:
        return MergeResult::Ignored;
    }
    return MergeResult::Ignored;
}

MergeResult MemberTable::mergeAboutSelf(const Member &claim) const
{
    const Member &held = self();
    if (claim.incarnation < held.incarnation)
        return MergeResult::Ignored;
    if (claim.incarnation == held.incarnation && claim.state <= held.state)
        return MergeResult::Ignored;
    return MergeResult::AboutSelf;
}

void MemberTable::replaceSelf(Member self, std::uint64_t floor)
{
    self.incarnation = std::max(find(selfId_)->member.incarnation, floor) + 1;
    store(self, {});
}

void MemberTable::store(const Member &claim, TimePoint now)
{
    removeReplaced(claim);
    MemberRecord &record = records_[claim.nodeId];
    if (record.member.links != claim.links)
        byEndpoint_.erase(record.member.links);
    byEndpoint_[claim.links] = claim.nodeId;
    record.member = claim;
    record.positions = ringPositions(claim.nodeId);
    record.bucket = bucketOf(claim.nodeId);
    record.hasLeft = claim.state == MemberState::Leaving;
    record.deadAt.reset();
    if (claim.state == MemberState::Suspect)
        openSuspicion(record, now);
}

void MemberTable::openSuspicion(MemberRecord &record, TimePoint now)
{
    record.deadAt = now + retention_.suspicion;
    nextExpiry_ = std::min(nextExpiry_, *record.deadAt);
}

void MemberTable::removeReplaced(const Member &claim)
{
    // The VM at this address was replaced, so the older node cannot come back.
    const auto found = byEndpoint_.find(claim.links);
    if (found == byEndpoint_.end() || found->second == claim.nodeId || found->second == selfId_)
        return;
    records_.erase(records_.find(found->second));
    byEndpoint_.erase(found);
}

bool MemberTable::suspect(std::string_view nodeId, TimePoint now)
{
    const auto found = records_.find(nodeId);
    if (found == records_.end() || nodeId == selfId_)
        return false;
    MemberRecord &record = found->second;
    if (record.deadAt.has_value() || record.member.state == MemberState::Dead)
        return false;
    openSuspicion(record, now);
    // A leaving member must not become usable again, so it stays Leaving until it dies.
    if (record.member.state == MemberState::Alive)
        record.member.state = MemberState::Suspect;
    return true;
}

void MemberTable::confirm(std::string_view nodeId, Milliseconds roundTrip)
{
    const auto found = records_.find(nodeId);
    if (found == records_.end())
        return;
    MemberRecord &record = found->second;
    record.roundTrip = roundTrip;
    if (record.member.state == MemberState::Leaving)
        record.deadAt.reset();
}

std::vector<std::string> MemberTable::expire(TimePoint now)
{
    std::vector<std::string> died;
    if (now < nextExpiry_)
        return died;
    nextExpiry_ = TimePoint::max();
    for (auto entry = records_.begin(); entry != records_.end();) {
        MemberRecord &record = entry->second;
        if (entry->first == selfId_) {
            ++entry;
            continue;
        }
        if (record.deadAt.has_value() && now >= *record.deadAt) {
            markDead(record, now);
            died.push_back(entry->first);
        }
        const TimePoint droppedAt = record.died + keptWhenDead(record);
        const bool isDead = record.member.state == MemberState::Dead;
        if (isDead && now >= droppedAt) {
            byEndpoint_.erase(record.member.links);
            entry = records_.erase(entry);
            continue;
        }
        if (isDead)
            nextExpiry_ = std::min(nextExpiry_, droppedAt);
        if (record.deadAt.has_value())
            nextExpiry_ = std::min(nextExpiry_, *record.deadAt);
        ++entry;
    }
    return died;
}

std::chrono::nanoseconds MemberTable::keptWhenDead(const MemberRecord &record) const
{
    if (record.hasLeft)
        return retention_.left;
    return retention_.dead;
}

void MemberTable::markDead(MemberRecord &record, TimePoint now)
{
    record.member.state = MemberState::Dead;
    record.died = now;
    nextExpiry_ = std::min(nextExpiry_, now + keptWhenDead(record));
    record.deadAt.reset();
    record.roundTrip.reset();
}

void MemberTable::postpone(std::chrono::nanoseconds pause)
{
    for (auto &[nodeId, record] : records_) {
        if (record.deadAt.has_value())
            *record.deadAt += pause;
    }
}

std::vector<Member> MemberTable::present() const
{
    std::vector<Member> members{self()};
    for (const auto &[nodeId, record] : records_) {
        if (nodeId != selfId_ && record.member.state != MemberState::Dead)
            members.push_back(record.member);
    }
    return members;
}

std::vector<std::string> MemberTable::dead() const
{
    std::vector<std::string> nodeIds;
    for (const auto &[nodeId, record] : records_) {
        if (record.member.state == MemberState::Dead && nodeId != selfId_)
            nodeIds.push_back(nodeId);
    }
    return nodeIds;
}

Neighbours MemberTable::neighbours() const
{
    std::vector<RingMember> others;
    for (const auto &[nodeId, record] : records_) {
        if (nodeId != selfId_ && record.member.state != MemberState::Dead)
            others.push_back({nodeId, &record.positions});
    }
    return chooseNeighbours(find(selfId_)->positions, others);
}

bool MemberTable::isPresentAt(const Endpoint &links) const
{
    const auto found = byEndpoint_.find(links);
    return found != byEndpoint_.end() && find(found->second)->member.state != MemberState::Dead;
}

Digests MemberTable::digests() const
{
    Digests digests{};
    for (const auto &[nodeId, record] : records_) {
        if (record.member.state != MemberState::Dead)
            digests[record.bucket] ^= digestOf(record.member);
    }
    return digests;
}

std::vector<Member> MemberTable::inBuckets(std::span<const std::uint8_t> buckets) const
{
    std::vector<Member> members;
    for (const auto &[nodeId, record] : records_) {
        if (std::find(buckets.begin(), buckets.end(), record.bucket) != buckets.end())
            members.push_back(record.member);
    }
    return members;
}

} // namespace chive
