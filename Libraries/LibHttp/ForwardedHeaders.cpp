#include <LibHttp/ForwardedHeaders.h>

#include <array>
#include <string_view>

namespace chive {

namespace {

constexpr std::array<std::string_view, 10> heldBackHeaders{
        "Connection", "Keep-Alive",     "Proxy-Connection",  "TE",     "Trailer", "Upgrade",
        "Host",       "Content-Length", "Transfer-Encoding", "Expect",
};

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// Whether a comma-separated list holds the name.
bool lists(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (isSameHeaderName(trimmed(list.substr(0, comma)), name))
            return true;
        if (comma == std::string_view::npos)
            return false;
        list.remove_prefix(comma + 1);
    }
    return false;
}

} // namespace

std::vector<Header> forwardedHeaders(std::span<const Header> all)
{
    const std::string_view ofConnection = findHeader(all, "Connection");
    std::vector<Header> kept;
    kept.reserve(all.size() + 4);
    for (const Header &header : all) {
        if (!isOneOfHeaders(heldBackHeaders, header.first) && !lists(ofConnection, header.first))
            kept.push_back(header);
    }
    return kept;
}

} // namespace chive
