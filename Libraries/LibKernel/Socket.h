#pragma once

#include <LibSettings/Settings.h>

#include <netinet/in.h>

/// The few socket calls that libevent leaves to its users.
namespace chive {

/// The endpoint as the socket calls take it. An IP that is no IPv4 number yields 0.0.0.0.
[[nodiscard]] sockaddr_in addressOf(const Endpoint &endpoint);

/// Small messages must not wait for the acknowledgement of earlier ones (RFC 9293, 3.7.4).
void disableNagle(int socket);

/// Makes the socket fail within about four seconds when the peer does not acknowledge: by probes
/// while it is idle, by TCP_USER_TIMEOUT (RFC 5482) while bytes are out.
void failWhenSilent(int socket);

} // namespace chive
