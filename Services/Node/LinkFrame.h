#pragma once

#include <LibNode/Messages.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>

/// What every message on a link begins with: one byte with the topic, then the topic's payload.
namespace chive {

inline constexpr std::array allLinkClasses{LinkClass::Control, LinkClass::Short, LinkClass::Bulk};

[[nodiscard]] std::string_view nameOf(LinkClass linkClass);

/// Which link: the peer's link endpoint and the class.
struct LinkKey
{
    Endpoint peer;
    LinkClass linkClass = LinkClass::Control;

    // clang-tidy 14 takes the comparison with 0 that the compiler generates for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const LinkKey &) const = default;
};

struct LinkFrame
{
    Topic topic = Topic::Hello;
    std::string_view payload;
};

[[nodiscard]] std::string joinFrame(Topic topic, std::string_view payload);

/// Nothing for an empty message or an unknown topic.
[[nodiscard]] std::optional<LinkFrame> splitFrame(std::string_view message);

/// The first frame on a link (CBOR): who made it, and its class.
[[nodiscard]] std::string encodeHello(const LinkKey &self);
[[nodiscard]] Result<LinkKey> decodeHello(std::string_view payload);

} // namespace chive
