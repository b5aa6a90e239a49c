#pragma once

#include <LibHttp/HttpMessage.h>

#include <span>
#include <vector>

namespace chive {

/// The headers that an intermediary passes on: all but those that concern one connection, also the
/// ones that `Connection` names (RFC 9110 section 7.6.1), the framing of the body, `Host` and
/// `Expect`.
[[nodiscard]] std::vector<Header> forwardedHeaders(std::span<const Header> all);

} // namespace chive
