#pragma once

#include <LibNode/Messages.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>

/// The framing of messages on a link: one byte for the topic, then the payload of the topic.
namespace chive {

inline constexpr std::array allLinkClasses{LinkClass::Control, LinkClass::Short, LinkClass::Bulk};

[[nodiscard]] std::string_view nameOf(LinkClass linkClass);

/// What the frames of a topic are for, as the metrics name it.
[[nodiscard]] std::string_view purposeOf(Topic topic);

/// Identifies a link by the peer's link endpoint and the class.
struct LinkKey
{
    Endpoint peer;
    LinkClass linkClass = LinkClass::Control;

    // clang-tidy 14 takes the comparison with 0 that the compiler generates for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const LinkKey &) const = default;
};

/// A received message split into topic and payload. The payload refers to the message.
struct LinkFrame
{
    Topic topic = Topic::Hello;
    std::string_view payload;
};

[[nodiscard]] std::string joinFrame(Topic topic, std::string_view payload);

/// Returns nothing for an empty message or an unknown topic.
[[nodiscard]] std::optional<LinkFrame> splitFrame(std::string_view message);

/// The payload of the first frame on a link, in CBOR: the endpoint of the node that opened the
/// link, and the link class.
[[nodiscard]] std::string encodeHello(const LinkKey &self);
[[nodiscard]] Result<LinkKey> decodeHello(std::string_view payload);

} // namespace chive
