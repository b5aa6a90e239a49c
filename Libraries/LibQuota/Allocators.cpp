#include <LibQuota/Allocators.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <tuple>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chive {

namespace {

/// With one allocator, its failure would stop all customers with a rate.
constexpr std::size_t fewestAllocators = 2;
constexpr std::size_t membersForEachAllocator = 32;
/// Longer than the members of both sides of a partition take to agree (docs/CAPACITY.md).
constexpr std::chrono::seconds knownLifetime{60};
/// A contact that can be reached becomes a member within a few seconds. The directory may also hold
/// nodes that are gone, which must not lower the rate for long.
constexpr std::chrono::seconds contactLifetime{10};

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

bool canAllocate(const Member &member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

} // namespace

std::vector<Member> allocatorsOf(std::span<const Member> members)
{
    std::vector<const Member *> candidates;
    for (const Member &member : members) {
        if (canAllocate(member))
            candidates.push_back(&member);
    }
    const std::size_t count
            = std::min(candidates.size(),
                       std::max(fewestAllocators, members.size() / membersForEachAllocator));
    const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(count);
    // Those that started first: a node that joins must not take customers from an allocator that
    // works, as the tokens of a new allocator begin at none.
    std::partial_sort(candidates.begin(), end, candidates.end(),
                      [](const Member *left, const Member *right) {
                          return std::tie(left->state, left->incarnation, left->nodeId)
                                 < std::tie(right->state, right->incarnation, right->nodeId);
                      });
    std::vector<Member> allocators;
    for (auto candidate = candidates.begin(); candidate != end; ++candidate)
        allocators.push_back(**candidate);
    return allocators;
}

std::uint64_t digestOf(std::span<const Member> allocators)
{
    std::uint64_t digest = 0;
    for (const Member &allocator : allocators)
        digest = hashOf(allocator.nodeId, digest);
    return digest;
}

const Member *allocatorOf(std::string_view customer, std::span<const Member> allocators)
{
    const std::uint64_t seed = hashOf(customer, 1);
    const Member *best = nullptr;
    std::uint64_t highest = 0;
    for (const Member &allocator : allocators) {
        const std::uint64_t weight = hashOf(allocator.nodeId, seed);
        if (best == nullptr || weight > highest) {
            best = &allocator;
            highest = weight;
        }
    }
    return best;
}

void KnownMembers::setMembers(std::span<const Member> members, TimePoint now)
{
    for (auto &[endpoint, known] : known_) {
        if (known.isListed)
            known.knownUntil = now + knownLifetime;
        known.isListed = false;
    }
    alive_ = 0;
    for (const Member &member : members) {
        if (member.state == MemberState::Leaving) {
            known_.erase(member.links);
            continue;
        }
        known_[member.links].isListed = true;
        if (member.state == MemberState::Alive)
            ++alive_;
    }
}

void KnownMembers::noteContact(const Endpoint &contact, TimePoint now)
{
    Known &known = known_[contact];
    known.knownUntil = std::max(known.knownUntil, now + contactLifetime);
}

double KnownMembers::aliveShare(TimePoint now)
{
    std::erase_if(known_, [now](const auto &entry) {
        return !entry.second.isListed && entry.second.knownUntil < now;
    });
    if (known_.empty() || alive_ == 0)
        return 0.0;
    return std::min(1.0, static_cast<double>(alive_) / static_cast<double>(known_.size()));
}

} // namespace chive
