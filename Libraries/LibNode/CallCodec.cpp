#include <LibNode/CallCodec.h>

#include <LibCore/Cbor.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace chive {

namespace {

using nlohmann::json;

constexpr std::size_t headLengthBytes = 4;
constexpr Milliseconds maximumDeadline = std::chrono::hours(24);

std::string joinFrame(const json &head, std::string_view body)
{
    std::string frame(headLengthBytes, '\0');
    json::to_cbor(head, frame);
    const auto size = static_cast<std::uint32_t>(frame.size() - headLengthBytes);
    for (std::size_t i = 0; i < headLengthBytes; ++i)
        frame[i] = static_cast<char>(size >> (8 * (headLengthBytes - 1 - i)));
    frame.append(body);
    return frame;
}

Error malformed(const char *what)
{
    return Error{Error::Kind::Invalid, std::string("malformed frame: ") + what};
}

/// Runs a decoder and turns the exception of a wrong type or a missing field into an error.
template<typename Value, typename Decoder>
Result<Value> catchJsonErrors(Decoder decoder)
{
    try {
        return decoder();
    } catch (const json::exception &exception) {
        return malformed(exception.what());
    }
}

struct Parts
{
    json head;
    std::string_view body;
};

Result<Parts> splitFrame(std::string_view frame)
{
    if (frame.size() < headLengthBytes)
        return malformed("no head length");
    std::uint32_t size = 0;
    for (std::size_t i = 0; i < headLengthBytes; ++i)
        size = size << 8 | static_cast<std::uint8_t>(frame[i]);
    frame.remove_prefix(headLengthBytes);
    if (size > frame.size())
        return malformed("head longer than the frame");
    const std::string_view headBytes = frame.substr(0, size);
    json head = parseCbor(headBytes);
    if (!head.is_array())
        return malformed("head is not a CBOR array");
    return Parts{std::move(head), frame.substr(size)};
}

/// Reads the elements of an array in order. Throws out_of_range after the last element.
class ArrayReader
{
public:
    explicit ArrayReader(const json &list)
        : list_(list)
    {}

    const json &next() { return list_.at(position_++); }
    [[nodiscard]] bool isAtEnd() const { return position_ >= list_.size(); }

private:
    const json &list_;
    std::size_t position_ = 0;
};

json encodeHeaders(const std::vector<Header> &headers)
{
    json list = json::array();
    for (const auto &[name, value] : headers) {
        list.push_back(name);
        list.push_back(value);
    }
    return list;
}

std::vector<Header> decodeHeaders(const json &list)
{
    std::vector<Header> headers;
    for (std::size_t i = 0; i + 1 < list.size(); i += 2)
        headers.emplace_back(list.at(i).get<std::string>(), list.at(i + 1).get<std::string>());
    return headers;
}

json encodeAllowance(const Allowance &allowance)
{
    return json::array({allowance.retries, allowance.calls});
}

Allowance decodeAllowance(const json &list)
{
    return {list.at(0).get<std::uint32_t>(), list.at(1).get<std::uint32_t>()};
}

/// Reads an enumerator. Throws out_of_range above `last`, as the accessors of nlohmann::json do.
template<typename Enum>
Enum decodeEnum(const json &value, Enum last)
{
    const auto number = value.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(last))
        throw json::out_of_range::create(401, "enumerator out of range", &value);
    return static_cast<Enum>(number);
}

json encodeVerdict(const Verdict &verdict)
{
    const json after = verdict.retryAfter ? json(verdict.retryAfter->count()) : json();
    return json::array({verdict.execution, verdict.reason, verdict.retriedBelow,
                        verdict.hasReachedTarget, verdict.detail, after});
}

Verdict decodeVerdict(const json &value)
{
    ArrayReader fields(value);
    Verdict verdict;
    verdict.execution = decodeEnum(fields.next(), Execution::HasRun);
    verdict.reason = decodeEnum(fields.next(), Reason::QuotaExceeded);
    verdict.retriedBelow = fields.next().get<bool>();
    verdict.hasReachedTarget = fields.next().get<bool>();
    verdict.detail = fields.next().get<std::string>();
    const json &after = fields.next();
    if (!after.is_null())
        verdict.retryAfter = Milliseconds(after.get<std::int64_t>());
    return verdict;
}

json encodeLoad(const TargetLoad &load)
{
    json list = json::array({load.inFlight, load.queued, load.limit, load.admitted});
    if (load.work) {
        list.push_back(load.work->untilStart);
        list.push_back(load.work->ownTime);
    }
    return list;
}

