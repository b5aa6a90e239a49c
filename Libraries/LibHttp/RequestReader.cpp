#include <LibHttp/RequestReader.h>

#include <http_parser.h>

#include <algorithm>
#include <string>
#include <utility>

namespace chive {

namespace {

constexpr std::size_t maximumHeadSize = 64 * 1024;
constexpr std::size_t maximumHeaders = 1'000;
/// Bytes of the head, the framing of chunks and trailers. The parser limits each of them, not their
/// sum.
constexpr std::size_t maximumOverhead = 512 * 1024;
/// A chunk of one byte has a framing of five.
constexpr std::size_t maximumOverheadPerBodyByte = 8;

bool isSupported(unsigned method)
{
    switch (method) {
    case HTTP_GET:
    case HTTP_POST:
    case HTTP_HEAD:
    case HTTP_PUT:
    case HTTP_DELETE:
    case HTTP_OPTIONS:
    case HTTP_PATCH:
        return true;
    default:
        return false;
    }
}

/// RFC 9110 section 5.5.
bool hasControlBytes(std::string_view value)
{
    return std::ranges::any_of(value, [](char c) {
        return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7F;
    });
}

} // namespace

struct RequestReader::Parser
{
    http_parser machine{};
    http_parser_settings callbacks{};
    State state = State::Empty;
    bool isNameOpen = false; ///< The latest header bytes belong to a name.
    bool isHeadRead = false; ///< Fields that follow are trailers, which are dropped.
    bool keepsConnection = true;
    std::size_t maximumBodySize = 0;
    std::size_t bytesTaken = 0;
    std::string headerWithAnyBytes; ///< Its values may hold control bytes; empty: none.
    HttpRequest request;
    std::string body;

    static Parser &of(http_parser *machine) { return *static_cast<Parser *>(machine->data); }

    void reset()
    {
        http_parser_init(&machine, HTTP_REQUEST);
        machine.data = this;
        // The parser's own checks of control bytes and of encodings of the body are repeated below.
        machine.lenient_http_headers = headerWithAnyBytes.empty() ? 0 : 1;
        state = State::Empty;
        request = {};
        request.target.clear();
        body.clear();
        bytesTaken = 0;
        isNameOpen = false;
        isHeadRead = false;
    }

    [[nodiscard]] bool hasTooMuchOverhead() const
    {
        return bytesTaken - body.size()
               > maximumOverhead + maximumOverheadPerBodyByte * body.size();
    }

    /// Ends the request in this state; the return value stops the parser.
    int fail(State reason)
    {
        state = reason;
        return -1;
    }

    static int onBegin(http_parser *machine)
    {
        of(machine).state = State::Reading;
        return 0;
    }

    static int onTarget(http_parser *machine, const char *bytes, std::size_t size)
    {
        of(machine).request.target.append(bytes, size);
        return 0;
    }

    static int onHeaderName(http_parser *machine, const char *bytes, std::size_t size)
    {
        Parser &self = of(machine);
        if (self.isHeadRead)
            return 0;
        if (!std::exchange(self.isNameOpen, true)) {
            if (self.request.headers.size() == maximumHeaders)
                return self.fail(State::HeadTooLarge);
            self.request.headers.emplace_back();
        }
        self.request.headers.back().first.append(bytes, size);
        return 0;
    }

    static int onHeaderValue(http_parser *machine, const char *bytes, std::size_t size)
    {
        Parser &self = of(machine);
        const bool mayHoldAnyBytes
                = !self.isHeadRead && !self.headerWithAnyBytes.empty()
                  && isSameHeaderName(self.request.headers.back().first, self.headerWithAnyBytes);
        if (!mayHoldAnyBytes && hasControlBytes({bytes, size}))
            return self.fail(State::Malformed);
        if (self.isHeadRead)
            return 0;
        self.isNameOpen = false;
        self.request.headers.back().second.append(bytes, size);
        return 0;
    }

