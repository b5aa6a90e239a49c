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

/// Anti-entropy compares tables bucket by bucket and sends only the buckets that differ.
inline constexpr std::size_t bucketCount = 64;
using Digests = std::array<std::uint64_t, bucketCount>;

/// How long unconfirmed and dead members are kept.
struct MemberRetention
{
    Milliseconds suspicion{4'000}; ///< From Suspect to Dead, when nobody refutes it.
    std::chrono::hours dead{24};   ///< A dead member is retried this long, so that cuts heal.
    std::chrono::minutes left{10}; ///< A member that announced its leaving is not retried longer.
};

/// What one node knows about one member.
struct MemberRecord
{
    Member member;
    RingPositions positions{};
    std::uint8_t bucket = 0;
    std::optional<TimePoint> deadAt;       ///< When an open suspicion becomes a death.
    TimePoint died;                        ///< Valid while Dead.
    bool hasLeft = false;                  ///< It announced its leaving before it died.
    std::optional<Milliseconds> roundTrip; ///< Of the latest probe that it answered.
};

/// What became of a claim.
enum class MergeResult : std::uint8_t {
    Ignored,     ///< Nothing new.
    Updated,     ///< The record changed; tell others.
    ProbeWanted, ///< Somebody holds the member dead that lives here: find out.
    AboutSelf,   ///< A claim about this node that it has to refute.
};

/// The members as one node knows them, this node included, keyed by node identity. For each member
/// the higher incarnation wins, then Dead over Leaving over Suspect over Alive. Only a node's own
/// timer, or the death of one that was leaving, makes a member Dead: hearsay never does.
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

    /// Replaces the record of this node; the incarnation rises above the given floor.
    void replaceSelf(Member self, std::uint64_t floor = 0);

    /// A probe of the member failed. False when it was suspect already or is unknown.
    bool suspect(std::string_view nodeId, TimePoint now);
    void confirm(std::string_view nodeId, Milliseconds roundTrip);

    /// Turns suspicions that nobody refuted into deaths and drops old tombstones. The identities
    /// of those that died now.
    [[nodiscard]] std::vector<std::string> expire(TimePoint now);

    /// This process did not run for a while: what others may have said meanwhile is still to be
    /// read, so no suspicion ends before.
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
    /// Nothing expires before this, so the records need not be searched.
    TimePoint nextExpiry_ = TimePoint::max();
};

} // namespace chive
