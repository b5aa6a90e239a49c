#pragma once

#include <LibCore/Result.h>
#include <LibNode/Messages.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// One message of the membership protocol. Every message carries the sender's own record and may
/// carry claims about other members.
struct MembershipMessage
{
    enum class Type : std::uint8_t {
        Ping,         ///< Answer with an Ack of the same sequence.
        Ack,          ///< The subject answered the ping of this sequence.
        ProbeRequest, ///< Ping the subject on behalf of the sender.
        Gossip,       ///< Carries only claims.
        SyncDigest,   ///< One digest for each bucket of the sender's table.
        SyncRecords,  ///< The sender's records of the buckets that differ.
    };

    Type type = Type::Gossip;
    Member sender;
    std::uint64_t sequence = 0;         ///< Ping, Ack and ProbeRequest.
    std::string subject;                ///< Ack and ProbeRequest: node id of the probed member.
    Endpoint subjectLinks;              ///< ProbeRequest: where to ping it.
    std::vector<Member> claims;         ///< The sender's records of other members.
    std::vector<std::uint64_t> digests; ///< SyncDigest.
    std::uint64_t knownMembers = 0;     ///< SyncDigest: records in the sender's table.
    std::vector<std::uint8_t> buckets;  ///< SyncRecords: the buckets that `claims` covers.
    bool isReplyWanted = false;         ///< SyncRecords: the receiver sends back the same buckets.
};

/// Encodes a message in CBOR (RFC 8949), fields by position.
[[nodiscard]] std::string encode(const MembershipMessage &message);

/// Fails with Error::Kind::Invalid if the bytes are not a membership message.
[[nodiscard]] Result<MembershipMessage> parseMembershipMessage(std::string_view bytes);

} // namespace chive
