#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibNode/Call.h>
#include <LibNode/Messages.h>

#include <string>
#include <string_view>

/// Encodes and decodes the frames that carry calls between nodes. A frame is the length of the head
/// (four bytes, big endian), the head in CBOR (RFC 8949), then the raw body, which spares copying
/// long bodies through the codec. A deadline is sent as the remaining time, since the clocks of VMs
/// differ.
namespace chive {

/// A call received from a peer, with the peer's token for it.
struct PeerCall
{
    Token token = 0;
    Call call;
};

/// An outcome received from a peer, with the token of the call that it answers.
struct PeerOutcome
{
    Token token = 0;
    CallOutcome outcome;
};

[[nodiscard]] std::string encodeCall(Token token, const Call &call, TimePoint now);
[[nodiscard]] Result<PeerCall> decodeCall(std::string_view frame, TimePoint now);

[[nodiscard]] std::string encodeOutcome(Token token, const CallOutcome &outcome);
[[nodiscard]] Result<PeerOutcome> decodeOutcome(std::string_view frame);

[[nodiscard]] std::string encodeCancel(Token token);
[[nodiscard]] Result<Token> decodeCancel(std::string_view frame);

} // namespace chive
