#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chive {

/// What is known about a request's effect on its target.
enum class Execution : std::uint8_t {
    NotRun,     ///< Proved: no target began it, and none will.
    MayHaveRun, ///< Unknown: a target may have begun it.
    HasRun,     ///< Known: a target ran it, though this answer does not carry the result.
};

/// Why a request got no answer from its target.
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
    Leaving,           ///< The target is draining and takes no new work.
    LogUnavailable,    ///< At-most-once work needs the log service, which does not answer.
    DuplicateKey,      ///< The idempotency key has been used before.
    Quarantined,       ///< Requests like this one were in flight when targets crashed.
    TargetUnreachable, ///< No connection to the target could be made.
    TargetFailed,      ///< The connection broke after the request was sent.
    IncompleteAnswer,  ///< The answer was shorter than it said, or its end could not be seen.
    LinkLost,          ///< The link to the other node broke while the request was out.
    Cancelled,
    NotReady, ///< The node knows no configuration yet.
};

/// The refusal of a request: why, and whether the request may have run. Only NotRun permits a
/// retry of work that is not idempotent.
struct Verdict
{
    Execution execution = Execution::NotRun;
    Reason reason = Reason::BadRequest;
    std::optional<Milliseconds> retryAfter;
    /// Set when a hop further down has already spent what retries are worth making.
    bool retriedBelow = false;
    /// Set when the request came as far as a target, which turned it away.
    bool hasReachedTarget = false;
    std::string detail;
};

[[nodiscard]] Verdict notRun(Reason reason, std::string detail = {});
[[nodiscard]] Verdict mayHaveRun(Reason reason, std::string detail = {});

/// The stable, machine-readable name, for headers, logs and metric labels.
[[nodiscard]] std::string_view nameOf(Execution execution);
[[nodiscard]] std::string_view nameOf(Reason reason);

[[nodiscard]] std::optional<Execution> executionFromString(std::string_view text);
[[nodiscard]] std::optional<Reason> reasonFromString(std::string_view text);

} // namespace chive