    static int onHeadersComplete(http_parser *machine)
    {
        Parser &self = of(machine);
        self.isHeadRead = true;
        // http_parser accepts spaces in names, so `Content-Length : 4` would not frame the body.
        const bool hasNameWithSpace
                = std::ranges::any_of(self.request.headers, [](const Header &one) {
                      return one.first.find(' ') != std::string::npos;
                  });
        const bool hasUnknownEncoding
                = machine->uses_transfer_encoding != 0 && (machine->flags & F_CHUNKED) == 0;
        if (hasNameWithSpace || hasUnknownEncoding || machine->http_major != 1)
            return self.fail(State::Malformed);
        if (!isSupported(machine->method))
            return self.fail(State::Unsupported);
        const bool hasLength = (machine->flags & F_CONTENTLENGTH) != 0;
        if (hasLength && machine->content_length > self.maximumBodySize)
            return self.fail(State::BodyTooLarge);
        // No other protocol is spoken here, so the request is served as if it had not asked for it.
        machine->upgrade = 0;
        return 0;
    }

    static int onBody(http_parser *machine, const char *bytes, std::size_t size)
    {
        Parser &self = of(machine);
        if (self.body.size() + size > self.maximumBodySize)
            return self.fail(State::BodyTooLarge);
        self.body.append(bytes, size);
        return 0;
    }

    static int onComplete(http_parser *machine)
    {
        Parser &self = of(machine);
        self.state = State::Complete;
        self.keepsConnection = http_should_keep_alive(machine) != 0;
        // The bytes that follow belong to the next request.
        http_parser_pause(machine, 1);
        return 0;
    }
};

RequestReader::RequestReader(std::size_t maximumBodySize)
    : parser_(std::make_unique<Parser>())
{
    parser_->maximumBodySize = maximumBodySize;
    http_parser_settings_init(&parser_->callbacks);
    parser_->callbacks.on_message_begin = Parser::onBegin;
    parser_->callbacks.on_url = Parser::onTarget;
    parser_->callbacks.on_header_field = Parser::onHeaderName;
    parser_->callbacks.on_header_value = Parser::onHeaderValue;
    parser_->callbacks.on_headers_complete = Parser::onHeadersComplete;
    parser_->callbacks.on_body = Parser::onBody;
    parser_->callbacks.on_message_complete = Parser::onComplete;
    parser_->reset();
}

RequestReader::~RequestReader() = default;

void RequestReader::allowControlBytesIn(std::string_view header)
{
    if (parser_->headerWithAnyBytes == header)
        return;
    parser_->headerWithAnyBytes = header;
    if (parser_->state == State::Empty)
        parser_->reset();
}

std::size_t RequestReader::feed(std::string_view bytes)
{
    Parser &parser = *parser_;
    if (parser.state != State::Empty && parser.state != State::Reading)
        return 0;
    const std::size_t taken
            = http_parser_execute(&parser.machine, &parser.callbacks, bytes.data(), bytes.size());
    parser.bytesTaken += taken;
    const auto error = HTTP_PARSER_ERRNO(&parser.machine);
    const bool isOpen = parser.state == State::Empty || parser.state == State::Reading;
    if (!isOpen)
        return taken;
    const bool isHeadTooLarge = !parser.isHeadRead && parser.bytesTaken > maximumHeadSize;
    if (isHeadTooLarge || error == HPE_HEADER_OVERFLOW)
        parser.state = State::HeadTooLarge;
    else if (error == HPE_INVALID_METHOD)
        parser.state = State::Unsupported;
    else if (error != HPE_OK || parser.hasTooMuchOverhead())
        parser.state = State::Malformed;
    return taken;
}

RequestReader::State RequestReader::state() const
{
    return parser_->state;
}

bool RequestReader::isHeadRead() const
{
    return parser_->isHeadRead;
}

bool RequestReader::awaitsContinue() const
{
    return parser_->state == State::Reading && parser_->isHeadRead && parser_->body.empty()
           && parser_->machine.http_minor > 0
           && isSameHeaderName(findHeader(parser_->request.headers, "Expect"), "100-continue");
}

HttpVersion RequestReader::version() const
{
    return parser_->machine.http_minor == 0 ? HttpVersion::Http10 : HttpVersion::Http11;
}

bool RequestReader::keepsConnection() const
{
    return parser_->keepsConnection;
}

HttpRequest RequestReader::take()
{
    Parser &parser = *parser_;
    HttpRequest request = std::move(parser.request);
    request.method = http_method_str(static_cast<http_method>(parser.machine.method));
    request.body = makeBody(std::move(parser.body));
    parser.reset();
    return request;
}

} // namespace chive
