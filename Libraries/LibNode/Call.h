#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibHttp/HttpMessage.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chive {

/// The remaining budget of a request for its whole tree of nested calls.
struct Allowance
{
    std::uint32_t retries = 0; ///< Attempts after the first of each call.
    std::uint32_t calls = 0;   ///< Nested calls, first attempts included.

    bool operator==(const Allowance &) const = default;
};

/// One request on its way to a target, as one node handles it.
struct Call
{
    std::string requestId; ///< Of the caller's request; the same for the whole tree of calls.
    std::string service;
    std::string kind;
    std::string method;
    std::string path; ///< Relative to the service, including the query.
    std::vector<Header> headers;
    std::shared_ptr<const std::string> body;
    std::string key;         ///< Idempotency key; empty if the caller gave none.
    std::string fingerprint; ///< Digest of service, method, path and body.

    std::string customer; ///< At the root of the tree of calls; empty: none.

    Importance importance = Importance::Normal;
    Repetition repetition = Repetition::Guarded;
    Duration duration = Duration::Short;
    TimePoint deadline;
    bool isNested = false;     ///< Made by a target while it runs another call.
    std::string rootKind = {}; ///< Kind of the caller's request at the root; empty: unknown.
    double treeDraw = 0.0;     ///< Random number from 0 to 1, the same for all calls of a tree.
    Milliseconds objective{0}; ///< Latency objective; 0: unknown.
    Allowance allowance;       ///< Granted to this call; the unspent rest returns with the answer.
};

/// The work of a target, reported where targets are chosen by work.
struct WorkReport
{
    std::uint32_t untilStart = 0; ///< Milliseconds until a new call would start.
    /// Tenths of a millisecond that the target itself works, at its present speed, on a call of the
    /// kind that is answered; without the wait for nested calls. 0: unknown.
    std::uint32_t ownTime = 0;

    bool operator==(const WorkReport &) const = default;
};

/// The load of a node's local target, sent to peers with every answer.
struct TargetLoad
{
    std::uint32_t inFlight = 0;                   ///< Requests that the target is running.
    std::uint32_t queued = 0;                     ///< Requests that are queued in the node.
    std::uint32_t limit = 0;                      ///< The current concurrency limit.
    std::uint8_t admitted = importanceLevels - 1; ///< Lowest importance admitted now, as a number.
    std::optional<WorkReport> work = {};          ///< Free slots are `limit` less `inFlight`.
};

/// The complete response of a target.
struct Answer
{
    int status = 200;
    std::vector<Header> headers;
    std::shared_ptr<const std::string> body;
};

/// The result of one call, with the unspent allowance and the load of the target.
struct CallOutcome
{
    Judged<Answer> result = notRun(Reason::NoTarget);
    Allowance unspent;
    TargetLoad load;
    /// Set when a nested call failed: retrying this call would repeat the whole tree.
    bool failedBelow = false;
};

} // namespace chive
