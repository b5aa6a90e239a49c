#pragma once

#include <LibSettings/Settings.h>

namespace chive {

/// A loopback endpoint that nobody listens on now; never the same twice in one process. The ports
/// lie below those that the system gives to outgoing connections.
[[nodiscard]] Endpoint freeEndpoint();

} // namespace chive
