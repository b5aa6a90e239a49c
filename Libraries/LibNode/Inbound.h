#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCore/Result.h>
#include <LibHttp/HttpMessage.h>
#include <LibNode/Call.h>

#include <string_view>

/// Converts HTTP requests to calls, and outcomes to HTTP responses.
namespace chive {

namespace headers {

inline constexpr std::string_view call = "Chive-Call";
inline constexpr std::string_view requestId = "Chive-Request-Id";
inline constexpr std::string_view kind = "Chive-Kind";
inline constexpr std::string_view deadline = "Chive-Deadline-Ms";
inline constexpr std::string_view execution = "Chive-Execution";
inline constexpr std::string_view reason = "Chive-Reason";
inline constexpr std::string_view idempotencyKey = "Idempotency-Key";
inline constexpr std::string_view retryAfter = "Retry-After";

} // namespace headers

/// Parses `METHOD /SERVICE/PATH` into a call with the full allowance of its kind in the catalogue.
/// The verdicts are BadRequest, UnknownService, UnknownKind and MissingKey, all NotRun.
[[nodiscard]] Judged<Call> readCall(const HttpRequest &request, const Catalogue &catalogue,
                                    TimePoint now);

/// Adds a nested call to its parent's tree of calls: it gets the parent's request id and
/// importance, and its deadline is at most the parent's. The caller of this function sets the
/// allowance.
void inheritFrom(const Call &parent, Call &nested);

/// Builds the request to the local target. `callToken` is the value of its Chive-Call header.
[[nodiscard]] HttpRequest requestForTarget(const Call &call, std::string_view callToken,
                                           TimePoint now);

/// A digest of service, method, path and body: equal for requests that do the same work.
[[nodiscard]] std::string fingerprintOf(const Call &call);

/// Builds the response to the caller.
[[nodiscard]] HttpResponse responseFor(const Judged<Answer> &result, std::string_view requestId);

/// The HTTP status of a refusal, RFC 9110 section 15.
[[nodiscard]] int statusOf(const Verdict &verdict);

} // namespace chive
