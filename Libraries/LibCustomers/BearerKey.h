#pragma once

#include <LibHttp/HttpMessage.h>

#include <cstdint>
#include <span>
#include <string_view>

namespace chive {

inline constexpr std::string_view keyHeader = "Authorization";

enum class KeyPresence : std::uint8_t {
    Absent,    ///< There is no Authorization header.
    Malformed, ///< The header is not a single key of the scheme Bearer.
    Present,
};

/// The key that a request carries as `Authorization: Bearer KEY` (RFC 6750 section 2.1).
struct BearerKey
{
    KeyPresence presence = KeyPresence::Absent;
    std::string_view text; ///< Refers to the headers; empty unless the key is present.
};

[[nodiscard]] BearerKey readBearerKey(std::span<const Header> headers);

} // namespace chive
