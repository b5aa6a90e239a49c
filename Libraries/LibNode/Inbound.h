#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCore/Result.h>
#include <LibHttp/HttpMessage.h>
#include <LibNode/Call.h>

#include <string_view>

/// The border between HTTP and calls: what a request means, and how an outcome is told.
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

/// Reads `METHOD /SERVICE/PATH` by the catalogue in force into a call with the kind's full
/// allowance. The verdicts are BadRequest, UnknownService, UnknownKind and MissingKey, all NotRun.
[[nodiscard]] Judged<Call> readCall(const HttpRequest &request, const Catalogue &catalogue,
                                    TimePoint now);

/// Makes a nested call a part of the tree of calls of its parent: same request, no more important,
/// no later deadline. The allowance is the caller's matter.
void inheritFrom(const Call &parent, Call &nested);

/// The request as the target beside this node gets it. `callToken` is its Chive-Call header.
[[nodiscard]] HttpRequest requestForTarget(const Call &call, std::string_view callToken,
                                           TimePoint now);

/// Equal for requests that do the same work: service, method, path and body.
[[nodiscard]] std::string fingerprintOf(const Call &call);

/// The response that tells a caller the outcome.
[[nodiscard]] HttpResponse responseFor(const Judged<Answer> &result, std::string_view requestId);

/// The HTTP status of a refusal, RFC 9110 section 15.
[[nodiscard]] int statusOf(const Verdict &verdict);

} // namespace chive
