#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/Rings.h>
#include <LibNode/Messages.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// Anti-entropy compares the digests of the tables by bucket and sends only differing buckets.
inline constexpr std::size_t bucketCount = 64;
using Digests = std::array<std::uint64_t, bucketCount>;

/// How long unconfirmed and dead members are kept.
struct MemberRetention
{
    Milliseconds suspicion{4'000}; ///< From Suspect to Dead without a refutation.
    std::chrono::hours dead{24};   ///< A dead member is retried this long, so that partitions heal.
    std::chrono::minutes left{10}; ///< The same for a dead member that had announced its leaving.
};

/// This node's record of one member.
struct MemberRecord
{
    Member member;
    RingPositions positions{};
    std::uint8_t bucket = 0;
    std::optional<TimePoint> deadAt; ///< When the suspicion ends in death; empty: not suspected.
    TimePoint died;                  ///< Time of death; valid only while Dead.
    bool hasLeft = false;            ///< The member announced its leaving before it died.
    std::optional<Milliseconds> roundTrip; ///< Of the latest answered probe.
};

/// The result of merging a claim about a member.
enum class MergeResult : std::uint8_t {
    Ignored,     ///< The claim adds nothing new.
    Updated,     ///< The record changed and must be disseminated.
    ProbeWanted, ///< The claim says Dead but the record does not: probe the member.
    AboutSelf,   ///< The claim is about this node, which must refute it.
};

/// This node's view of all members, itself included, by node id. For each member the higher
/// incarnation takes precedence, then Dead over Leaving over Suspect over Alive. A member becomes
/// Dead only when this node's own suspicion timer expires, or by a claim about a leaving member. A
/// claim that any other member is dead does not suffice.
class MemberTable
{
public:
    MemberTable(const Member &self, MemberRetention retention);

    [[nodiscard]] const Member &self() const { return find(selfId_)->member; }
    [[nodiscard]] const MemberRecord *find(std::string_view nodeId) const;
    [[nodiscard]] const std::map<std::string, MemberRecord, std::less<>> &records() const
    {
        return records_;
    }

    [[nodiscard]] MergeResult merge(const Member &claim, TimePoint now);

    /// Replaces the record of this node, with an incarnation above `floor`.
    void replaceSelf(Member self, std::uint64_t floor = 0);

    /// Marks the member as suspect after a failed probe. Returns false if it is unknown, already
    /// suspected or dead.
    bool suspect(std::string_view nodeId, TimePoint now);
    void confirm(std::string_view nodeId, Milliseconds roundTrip);

    /// Marks members whose suspicion timed out as dead and drops old tombstones. Returns the ids of
    /// the members that died.
    [[nodiscard]] std::vector<std::string> expire(TimePoint now);

    /// Extends all suspicions after this process was paused, since refutations that arrived during
    /// the pause have not been read yet.
    void postpone(std::chrono::nanoseconds pause);

    /// The members that are not dead, this node first.
    [[nodiscard]] std::vector<Member> present() const;
    [[nodiscard]] std::vector<std::string> dead() const;
    [[nodiscard]] Neighbours neighbours() const;
    /// Whether a member that is not dead is known at this endpoint.
    [[nodiscard]] bool isPresentAt(const Endpoint &links) const;

    /// Digests over the members that are not dead.
    [[nodiscard]] Digests digests() const;
    /// The records of the buckets, dead ones included.
    [[nodiscard]] std::vector<Member> inBuckets(std::span<const std::uint8_t> buckets) const;

private:
    [[nodiscard]] MergeResult mergeUnknown(const Member &claim, TimePoint now);
    [[nodiscard]] MergeResult mergeDeath(MemberRecord &record, const Member &claim, TimePoint now);
    [[nodiscard]] MergeResult mergeAboutSelf(const Member &claim) const;
    void store(const Member &claim, TimePoint now);
    void openSuspicion(MemberRecord &record, TimePoint now);
    void markDead(MemberRecord &record, TimePoint now);
    [[nodiscard]] std::chrono::nanoseconds keptWhenDead(const MemberRecord &record) const;
    void removeReplaced(const Member &claim);

    std::string selfId_;
    MemberRetention retention_;
    std::map<std::string, MemberRecord, std::less<>> records_;
    std::map<Endpoint, std::string> byEndpoint_;
    /// No record expires earlier, which spares searching the records.
    TimePoint nextExpiry_ = TimePoint::max();
};

} // namespace chive
