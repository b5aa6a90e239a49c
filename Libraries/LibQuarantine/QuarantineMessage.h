#pragma once

#include <LibCore/Result.h>
#include <LibQuarantine/Quarantine.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// Encodes suspicions in CBOR (RFC 8949). Times are sent as ages in milliseconds, because the
/// monotonic clocks of two nodes are unrelated.
[[nodiscard]] std::string encodeSuspicions(std::span<const Suspicion> suspicions, TimePoint now);

/// Returns Error::Kind::Invalid if the bytes are malformed.
[[nodiscard]] Result<std::vector<Suspicion>> parseSuspicions(std::string_view bytes, TimePoint now);

} // namespace chive
