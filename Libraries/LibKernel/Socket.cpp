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

} // namespace chive
