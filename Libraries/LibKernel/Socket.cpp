#include <LibKernel/Socket.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace chive {

sockaddr_in addressOf(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
    return address;
}

void disableNagle(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void failWhenSilent(int socket)
{
    const int on = 1;
    const int probeInterval = 1; // seconds
    const int probes = 3;
    const int unacknowledged = 3'000; // ms
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &probeInterval, sizeof probeInterval);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &probeInterval, sizeof probeInterval);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged, sizeof unacknowledged);
}

} // namespace chive
