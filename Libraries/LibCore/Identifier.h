#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chive {

/// A random 128-bit identifier as 32 hexadecimal digits, in practice unique across the mesh.
[[nodiscard]] std::string randomIdentifier();

/// The 128-bit XXH3 digest of the bytes as 32 hexadecimal digits. It detects damage and equal
/// requests but is not cryptographic: an attacker can produce collisions.
[[nodiscard]] std::string digest(std::string_view bytes);

} // namespace chive
