#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace chive {

/// Decodes CBOR (RFC 8949); null for bytes that are none. Never throws, unlike the library, which
/// does on absurd sizes even when told not to.
[[nodiscard]] nlohmann::json parseCbor(std::string_view bytes);

} // namespace chive