TargetLoad decodeLoad(const json &list)
{
    ArrayReader fields(list);
    TargetLoad load;
    load.inFlight = fields.next().get<std::uint32_t>();
    load.queued = fields.next().get<std::uint32_t>();
    load.limit = fields.next().get<std::uint32_t>();
    load.admitted = fields.next().get<std::uint8_t>();
    if (fields.isAtEnd())
        return load;
    WorkReport work;
    work.untilStart = fields.next().get<std::uint32_t>();
    work.ownTime = fields.next().get<std::uint32_t>();
    load.work = work;
    return load;
}

std::shared_ptr<const std::string> copyBody(std::string_view body)
{
    return body.empty() ? nullptr : makeBody(std::string(body));
}

} // namespace

std::string encodeCall(Token token, const Call &call, TimePoint now)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(call.deadline - now);
    json head = json::array({
            token,
            call.requestId,
            call.service,
            call.kind,
            call.rootKind,
            call.treeDraw,
            call.method,
            call.path,
            encodeHeaders(call.headers),
            call.key,
            call.fingerprint,
            call.importance,
            call.repetition,
            call.duration,
            left.count(),
            call.objective.count(),
            call.isNested,
            encodeAllowance(call.allowance),
    });
    if (!call.customer.empty())
        head.push_back(call.customer);
    return joinFrame(head, bytesOf(call.body));
}

Result<PeerCall> decodeCall(std::string_view frame, TimePoint now)
{
    CHIVE_TRY(parts, splitFrame(frame));
    return catchJsonErrors<PeerCall>([&]() -> Result<PeerCall> {
        const json &head = parts.head;
        PeerCall peer;
        ArrayReader fields(head);
        peer.token = fields.next().get<Token>();
        Call &call = peer.call;
        call.requestId = fields.next().get<std::string>();
        call.service = fields.next().get<std::string>();
        call.kind = fields.next().get<std::string>();
        call.rootKind = fields.next().get<std::string>();
        call.treeDraw = fields.next().get<double>();
        call.method = fields.next().get<std::string>();
        call.path = fields.next().get<std::string>();
        call.headers = decodeHeaders(fields.next());
        call.key = fields.next().get<std::string>();
        call.fingerprint = fields.next().get<std::string>();
        call.importance = decodeEnum(fields.next(), Importance::Low);
        call.repetition = decodeEnum(fields.next(), Repetition::AtMostOnce);
        call.duration = decodeEnum(fields.next(), Duration::Long);
        const auto left = fields.next().get<std::int64_t>();
        call.deadline = now + std::clamp(Milliseconds(left), Milliseconds(0), maximumDeadline);
        call.objective = std::clamp(Milliseconds(fields.next().get<std::int64_t>()),
                                    Milliseconds(0), maximumDeadline);
        call.isNested = fields.next().get<bool>();
        call.allowance = decodeAllowance(fields.next());
        if (!fields.isAtEnd())
            call.customer = fields.next().get<std::string>();
        call.body = copyBody(parts.body);
        return peer;
    });
}

std::string encodeOutcome(Token token, const CallOutcome &outcome)
{
    json head = json::array({token, encodeAllowance(outcome.unspent), encodeLoad(outcome.load),
                             outcome.failedBelow});
    if (!outcome.result.has_value()) {
        head.push_back(encodeVerdict(outcome.result.error()));
        return joinFrame(head, {});
    }
    // The decoder distinguishes an answer from a verdict by the number of elements.
    const Answer &answer = outcome.result.value();
    head.push_back(answer.status);
    head.push_back(encodeHeaders(answer.headers));
    head.push_back(bytesOf(answer.body).size());
    return joinFrame(head, bytesOf(answer.body));
}

Result<PeerOutcome> decodeOutcome(std::string_view frame)
{
    CHIVE_TRY(parts, splitFrame(frame));
    return catchJsonErrors<PeerOutcome>([&]() -> Result<PeerOutcome> {
        constexpr std::size_t sizeWithVerdict = 5;
        ArrayReader fields(parts.head);
        PeerOutcome peer;
        peer.token = fields.next().get<Token>();
        peer.outcome.unspent = decodeAllowance(fields.next());
        peer.outcome.load = decodeLoad(fields.next());
        peer.outcome.failedBelow = fields.next().get<bool>();
        if (parts.head.size() == sizeWithVerdict) {
            peer.outcome.result = decodeVerdict(fields.next());
            return peer;
        }
        Answer answer;
        answer.status = fields.next().get<int>();
        answer.headers = decodeHeaders(fields.next());
        if (fields.next().get<std::size_t>() != parts.body.size())
            return malformed("body length does not match the head");
        answer.body = copyBody(parts.body);
        peer.outcome.result = std::move(answer);
        return peer;
    });
}

std::string encodeCancel(Token token)
{
    return joinFrame(json::array({token}), {});
}

Result<Token> decodeCancel(std::string_view frame)
{
    CHIVE_TRY(parts, splitFrame(frame));
    return catchJsonErrors<Token>([&]() -> Result<Token> { return parts.head.at(0).get<Token>(); });
}

} // namespace chive
