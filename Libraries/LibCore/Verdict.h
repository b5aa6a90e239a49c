#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chive {

/// What is known about a request's effect on its target.
enum class Execution : std::uint8_t {
    NotRun,     ///< Proven: no target began it, and none will.
    MayHaveRun, ///< Unknown: a target may have begun it.
    HasRun,     ///< Known: a target ran it, although the result is not available.
};

/// Why a request was not answered by its target.
enum class Reason : std::uint8_t {
    BadRequest,
    UnknownService,
    UnknownKind,
    MissingKey, ///< The kind runs at most once and the request names no idempotency key.
    BodyTooLarge,
    Overloaded,
    NoTarget, ///< No live target of the service is known.
    DeadlineExceeded,
    AllowanceSpent,    ///< The request's allowance of nested calls or retries is used up.
    Leaving,           ///< The target is draining or the node is stopping.
    LogUnavailable,    ///< At-most-once work needs the log service, which does not answer.
    DuplicateKey,      ///< The idempotency key has been used before.
    Quarantined,       ///< Requests with this fingerprint were in flight when targets crashed.
    TargetUnreachable, ///< No connection to the target could be opened.
    TargetFailed,      ///< The connection broke after the request was sent.
    IncompleteAnswer,  ///< The answer was shorter than declared, or its end was not detectable.
    LinkLost,          ///< The link to the other node broke before the answer arrived.
    Cancelled,
    NotReady,      ///< The node has no configuration yet, or knows of a newer one.
    UnknownKey,    ///< No customer has the key that the request carries.
    QuotaExceeded, ///< The customer's quota is used up.
};

/// The refusal of a request: the reason, and whether the request may have run. Only NotRun permits
/// a retry of requests that are not idempotent.
struct Verdict
{
    Execution execution = Execution::NotRun;
    Reason reason = Reason::BadRequest;
    std::optional<Milliseconds> retryAfter;
    /// Set when a later hop has already made all retries that are worthwhile.
    bool retriedBelow = false;
    /// Set when the request reached a target, which rejected it.
    bool hasReachedTarget = false;
    std::string detail;
};

[[nodiscard]] Verdict notRun(Reason reason, std::string detail = {});
[[nodiscard]] Verdict mayHaveRun(Reason reason, std::string detail = {});

/// The stable, machine-readable name for headers, logs and metric labels.
[[nodiscard]] std::string_view nameOf(Execution execution);
[[nodiscard]] std::string_view nameOf(Reason reason);

[[nodiscard]] std::optional<Execution> executionFromString(std::string_view text);
[[nodiscard]] std::optional<Reason> reasonFromString(std::string_view text);

} // namespace chive
