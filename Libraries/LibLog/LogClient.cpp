#include <LibLog/LogClient.h>

#include <utility>

namespace chive {

namespace {

/// Limit on the body of a response, in bytes. A reader that meets a larger page has to request
/// fewer records.
constexpr std::size_t maximumPageSize = 8 * 1024 * 1024;

Error errorOf(const HttpFailure &failure)
{
    const bool isUnsent = failure.stage == HttpFailure::Stage::NotSent;
    return {isUnsent ? Error::Kind::Unavailable : Error::Kind::Unknown, "log: " + failure.message};
}

Error unexpectedStatus(int status)
{
    const std::string message = "log: status " + std::to_string(status);
    if (status == 429 || status == 503)
        return {Error::Kind::Unavailable, message};
    if (status >= 400 && status < 500)
        return {Error::Kind::Invalid, message};
    return {Error::Kind::Unknown, message};
}

AppendOutcome appendOutcomeOf(const HttpClient::Outcome &result)
{
    if (!result.has_value())
        return {errorOf(result.error())};
    const HttpResponse &response = result.value();
    if (response.status != 201)
        return {unexpectedStatus(response.status), response.status == 429};
    auto offset = parseAppendedOffset(bytesOf(response.body));
    // The record was written, but its offset is not known.
    if (!offset.has_value())
        return {Error{Error::Kind::Unknown, offset.error().message}};
    return {offset.value()};
}

Result<LogPage> pageOf(const HttpClient::Outcome &result, std::uint64_t from)
{
    if (!result.has_value())
        return errorOf(result.error());
    const HttpResponse &response = result.value();
    if (response.status != 200)
        return unexpectedStatus(response.status);
    return parseLogPage(bytesOf(response.body), from);
}

std::string pathOf(std::string_view stream)
{
    return "/streams/" + std::string(stream) + "/records";
}

} // namespace

LogClient::LogClient(EventLoop &loop, const Endpoint &service)
    : client_(loop, service, maximumPageSize)
{
    client_.trustServer();
}

LogClient::RequestId LogClient::append(std::string_view stream, std::string payload,
                                       Milliseconds timeout,
                                       std::function<void(AppendOutcome)> callback)
{
    HttpRequest request;
    request.method = "POST";
    request.target = pathOf(stream);
    request.headers.emplace_back("Content-Type", "text/plain; charset=utf-8");
    request.body = makeBody(std::move(payload));
    return client_.send(request, timeout,
                        [callback = std::move(callback)](const HttpClient::Outcome &result) {
                            callback(appendOutcomeOf(result));
                        });
}

LogClient::RequestId LogClient::read(std::string_view stream, std::uint64_t from, std::size_t limit,
                                     Milliseconds timeout,
                                     std::function<void(Result<LogPage>)> callback)
{
    HttpRequest request;
    request.target
            = pathOf(stream) + "?from=" + std::to_string(from) + "&limit=" + std::to_string(limit);
    return client_.send(request, timeout,
                        [callback = std::move(callback), from](const HttpClient::Outcome &result) {
                            callback(pageOf(result, from));
                        });
}

} // namespace chive
