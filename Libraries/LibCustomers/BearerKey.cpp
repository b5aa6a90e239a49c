#include <LibCustomers/BearerKey.h>

#include <algorithm>

namespace chive {

namespace {

constexpr std::string_view scheme = "Bearer";
/// Bytes. Longer values are refused without computing their digest.
constexpr std::size_t longestKey = 4'096;

bool isVisible(char c)
{
    return c > 0x20 && c < 0x7F;
}

} // namespace

BearerKey readBearerKey(std::span<const Header> headers)
{
    const auto isKey
            = [](const Header &header) { return isSameHeaderName(header.first, keyHeader); };
    const auto first = std::ranges::find_if(headers, isKey);
    if (first == headers.end())
        return {};
    const BearerKey malformed{KeyPresence::Malformed, {}};
    if (std::any_of(first + 1, headers.end(), isKey))
        return malformed;
    const std::string_view value = first->second;
    // Names of schemes are compared without case (RFC 9110 section 11.1), as those of headers.
    if (value.size() <= scheme.size() || value[scheme.size()] != ' '
        || !isSameHeaderName(value.substr(0, scheme.size()), scheme))
        return malformed;
    const auto begin = value.find_first_not_of(' ', scheme.size());
    if (begin == std::string_view::npos)
        return malformed;
    const std::string_view key = value.substr(begin);
    if (key.size() > longestKey || !std::ranges::all_of(key, isVisible))
        return malformed;
    return {KeyPresence::Present, key};
}

} // namespace chive
