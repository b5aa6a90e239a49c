#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace chive {

/// Decodes CBOR (RFC 8949). Returns null for invalid input, also if it is nested so deeply that its
/// use could exhaust the stack, and for indefinite lengths, which nodes do not send. Never throws,
/// unlike nlohmann::json, which throws on excessive sizes even with exceptions switched off.
[[nodiscard]] nlohmann::json parseCbor(std::string_view bytes);

} // namespace chive
