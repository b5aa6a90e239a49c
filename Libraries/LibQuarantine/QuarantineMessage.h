#pragma once

#include <LibCore/Result.h>
#include <LibQuarantine/Quarantine.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// Encodes suspicions in CBOR (RFC 8949). Times travel as ages in milliseconds, because the
/// monotonic clocks of two nodes have nothing in common.
[[nodiscard]] std::string encodeSuspicions(std::span<const Suspicion> suspicions, TimePoint now);

/// Error::Kind::Invalid when the bytes are no suspicions.
[[nodiscard]] Result<std::vector<Suspicion>> parseSuspicions(std::string_view bytes, TimePoint now);

} // namespace chive
