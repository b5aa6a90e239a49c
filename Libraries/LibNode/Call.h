#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibHttp/HttpMessage.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chive {

/// What a request may still spend in the whole tree of calls below it.
struct Allowance
{
    std::uint32_t retries = 0; ///< Second and later attempts.
    std::uint32_t calls = 0;   ///< Nested calls, first attempts included.

    bool operator==(const Allowance &) const = default;
};

/// One request on its way to a target, as it stands at one node.
struct Call
{
    std::string requestId; ///< Of the caller's request; shared by the whole tree.
    std::string service;
    std::string kind;
    std::string method;
    std::string path; ///< Below the service, with the query.
    std::vector<Header> headers;
    std::shared_ptr<const std::string> body;
    std::string key;         ///< Idempotency key; empty when the caller gave none.
    std::string fingerprint; ///< Digest of service, method, path and body.

    Importance importance = Importance::Normal;
    Repetition repetition = Repetition::Guarded;
    Duration duration = Duration::Short;
    TimePoint deadline;
    bool isNested = false;     ///< Made by a target for work that has begun.
    std::string rootKind = {}; ///< Kind of the caller's request that it belongs to; empty: unknown.
    double treeDraw = 0.0;     ///< 0 to 1, the same for all calls of a tree.
    Milliseconds objective{0}; ///< An answer within it is worth most; 0: none is known.
    Allowance allowance;       ///< Lent to this call; what is unspent comes back with the answer.
};

/// What a node tells its peers about the target beside it, carried on every answer.
struct TargetLoad
{
    std::uint32_t inFlight = 0;                   ///< Requests that the target runs now.
    std::uint32_t queued = 0;                     ///< Requests that wait in the node.
    std::uint32_t limit = 0;                      ///< Requests that the node lets run at once now.
    std::uint8_t admitted = importanceLevels - 1; ///< Least importance admitted now, as a number.
};

/// The whole answer of a target.
struct Answer
{
    int status = 200;
    std::vector<Header> headers;
    std::shared_ptr<const std::string> body;
};

/// How one call ended, with what it gives back.
struct CallOutcome
{
    Judged<Answer> result = notRun(Reason::NoTarget);
    Allowance unspent;
    TargetLoad load;
    /// Set when a nested call failed below, so that a retry above would repeat the whole tree.
    bool failedBelow = false;
};

} // namespace chive
