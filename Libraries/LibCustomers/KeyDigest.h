#pragma once

#include <string>
#include <string_view>

namespace chive {

/// The first 128 bits of the SHA-256 digest of a customer's key, as 32 hexadecimal digits. All
/// nodes get the same digest, so that they exchange digests in place of keys, and nobody can
/// construct another key that has the digest of a customer's.
[[nodiscard]] std::string keyDigest(std::string_view key);

} // namespace chive
