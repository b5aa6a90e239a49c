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
        ProbeRequest, ///< Ping the subject in the sender's place.
        Gossip,       ///< Claims only.
        SyncDigest,   ///< One digest for each bucket of the sender's table.
        SyncRecords,  ///< The sender's records of the buckets that differ.
    };

    Type type = Type::Gossip;
    Member sender;
    std::uint64_t sequence = 0;         ///< Ping, Ack and ProbeRequest.
    std::string subject;                ///< Ack and ProbeRequest: identity of the member meant.
    Endpoint subjectLinks;              ///< ProbeRequest: where to ping it.
    std::vector<Member> claims;         ///< What the sender believes about other members.
    std::vector<std::uint64_t> digests; ///< SyncDigest.
    std::uint64_t knownMembers = 0;     ///< SyncDigest: records in the sender's table.
    std::vector<std::uint8_t> buckets;  ///< SyncRecords: the buckets that `claims` covers.
    bool isReplyWanted = false;         ///< SyncRecords: send the same buckets back.
};

/// Encodes a message in CBOR (RFC 8949), fields by position.
[[nodiscard]] std::string encode(const MembershipMessage &message);

/// Error::Kind::Invalid when the bytes are no membership message.
[[nodiscard]] Result<MembershipMessage> parseMembershipMessage(std::string_view bytes);

} // namespace chive
