#pragma once

#include <LibHttp/HttpMessage.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chive {

/// Reads one HTTP/1.1 response (RFC 9112) from bytes as they come, by http_parser. It knows no
/// socket. Interim responses (1xx) are skipped, trailers dropped.
class ResponseReader
{
public:
    enum class State {
        Empty,     ///< No byte of a response has come.
        Reading,   ///< A part has come.
        Complete,  ///< The whole response has come.
        Malformed, ///< The bytes are no response, or there are more of them than allowed.
    };

    /// `method` is that of the request, which decides whether there is a body.
    ResponseReader(std::string_view method, std::size_t maximumBodySize);
    ~ResponseReader();
    ResponseReader(const ResponseReader &) = delete;
    ResponseReader &operator=(const ResponseReader &) = delete;

    /// Takes bytes up to the end of the response. Returns how many belong to it.
    std::size_t feed(std::string_view bytes);

    /// The server closed the connection in order, which ends a body without a length.
    void finishAtClose();

    [[nodiscard]] State state() const;

    /// Bytes of memory that the head and the body take.
    [[nodiscard]] std::size_t bytesHeld() const;

    /// Whether the server keeps the connection open after this response.
    [[nodiscard]] bool keepsConnection() const;

    /// The complete response. The reader is of no use afterwards.
    [[nodiscard]] HttpResponse take();

private:
    struct Parser;
    std::unique_ptr<Parser> parser_;
};

} // namespace chive
