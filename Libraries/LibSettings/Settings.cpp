#include <LibSettings/Settings.h>

#include <arpa/inet.h>

#include <algorithm>
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

std::size_t maximumResponseBytesHeld(const Settings &settings)
{
    // The rest is for requests, for the copies of whole responses on links, and the process itself.
    constexpr std::size_t divisor = 4;
    if (settings.memory == 0)
        return settings.maximumBytesHeld;
    return std::min(settings.maximumBytesHeld, settings.memory / divisor);
}

std::size_t maximumResponseBodySize(const Settings &settings)
{
    // One response must not take the memory of all others.
    constexpr std::size_t divisor = 2;
    if (settings.memory == 0)
        return settings.maximumBodySize;
    return std::min(settings.maximumBodySize, maximumResponseBytesHeld(settings) / divisor);
}

} // namespace chive
