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

/// The outcome of one append. Error::Kind::Unavailable and Invalid mean that nothing was written
/// and nothing will be; Unknown means that the record may have been written, or may still be.
struct AppendOutcome
{
    Result<std::uint64_t> offset = Error{};
    bool isRateLimited = false; ///< The log responded with status 429: append less often.
};

/// HTTP client for the platform's log service. Stream names consist of the characters [a-z0-9-].
class LogClient
{
public:
    using RequestId = HttpClient::RequestId;

    LogClient(EventLoop &loop, const Endpoint &service);

    /// From now on, new connections count towards the share.
    void countIn(DescriptorShare &share) { client_.countIn(share); }

    /// Appends one record. Fails after the connection has been silent for `timeout`.
    RequestId append(std::string_view stream, std::string payload, Milliseconds timeout,
                     std::function<void(AppendOutcome)> callback);

    /// Reads at most `limit` records, starting at the offset `from`.
    RequestId read(std::string_view stream, std::uint64_t from, std::size_t limit,
                   Milliseconds timeout, std::function<void(Result<LogPage>)> callback);

    /// Cancels a request. The callback is still called; for an append that was already sent, the
    /// outcome is Unknown.
    void cancel(RequestId id) { client_.cancel(id); }

private:
    HttpClient client_;
};

} // namespace chive
