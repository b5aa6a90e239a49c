#include <Node/LinkFrame.h>

#include <LibCore/Cbor.h>

#include <nlohmann/json.hpp>

namespace chive {

namespace {

using nlohmann::json;

constexpr auto lastTopic = Topic::Quota;

} // namespace

std::string_view nameOf(LinkClass linkClass)
{
    switch (linkClass) {
    case LinkClass::Control:
        return "control";
    case LinkClass::Short:
        return "short";
    case LinkClass::Bulk:
        return "bulk";
    }
    return "unknown";
}

std::string_view purposeOf(Topic topic)
{
    switch (topic) {
    case Topic::Call:
    case Topic::Answer:
    case Topic::Cancel:
        return "calls";
    case Topic::Membership:
    case Topic::Hello:
        return "membership";
    case Topic::Notes:
    case Topic::Configuration:
        return "configuration";
    case Topic::Pressure:
    case Topic::PressureSummary:
        return "load";
    case Topic::Quota:
        return "quotas";
    case Topic::Once:
    case Topic::Quarantine:
    case Topic::Status:
        return "other";
    }
    return "other";
}

std::string joinFrame(Topic topic, std::string_view payload)
{
    std::string message;
    message.reserve(1 + payload.size());
    message.push_back(static_cast<char>(topic));
    message.append(payload);
    return message;
}

std::optional<LinkFrame> splitFrame(std::string_view message)
{
    if (message.empty())
        return std::nullopt;
    const auto topic = static_cast<std::uint8_t>(message.front());
    if (topic > static_cast<std::uint8_t>(lastTopic))
        return std::nullopt;
    return LinkFrame{static_cast<Topic>(topic), message.substr(1)};
}

std::string encodeHello(const LinkKey &self)
{
    const json hello = {
            {"ip", self.peer.ip},
            {"port", self.peer.port},
            {"class", self.linkClass},
    };
    std::string bytes;
    json::to_cbor(hello, bytes);
    return bytes;
}

Result<LinkKey> decodeHello(std::string_view payload)
{
    try {
        const json hello = parseCbor(payload);
        const auto linkClass = hello.at("class").get<std::uint64_t>();
        if (linkClass > static_cast<std::uint64_t>(LinkClass::Bulk))
            return Error{Error::Kind::Invalid, "hello with an unknown link class"};
        return LinkKey{{hello.at("ip").get<std::string>(), hello.at("port").get<std::uint16_t>()},
                       static_cast<LinkClass>(linkClass)};
    } catch (const json::exception &exception) {
        return Error{Error::Kind::Invalid, std::string("malformed hello: ") + exception.what()};
    }
}

} // namespace chive
