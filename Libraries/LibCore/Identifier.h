#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chive {

/// A random identifier of 32 hexadecimal digits, unique in practice across the mesh.
[[nodiscard]] std::string randomIdentifier();

/// The 128-bit XXH3 digest of the bytes as 32 hexadecimal digits. Not cryptographic: it detects
/// damage and finds equal requests, it does not resist an attacker.
[[nodiscard]] std::string digest(std::string_view bytes);

} // namespace chive
