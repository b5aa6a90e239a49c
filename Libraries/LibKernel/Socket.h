#pragma once

#include <LibSettings/Settings.h>

#include <netinet/in.h>

/// The few socket calls that libevent leaves to its users.
namespace chive {

/// The endpoint as the socket calls take it. An IP that is no IPv4 number yields 0.0.0.0.
[[nodiscard]] sockaddr_in addressOf(const Endpoint &endpoint);

/// Small messages must not wait for the acknowledgement of earlier ones (RFC 9293, 3.7.4).
void disableNagle(int socket);

} // namespace chive
