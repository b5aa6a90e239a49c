#include <LibQuota/QuotaAllocator.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace chive {

namespace {

/// Before this has passed, tokens that another allocator lent may still be used.
constexpr Milliseconds holdOff = tokenLifetime;
/// Failure detection takes longer, so no other node took the role during a shorter pause.
constexpr Milliseconds longestPause{600};
/// Leases within this time are recorded as one.
constexpr Milliseconds leaseSlot{20};
/// When a question that reached the wrong node, or one that is not ready, is asked again.
constexpr Milliseconds notReadyWait{50};

/// Contact with the members is measured for this long after a question.
constexpr std::chrono::seconds contactTime{5};

/// Whether two lists make the same node the allocator of every customer.
bool haveSameNodes(std::span<const Member> left, std::span<const Member> right)
{
    return std::ranges::equal(left, right, [](const Member &a, const Member &b) {
        return a.nodeId == b.nodeId && a.incarnation == b.incarnation;
    });
}

} // namespace

QuotaAllocator::QuotaAllocator(std::string nodeId, Settings::QuotaBound bound, TimePoint now)
    : nodeId_(std::move(nodeId))
    , bound_(bound)
    , catalogue_(std::make_shared<const Catalogue>())
    , contact_(static_cast<std::uint32_t>(std::hash<std::string>{}(nodeId_)))
    , createdAt_(now)
    , lastRunAt_(now)
    , lendsFrom_(now + holdOff)
{}

void QuotaAllocator::setCatalogue(std::shared_ptr<const Catalogue> catalogue, TimePoint now)
{
    catalogue_ = std::move(catalogue);
    applyLimits(now);
}

void QuotaAllocator::setMembers(std::span<const Member> members, TimePoint now)
{
    known_.setMembers(members, now);
    std::vector<Endpoint> others;
    for (const Member &member : members) {
        if (member.state == MemberState::Alive && member.nodeId != nodeId_)
            others.push_back(member.links);
    }
    contact_.setMembers(std::move(others));
    std::vector<Member> allocators = allocatorsOf(members);
    if (!haveSameNodes(allocators, allocators_)) {
        allocators_ = std::move(allocators);
        isAllocator_
                = std::ranges::find(allocators_, nodeId_, &Member::nodeId) != allocators_.end();
        lendsFrom_ = now + holdOff;
        std::erase_if(buckets_, [this](const auto &entry) { return !isAllocatorOf(entry.first); });
    }
    updateShare(now);
}

void QuotaAllocator::tick(TimePoint now)
{
    noteRunning(now);
    // A bucket that is full is the same as a new one.
    std::erase_if(buckets_, [this, now](const auto &entry) {
        return lendsFrom_ < now - std::chrono::minutes(1) && entry.second.isFull(now);
    });
    if (now - lastQuestionAt_ < contactTime)
        contact_.advance(now);
    else
        contact_.reset();
    updateShare(now);
}

void QuotaAllocator::updateShare(TimePoint now)
{
    const double share = known_.aliveShare(now) * contact_.share(now).value_or(1.0);
    if (share == share_)
        return;
    share_ = share;
    applyLimits(now);
}

void QuotaAllocator::noteRunning(TimePoint now)
{
    if (now - lastRunAt_ > longestPause)
        startAgain(now);
    lastRunAt_ = now;
}

void QuotaAllocator::startAgain(TimePoint now)
{
    buckets_.clear();
    contact_.reset();
    lendsFrom_ = now + holdOff;
}

void QuotaAllocator::applyLimits(TimePoint now)
{
    for (auto entry = buckets_.begin(); entry != buckets_.end();) {
        const auto found = catalogue_->customers.find(entry->first);
        if (found == catalogue_->customers.end() || found->second.quota.ratePerSecond <= 0.0) {
            entry = buckets_.erase(entry);
            continue;
        }
        setLimits(entry->second, found->second.quota, now);
        ++entry;
    }
}

/// The size is scaled as well, as each side of a partition has a bucket.
void QuotaAllocator::setLimits(QuotaBucket &bucket, const CustomerQuota &quota, TimePoint now) const
{
    bucket.setLimits(refillRateOf(quota, bound_) * share_, bucketSizeOf(quota, bound_) * share_,
                     now);
}

bool QuotaAllocator::isAllocatorOf(std::string_view customer) const
{
    const Member *allocator = allocatorOf(customer, allocators_);
    return allocator != nullptr && allocator->nodeId == nodeId_;
}

ContactProbe QuotaAllocator::contactProbe() const
{
    return {contact_.round(), digestOf(allocators_)};
}

bool QuotaAllocator::agreesWith(const ContactProbe &probe) const
{
    return probe.allocators == digestOf(allocators_);
}

QuotaBucket *QuotaAllocator::bucketOf(const std::string &customer)
{
    const auto existing = buckets_.find(customer);
    if (existing != buckets_.end())
        return &existing->second;
    const auto found = catalogue_->customers.find(customer);
    if (found == catalogue_->customers.end() || found->second.quota.ratePerSecond <= 0.0)
        return nullptr;
    // A bucket that nobody has asked is as full as it would have become since the role began.
    QuotaBucket &bucket = buckets_.emplace(customer, QuotaBucket(lendsFrom_)).first->second;
    setLimits(bucket, found->second.quota, lendsFrom_);
    return &bucket;
}

LentTokens QuotaAllocator::lend(const WantedTokens &wanted, LeaseStamp stamp, TimePoint now)
{
    const bool hasContact = contact_.share(now).has_value();
    if (!hasContact || !isAllocatorOf(wanted.customer) || catalogue_->version == 0)
        return {0, notReadyWait, longestTokenWait};
    QuotaBucket *bucket = bucketOf(wanted.customer);
    if (bucket == nullptr) // This node's configuration does not limit the customer.
        return {wanted.count, Milliseconds(0), Milliseconds(0)};
    LentTokens lent;
    lent.count = bucket->take(wanted.count, stamp, now);
    if (lent.count == wanted.count && wanted.refused == 0)
        return lent;
    lent.nextIn = bucket->timeUntil(1.0, now);
    lent.retryAfter = bucket->reserveReturn(wanted.count - lent.count + wanted.refused, now);
    return lent;
}

TokenAnswer QuotaAllocator::answer(const TokenQuestion &question, TimePoint now)
{
    noteRunning(now);
    if (now - lastQuestionAt_ >= contactTime)
        contact_.reset();
    lastQuestionAt_ = now;
    contact_.advance(now);
    updateShare(now);
    TokenAnswer answer;
    answer.id = question.id;
    answer.stamp = static_cast<LeaseStamp>((now - createdAt_) / leaseSlot);
    for (const UnusedTokens &returned : question.returned) {
        const auto bucket = buckets_.find(returned.customer);
        if (bucket != buckets_.end())
            bucket->second.giveBack(returned.count, returned.stamp, now);
    }
    for (const WantedTokens &wanted : question.wanted)
        answer.lent.push_back(lend(wanted, answer.stamp, now));
    return answer;
}

std::optional<double> QuotaAllocator::tokensLeft(std::string_view customer, TimePoint now) const
{
    const auto found = buckets_.find(customer);
    if (found == buckets_.end())
        return std::nullopt;
    return std::max(0.0, found->second.level(now));
}

} // namespace chive
