#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibNode/Call.h>
#include <LibNode/Messages.h>

#include <string>
#include <string_view>

/// The frames that carry calls between nodes: four bytes with the length of the head (big endian),
/// the head in CBOR (RFC 8949), then the body as it is, so that long bodies are not copied into
/// and out of the codec. Deadlines travel as time left, since clocks differ between VMs.
namespace chive {

/// A call as the peer asked for it, with the token of the peer's exchange.
struct PeerCall
{
    Token token = 0;
    Call call;
};

/// An outcome with the token of the exchange that it answers.
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
