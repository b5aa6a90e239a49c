#include <LibNode/Inbound.h>

#include <LibCore/Identifier.h>
#include <LibHttp/ForwardedHeaders.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <span>

namespace chive {

namespace {

constexpr std::size_t maximumKeyLength = 256;       // bytes
constexpr std::size_t maximumRequestIdLength = 128; // bytes

std::vector<Header> withoutReservedHeaders(std::span<const Header> all)
{
    std::vector<Header> kept = forwardedHeaders(all);
    std::erase_if(kept, [](const Header &header) {
        const std::string_view name = header.first;
        constexpr std::string_view prefix = "Chive-";
        const bool isReserved = isSameHeaderName(name.substr(0, prefix.size()), prefix);
        return isReserved || isSameHeaderName(name, headers::idempotencyKey);
    });
    return kept;
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7F; });
}

Judged<Milliseconds> readDeadline(std::string_view text, Milliseconds most)
{
    if (text.empty())
        return most;
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value <= 0)
        return notRun(Reason::BadRequest, "Chive-Deadline-Ms: expected milliseconds above 0");
    return std::min(Milliseconds(value), most);
}

} // namespace

std::string fingerprintOf(const Call &call)
{
    std::string text = call.service + '\n' + call.method + '\n' + call.path + '\n';
    text += bytesOf(call.body);
    return digest(text);
}

Judged<Call> readCall(const HttpRequest &request, const Catalogue &catalogue, TimePoint now)
{
    std::string_view target = request.target;
    if (!target.starts_with('/') || !isPrintable(target))
        return notRun(Reason::BadRequest, "expected a path /SERVICE/PATH");
    target.remove_prefix(1);
    const std::size_t end = std::min(target.find_first_of("/?"), target.size());

    Call call;
    call.service = target.substr(0, end);
    call.path = target.substr(end);
    if (!call.path.starts_with('/'))
        call.path.insert(0, "/");
    const Service *service = findService(catalogue, call.service);
    if (service == nullptr)
        return notRun(Reason::UnknownService, "no release note declares '" + call.service + "'");
    const Kind *kind = findKind(*service, request.method, call.path);
    if (kind == nullptr)
        return notRun(Reason::UnknownKind, "no kind of service '" + call.service + "' matches");

    call.key = findHeader(request.headers, headers::idempotencyKey);
    if (call.key.size() > maximumKeyLength || !isPrintable(call.key))
        return notRun(Reason::BadRequest, "Idempotency-Key: expected 1 to 256 visible characters");
    if (call.key.empty() && kind->repetition == Repetition::AtMostOnce)
        return notRun(Reason::MissingKey,
                      "requests of kind '" + kind->name + "' need an idempotency key");
    CHIVE_TRY(left, readDeadline(findHeader(request.headers, headers::deadline), kind->deadline));
    call.requestId = findHeader(request.headers, headers::requestId);
    if (call.requestId.size() > maximumRequestIdLength || !isPrintable(call.requestId))
        return notRun(Reason::BadRequest,
                      "Chive-Request-Id: expected up to 128 visible characters");
    if (call.requestId.empty())
        call.requestId = randomIdentifier();

    call.kind = kind->name;
    call.method = request.method;
    call.headers = withoutReservedHeaders(request.headers);
    call.body = request.body;
    call.importance = kind->importance;
    call.repetition = kind->repetition;
    call.duration = kind->duration;
    call.deadline = now + left;
    call.allowance = {kind->retries, kind->nestedCalls};
    call.fingerprint = fingerprintOf(call);
    return call;
}

void inheritFrom(const Call &parent, Call &nested)
{
    nested.requestId = parent.requestId;
    nested.isNested = true;
    nested.importance = parent.importance;
    nested.customer = parent.customer;
    nested.deadline = std::min(parent.deadline, nested.deadline);
}

HttpRequest requestForTarget(const Call &call, std::string_view callToken, TimePoint now)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(call.deadline - now);
    HttpRequest request{call.method, call.path, call.headers, call.body};
    const auto add = [&](std::string_view name, std::string value) {
        request.headers.emplace_back(std::string(name), std::move(value));
    };
    add(headers::call, std::string(callToken));
    add(headers::requestId, call.requestId);
    add(headers::kind, call.kind);
    add(headers::deadline, std::to_string(std::max<std::int64_t>(left.count(), 0)));
    if (!call.key.empty())
        add(headers::idempotencyKey, call.key);
    return request;
}

int statusOf(const Verdict &verdict)
{
    switch (verdict.reason) {
    case Reason::BadRequest:
    case Reason::MissingKey:
        return 400;
    case Reason::UnknownKey:
        return 401;
    case Reason::QuotaExceeded:
        return 429;
    case Reason::UnknownService:
    case Reason::UnknownKind:
        return 404;
    case Reason::BodyTooLarge:
        return 413;
    case Reason::DuplicateKey:
        return 409;
    case Reason::DeadlineExceeded:
        return 504;
    case Reason::TargetFailed:
    case Reason::IncompleteAnswer:
    case Reason::LinkLost:
        return 502;
    case Reason::Leaving:
        return verdict.execution == Execution::NotRun ? 503 : 502;
    default:
        return 503;
    }
}

namespace {

HttpResponse refusalFor(const Verdict &verdict, std::string_view requestId)
{
    nlohmann::json body = {
            {"execution", nameOf(verdict.execution)},
            {"reason", nameOf(verdict.reason)},
            {"detail", verdict.detail},
            {"request_id", requestId},
    };
    HttpResponse response;
    response.status = statusOf(verdict);
    response.headers = {
            {"Content-Type", "application/json"},
            {std::string(headers::execution), std::string(nameOf(verdict.execution))},
            {std::string(headers::reason), std::string(nameOf(verdict.reason))},
            {std::string(headers::requestId), std::string(requestId)},
    };
    if (verdict.retryAfter) {
        body["retry_after_ms"] = verdict.retryAfter->count();
        // Retry-After is in whole seconds (RFC 9110 section 10.2.3); rounding up avoids early
        // retries.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*verdict.retryAfter);
        response.headers.emplace_back(headers::retryAfter, std::to_string(seconds.count()));
    }
    response.body = makeBody(body.dump());
    return response;
}

} // namespace

HttpResponse responseFor(const Judged<Answer> &result, std::string_view requestId)
{
    if (!result.has_value())
        return refusalFor(result.error(), requestId);
    const Answer &answer = result.value();
    HttpResponse response{answer.status, withoutReservedHeaders(answer.headers), answer.body};
    response.headers.emplace_back(headers::execution, nameOf(Execution::HasRun));
    response.headers.emplace_back(headers::requestId, requestId);
    return response;
}

} // namespace chive
