#include <LibHttp/ResponseReader.h>

#include <LibHttp/BodyBuffer.h>

#include <http_parser.h>

#include <cstdint>
#include <utility>

namespace chive {

namespace {

constexpr int firstStatus = 100;
constexpr int firstFinalStatus = 200; ///< RFC 9110 section 15: 1xx are interim responses.
constexpr int lastStatus = 599;
constexpr std::size_t maximumHeaders = 1'000;
/// Bytes of heads, interim responses and trailers. The parser limits each of them, not their sum.
constexpr std::size_t maximumOverhead = 512 * 1024;
/// A chunk of one byte has a framing of five.
constexpr std::size_t maximumOverheadPerBodyByte = 8;

/// Counts the characters of the status. http_parser takes any number of digits for one.
class StatusLength
{
public:
    void feed(std::string_view bytes)
    {
        for (std::size_t i = 0; i < bytes.size() && part_ != Part::Rest; ++i) {
            const bool isEnd = bytes[i] == ' ' || bytes[i] == '\r' || bytes[i] == '\n';
            if (part_ == Part::Version)
                part_ = bytes[i] == ' ' ? Part::Status : Part::Version;
            else if (!isEnd)
                ++length_;
            else if (length_ > 0 || bytes[i] != ' ')
                part_ = Part::Rest;
        }
    }
    [[nodiscard]] std::size_t length() const { return length_; }

private:
    enum class Part : std::uint8_t { Version, Status, Rest };

    Part part_ = Part::Version;
    std::size_t length_ = 0;
};

} // namespace

struct ResponseReader::Parser
{
    http_parser machine{};
    http_parser_settings callbacks{};
    State state = State::Empty;
    bool isHead = false;
    bool isNameOpen = false; ///< The latest header bytes belong to a name.
    bool isHeadRead = false; ///< Fields that follow are trailers, which are dropped.
    std::size_t maximumBodySize = 0;
    std::size_t bytesTaken = 0; ///< With those of interim responses.
    std::size_t headBytes = 0;  ///< Of the names and values in the response.
    StatusLength statusLength;
    HttpResponse response;
    BodyBuffer body;

    static Parser &of(http_parser *machine) { return *static_cast<Parser *>(machine->data); }

    void reset()
    {
        http_parser_init(&machine, HTTP_RESPONSE);
        machine.data = this;
        statusLength = {};
        response = {};
        headBytes = 0;
        body.clear();
        isNameOpen = false;
        isHeadRead = false;
    }

    /// Whether the status is one of RFC 9110 section 15, in its three digits.
    [[nodiscard]] bool hasStatus() const
    {
        constexpr std::size_t digits = 3;
        return statusLength.length() == digits && machine.status_code >= firstStatus
               && machine.status_code <= lastStatus;
    }

    [[nodiscard]] bool hasTooMuchOverhead() const
    {
        return bytesTaken - body.size()
               > maximumOverhead + maximumOverheadPerBodyByte * body.size();
    }

    static int onHeaderName(http_parser *machine, const char *bytes, std::size_t size)
    {
        Parser &self = of(machine);
        if (self.isHeadRead)
            return 0;
        if (!std::exchange(self.isNameOpen, true)) {
            if (self.response.headers.size() == maximumHeaders)
                return 1;
            self.response.headers.emplace_back();
            self.headBytes += sizeof(Header);
        }
        self.headBytes += size;
        self.response.headers.back().first.append(bytes, size);
        return 0;
    }

    static int onHeaderValue(http_parser *machine, const char *bytes, std::size_t size)
    {
        Parser &self = of(machine);
        if (self.isHeadRead)
            return 0;
        self.isNameOpen = false;
        self.headBytes += size;
        self.response.headers.back().second.append(bytes, size);
        return 0;
    }

    static int onHeadersComplete(http_parser *machine)
    {
        constexpr int skipBody = 1;
        constexpr int failure = -1;
        Parser &self = of(machine);
        self.isHeadRead = true;
        if (!self.hasStatus())
            return failure;
        return self.isHead ? skipBody : 0;
    }

    static int onBody(http_parser *machine, const char *bytes, std::size_t size)
    {
        Parser &self = of(machine);
        if (self.body.size() + size > self.maximumBodySize)
            return 1;
        self.body.append({bytes, size});
        return 0;
    }

    static int onComplete(http_parser *machine)
    {
        Parser &self = of(machine);
        if (machine->status_code >= firstFinalStatus)
            self.state = State::Complete;
        // Bytes that follow belong to no response that was asked for.
        http_parser_pause(machine, 1);
        return 0;
    }
};

ResponseReader::ResponseReader(std::string_view method, std::size_t maximumBodySize)
    : parser_(std::make_unique<Parser>())
{
    parser_->isHead = method == "HEAD";
    parser_->maximumBodySize = maximumBodySize;
    http_parser_settings_init(&parser_->callbacks);
    parser_->callbacks.on_header_field = Parser::onHeaderName;
    parser_->callbacks.on_header_value = Parser::onHeaderValue;
    parser_->callbacks.on_headers_complete = Parser::onHeadersComplete;
    parser_->callbacks.on_body = Parser::onBody;
    parser_->callbacks.on_message_complete = Parser::onComplete;
    parser_->reset();
}

ResponseReader::~ResponseReader() = default;

std::size_t ResponseReader::feed(std::string_view bytes)
{
    Parser &parser = *parser_;
    std::size_t taken = 0;
    while (taken < bytes.size()
           && (parser.state == State::Empty || parser.state == State::Reading)) {
        parser.state = State::Reading;
        parser.statusLength.feed(bytes.substr(taken));
        const std::size_t size = http_parser_execute(&parser.machine, &parser.callbacks,
                                                     bytes.data() + taken, bytes.size() - taken);
        taken += size;
        parser.bytesTaken += size;
        const auto error = HTTP_PARSER_ERRNO(&parser.machine);
        const bool isOpen = parser.state == State::Reading;
        if ((error != HPE_OK && error != HPE_PAUSED) || (isOpen && parser.hasTooMuchOverhead()))
            parser.state = State::Malformed;
        else if (error == HPE_PAUSED && parser.state == State::Reading)
            parser.reset(); // An interim response has ended.
    }
    return taken;
}

void ResponseReader::finishAtClose()
{
    Parser &parser = *parser_;
    if (parser.state != State::Reading)
        return;
    http_parser_execute(&parser.machine, &parser.callbacks, nullptr, 0);
    if (parser.state == State::Reading)
        parser.state = State::Malformed;
}

ResponseReader::State ResponseReader::state() const
{
    return parser_->state;
}

std::size_t ResponseReader::bytesHeld() const
{
    return parser_->headBytes + parser_->body.bytesHeld();
}

bool ResponseReader::keepsConnection() const
{
    return http_should_keep_alive(&parser_->machine) != 0;
}

HttpResponse ResponseReader::take()
{
    parser_->response.status = static_cast<int>(parser_->machine.status_code);
    if (parser_->body.size() > 0)
        parser_->response.body = makeBody(parser_->body.take());
    parser_->headBytes = 0;
    return std::move(parser_->response);
}

} // namespace chive
