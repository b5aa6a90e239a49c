#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chive {

/// A header's name and value.
using Header = std::pair<std::string, std::string>;

enum class HttpVersion : std::uint8_t {
    Http10,
    Http11,
};

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/"; ///< Path and query.
    std::vector<Header> headers;
    std::shared_ptr<const std::string> body; ///< Null means empty.
};

struct HttpResponse
{
    int status = 200;
    std::vector<Header> headers;
    std::shared_ptr<const std::string> body; ///< Null means empty.
};

/// The value of the first header of that name, compared without case; empty when there is none.
[[nodiscard]] std::string_view findHeader(std::span<const Header> headers, std::string_view name);

/// Whether two header names are the same, RFC 9110 section 5.1.
[[nodiscard]] bool isSameHeaderName(std::string_view left, std::string_view right);

/// Whether the name is one of those, compared without case.
[[nodiscard]] bool isOneOfHeaders(std::span<const std::string_view> names, std::string_view name);

/// Whether the status says that the server failed, RFC 9110 section 15.6.
[[nodiscard]] bool isServerError(int status);

/// The body's bytes; empty for a null pointer.
[[nodiscard]] std::string_view bytesOf(const std::shared_ptr<const std::string> &body);

/// A body that can be shared without copying.
[[nodiscard]] std::shared_ptr<const std::string> makeBody(std::string bytes);

} // namespace chive
