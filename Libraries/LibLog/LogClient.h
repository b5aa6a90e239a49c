#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibHttp/HttpClient.h>
#include <LibLog/LogPage.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace chive {

class EventLoop;

/// What became of one append. Error::Kind::Unavailable and Invalid prove that nothing was written
/// and that nothing will be; Unknown means that the record may be there, or may still arrive.
struct AppendOutcome
{
    Result<std::uint64_t> offset = Error{};
    bool isRateLimited = false; ///< The log answered 429: append less often.
};

/// A client of the platform's log service over HTTP. Stream names consist of [a-z0-9-].
class LogClient
{
public:
    using RequestId = HttpClient::RequestId;

    LogClient(EventLoop &loop, const Endpoint &service);

    /// Appends one record. The timeout counts silence on the connection.
    RequestId append(std::string_view stream, std::string payload, Milliseconds timeout,
                     std::function<void(AppendOutcome)> callback);

    /// Reads at most `limit` records, from the offset `from` on.
    RequestId read(std::string_view stream, std::uint64_t from, std::size_t limit,
                   Milliseconds timeout, std::function<void(Result<LogPage>)> callback);

    /// Gives up waiting. The callback is still called: an append whose bytes left is Unknown.
    void cancel(RequestId id) { client_.cancel(id); }

private:
    HttpClient client_;
};

} // namespace chive
