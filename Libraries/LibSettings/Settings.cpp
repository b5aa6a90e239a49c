#include <LibSettings/Settings.h>

#include <arpa/inet.h>

#include <charconv>

namespace chive {

std::string format(const Endpoint &endpoint)
{
    return endpoint.ip + ":" + std::to_string(endpoint.port);
}

Result<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return Error{Error::Kind::Invalid, "expected IP:PORT, got '" + std::string(text) + "'"};
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size() || port == 0)
        return Error{Error::Kind::Invalid,
                     "expected a port of 1 to 65535 in '" + std::string(text) + "'"};
    Endpoint endpoint{std::string(text.substr(0, colon)), port};
    in_addr address{};
    if (inet_pton(AF_INET, endpoint.ip.c_str(), &address) != 1)
        return Error{Error::Kind::Invalid,
                     "expected an IPv4 address in '" + std::string(text) + "'"};
    return endpoint;
}

bool usesLog(const Settings &settings)
{
    return settings.backing == Settings::Backing::Log;
}

bool usesStore(const Settings &settings)
{
    return settings.backing == Settings::Backing::Store;
}

} // namespace chive
