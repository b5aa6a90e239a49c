#pragma once

#include <LibCore/Clock.h>
#include <LibNode/Messages.h>

#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <vector>

namespace chive {

/// Returns the nodes that lend the tokens of customers, at least 2 and one in 32 members. Every
/// node derives them from its own list. Alive members are preferred to suspects, and among these
/// those that started first.
[[nodiscard]] std::vector<Member> allocatorsOf(std::span<const Member> members);

/// Returns the allocator of the customer by rendezvous hashing, or null if there is none. A change
/// of the list moves only the customers of the allocators that came or went.
[[nodiscard]] const Member *allocatorOf(std::string_view customer,
                                        std::span<const Member> allocators);

/// Returns a digest of the list, equal on nodes that have the same allocators.
[[nodiscard]] std::uint64_t digestOf(std::span<const Member> allocators);

/// Which part of the members known recently is alive. The two sides of a partition together refill
/// their buckets at no more than the whole rate, because each scales its refill by this share.
class KnownMembers
{
public:
    void setMembers(std::span<const Member> members, TimePoint now);
    /// Counts an endpoint that is, or was, registered, as a new process does not know the others
    /// yet and would otherwise take itself for all of them.
    void noteContact(const Endpoint &contact, TimePoint now);

    /// Returns the members alive divided by the most members known within the last minute, without
    /// those that left. It is 0 while no member is alive.
    [[nodiscard]] double aliveShare(TimePoint now);

private:
    struct Known
    {
        bool isListed = false;
        TimePoint knownUntil; ///< Unless it is listed.
    };

    std::map<Endpoint, Known> known_;
    std::size_t alive_ = 0;
};

} // namespace chive
