#include <Harness/Ports.h>

#include <cstdint>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chive {

namespace {

constexpr std::uint16_t firstPort = 20'100;
constexpr std::uint16_t endPort = 31'900;
/// Test programs that run side by side start their search in different places.
constexpr std::uint32_t portsPerProcess = 97;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool canListen(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    const bool isFree
            = bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0
              && listen(socket, 1) == 0;
    close(socket);
    return isFree;
}

/// Binds the UDP port of the same number for the life of this process, so that another test program
/// does not take the TCP port before anybody listens there.
bool reserve(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
        return true;
    close(socket);
    return false;
}

} // namespace

Endpoint freeEndpoint()
{
    static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * portsPerProcess;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % (endPort - firstPort));
        if (reserve(port) && canListen(port))
            return {"127.0.0.1", port};
    }
}

} // namespace chive
