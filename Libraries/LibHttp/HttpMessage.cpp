#include <LibHttp/HttpMessage.h>

#include <strings.h>

#include <algorithm>

namespace chive {

bool isSameHeaderName(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

bool isOneOfHeaders(std::span<const std::string_view> names, std::string_view name)
{
    return std::ranges::any_of(
            names, [&](std::string_view candidate) { return isSameHeaderName(candidate, name); });
}

bool isServerError(int status)
{
    constexpr int leastServerError = 500;
    return status >= leastServerError;
}

std::string_view findHeader(std::span<const Header> headers, std::string_view name)
{
    for (const auto &[candidate, value] : headers) {
        if (isSameHeaderName(candidate, name))
            return value;
    }
    return {};
}

std::string_view bytesOf(const std::shared_ptr<const std::string> &body)
{
    return body ? std::string_view(*body) : std::string_view();
}

std::shared_ptr<const std::string> makeBody(std::string bytes)
{
    return std::make_shared<const std::string>(std::move(bytes));
}

} // namespace chive
