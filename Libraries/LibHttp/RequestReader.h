#pragma once

#include <LibHttp/HttpMessage.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace chive {

/// Reads HTTP/1.1 requests (RFC 9112) from bytes as they come, one at a time, by http_parser. It
/// knows no socket. Trailers are dropped.
class RequestReader
{
public:
    enum class State : std::uint8_t {
        Empty,        ///< No byte of a request has come.
        Reading,      ///< A part has come.
        Complete,     ///< The whole request has come.
        Malformed,    ///< The bytes are no request, or its framing is ambiguous.
        Unsupported,  ///< The method is not supported.
        HeadTooLarge, ///< The head is longer than allowed.
        BodyTooLarge, ///< The body is longer than allowed.
    };

    explicit RequestReader(std::size_t maximumBodySize);
    ~RequestReader();
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    /// From the next request on, values of this header may hold control bytes, so that whoever
    /// reads the request refuses it. In all others they make the request malformed. Empty: none.
    void allowControlBytesIn(std::string_view header);

    /// Takes bytes up to the end of the request. Returns how many belong to it.
    std::size_t feed(std::string_view bytes);

    [[nodiscard]] State state() const;

    /// Whether the head is whole, while the state is Reading.
    [[nodiscard]] bool isHeadRead() const;

    /// Whether the peer waits for an interim response before it sends the body, RFC 9110 section
    /// 10.1.1.
    [[nodiscard]] bool awaitsContinue() const;

    /// The version of the complete request.
    [[nodiscard]] HttpVersion version() const;

    /// Whether the peer keeps the connection open after the complete request.
    [[nodiscard]] bool keepsConnection() const;

    /// The complete request. The reader is empty afterwards.
    [[nodiscard]] HttpRequest take();

private:
    struct Parser;
    std::unique_ptr<Parser> parser_;
};

} // namespace chive
