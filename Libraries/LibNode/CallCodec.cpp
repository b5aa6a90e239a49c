#include <LibNode/CallCodec.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace chive {

namespace {

using nlohmann::json;

constexpr std::size_t lengthBytes = 4;
constexpr Milliseconds longestDeadline = std::chrono::hours(24);

std::string joinFrame(const json &head, std::string_view body)
{
    std::string frame(lengthBytes, '\0');
    json::to_cbor(head, frame);
    const auto size = static_cast<std::uint32_t>(frame.size() - lengthBytes);
    for (std::size_t i = 0; i < lengthBytes; ++i)
        frame[i] = static_cast<char>(size >> (8 * (lengthBytes - 1 - i)));
    frame.append(body);
    return frame;
}

Error malformed(const char *what)
{
    return Error{Error::Kind::Invalid, std::string("malformed frame: ") + what};
}

/// Runs a decoder whose accessors throw on a wrong type or a missing field.
template<typename Value, typename Decoder>
Result<Value> guarded(Decoder decoder)
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
    if (frame.size() < lengthBytes)
        return malformed("no length");
    std::uint32_t size = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i)
        size = size << 8 | static_cast<std::uint8_t>(frame[i]);
    frame.remove_prefix(lengthBytes);
    if (size > frame.size())
        return malformed("head longer than the frame");
    const std::string_view headBytes = frame.substr(0, size);
    // An excessive container size throws even where exceptions are switched off.
    return guarded<Parts>([&]() -> Result<Parts> {
        json head = json::from_cbor(headBytes.begin(), headBytes.end());
        if (!head.is_object())
            return malformed("head is no CBOR map");
        return Parts{std::move(head), frame.substr(size)};
    });
}

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

/// Reads an enumerator; throws out_of_range, as nlohmann's own accessors do, above `last`.
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
    json value = {
            {"execution", verdict.execution}, {"reason", verdict.reason},
            {"below", verdict.retriedBelow},  {"reached", verdict.hasReachedTarget},
            {"detail", verdict.detail},
    };
    if (verdict.retryAfter)
        value["after"] = verdict.retryAfter->count();
    return value;
}

Verdict decodeVerdict(const json &value)
{
    Verdict verdict;
    verdict.execution = decodeEnum(value.at("execution"), Execution::HasRun);
    verdict.reason = decodeEnum(value.at("reason"), Reason::NotReady);
    verdict.retriedBelow = value.at("below").get<bool>();
    verdict.hasReachedTarget = value.at("reached").get<bool>();
    verdict.detail = value.at("detail").get<std::string>();
    if (value.contains("after"))
        verdict.retryAfter = Milliseconds(value.at("after").get<std::int64_t>());
    return verdict;
}

json encodeLoad(const TargetLoad &load)
{
    return json::array({load.inFlight, load.queued, load.limit, load.admitted});
}

TargetLoad decodeLoad(const json &list)
{
    return {list.at(0).get<std::uint32_t>(), list.at(1).get<std::uint32_t>(),
            list.at(2).get<std::uint32_t>(), list.at(3).get<std::uint8_t>()};
}

std::shared_ptr<const std::string> ownBody(std::string_view body)
{
    return body.empty() ? nullptr : makeBody(std::string(body));
}

} // namespace

std::string encodeCall(Token token, const Call &call, TimePoint now)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(call.deadline - now);
    const json head = {
            {"token", token},
            {"request", call.requestId},
            {"service", call.service},
            {"kind", call.kind},
            {"method", call.method},
            {"path", call.path},
            {"headers", encodeHeaders(call.headers)},
            {"key", call.key},
            {"fingerprint", call.fingerprint},
            {"importance", call.importance},
            {"repetition", call.repetition},
            {"duration", call.duration},
            {"left", left.count()},
            {"objective", call.objective.count()},
            {"nested", call.isNested},
            {"allowance", encodeAllowance(call.allowance)},
    };
    return joinFrame(head, bytesOf(call.body));
}

Result<PeerCall> decodeCall(std::string_view frame, TimePoint now)
{
    CHIVE_TRY(parts, splitFrame(frame));
    return guarded<PeerCall>([&]() -> Result<PeerCall> {
        const json &head = parts.head;
        PeerCall peer;
        peer.token = head.at("token").get<Token>();
        Call &call = peer.call;
        call.requestId = head.at("request").get<std::string>();
        call.service = head.at("service").get<std::string>();
        call.kind = head.at("kind").get<std::string>();
        call.method = head.at("method").get<std::string>();
        call.path = head.at("path").get<std::string>();
        call.headers = decodeHeaders(head.at("headers"));
        call.key = head.at("key").get<std::string>();
        call.fingerprint = head.at("fingerprint").get<std::string>();
        call.importance = decodeEnum(head.at("importance"), Importance::Low);
        call.repetition = decodeEnum(head.at("repetition"), Repetition::AtMostOnce);
        call.duration = decodeEnum(head.at("duration"), Duration::Long);
        const auto left = head.at("left").get<std::int64_t>();
        call.deadline = now + std::clamp(Milliseconds(left), Milliseconds(0), longestDeadline);
        call.isNested = head.at("nested").get<bool>();
        call.objective = std::clamp(Milliseconds(head.at("objective").get<std::int64_t>()),
                                    Milliseconds(0), longestDeadline);
        call.allowance = decodeAllowance(head.at("allowance"));
        call.body = ownBody(parts.body);
        return peer;
    });
}

std::string encodeOutcome(Token token, const CallOutcome &outcome)
{
    json head = {
            {"token", token},
            {"unspent", encodeAllowance(outcome.unspent)},
            {"load", encodeLoad(outcome.load)},
            {"below", outcome.failedBelow},
    };
    if (!outcome.result.has_value()) {
        head["verdict"] = encodeVerdict(outcome.result.error());
        return joinFrame(head, {});
    }
    const Answer &answer = outcome.result.value();
    head["status"] = answer.status;
    head["headers"] = encodeHeaders(answer.headers);
    head["length"] = bytesOf(answer.body).size();
    return joinFrame(head, bytesOf(answer.body));
}

Result<PeerOutcome> decodeOutcome(std::string_view frame)
{
    CHIVE_TRY(parts, splitFrame(frame));
    return guarded<PeerOutcome>([&]() -> Result<PeerOutcome> {
        const json &head = parts.head;
        PeerOutcome peer;
        peer.token = head.at("token").get<Token>();
        peer.outcome.unspent = decodeAllowance(head.at("unspent"));
        peer.outcome.load = decodeLoad(head.at("load"));
        peer.outcome.failedBelow = head.at("below").get<bool>();
        if (head.contains("verdict")) {
            peer.outcome.result = decodeVerdict(head.at("verdict"));
            return peer;
        }
        if (head.at("length").get<std::size_t>() != parts.body.size())
            return malformed("body length differs");
        Answer answer;
        answer.status = head.at("status").get<int>();
        answer.headers = decodeHeaders(head.at("headers"));
        answer.body = ownBody(parts.body);
        peer.outcome.result = std::move(answer);
        return peer;
    });
}

std::string encodeCancel(Token token)
{
    return joinFrame({{"token", token}}, {});
}

Result<Token> decodeCancel(std::string_view frame)
{
    CHIVE_TRY(parts, splitFrame(frame));
    return guarded<Token>([&]() -> Result<Token> { return parts.head.at("token").get<Token>(); });
}

} // namespace chive
