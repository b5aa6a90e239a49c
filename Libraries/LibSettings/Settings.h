#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// An IP number and a TCP port.
struct Endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    // clang-tidy 14 takes the comparison with 0 that the compiler generates for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Endpoint &) const = default;
};

/// "10.0.0.1:7000" for messages, and back.
[[nodiscard]] std::string format(const Endpoint &endpoint);
[[nodiscard]] Result<Endpoint> parseEndpoint(std::string_view text);

/// What the retries that all nodes share are planned for while a service rejects calls.
enum class RetryPlanning : std::uint8_t {
    Calls, ///< Each call takes a retry if there is one.
    Trees, ///< Roots are limited to those whose call trees the retries can complete.
};

/// The settings of one node, from its TOML file.
struct Settings
{
    std::string nodeId; ///< Unique in the mesh, [a-z0-9-]{1,64}.
    std::string dataCentre;
    std::string region;

    Endpoint callers;     ///< Where callers' HTTP requests enter.
    Endpoint targetCalls; ///< Where the target beside this node announces itself and calls out.
    Endpoint links;       ///< Where other nodes connect.
    Endpoint admin;       ///< /metrics, /status and /healthz.
    std::optional<Endpoint> ready; ///< Answers 200 while the node can serve callers.

    std::string dialect = "native"; ///< How callers and the target are spoken to.

    /// What stands outside the nodes: release notes and the directory of nodes in a log, or the
    /// configuration and the directory in a store.
    enum class Backing : std::uint8_t {
        Log,
        Store,
    };
    Backing backing = Backing::Log;
    Endpoint log;   ///< The platform's log service; used with Backing::Log.
    Endpoint store; ///< The platform's store; used with Backing::Store.

    std::string targetService;       ///< Service of the target beside this node; empty: any.
    std::optional<Endpoint> target;  ///< Its only address; nothing: any that it announces.
    Milliseconds targetLease{3'000}; ///< A target that is silent for longer is taken for gone.

    std::vector<Endpoint> peers; ///< Link endpoints to ask when the log is down at the start.

    std::size_t maximumBodySize = 8 * 1024 * 1024;   ///< Bytes, per request and per answer.
    std::size_t maximumBytesHeld = 24 * 1024 * 1024; ///< Bytes of all bodies held at once.
    std::size_t memory = 0;             ///< Bytes that this process may take; 0: unknown.
    Milliseconds drainTimeout{30'000};  ///< How long a planned stop waits for work in flight.
    std::size_t maximumDescriptors = 0; ///< Of this process; 0: the operating system's limit.
    std::string logDirectory;           ///< glog files; empty logs to standard error.

    /// Retries that all nodes together may make towards one service in any window.
    struct RetryBound
    {
        double ratio = 0.0;    ///< Of the requests for it.
        double constant = 0.0; ///< Besides.
        Milliseconds window{10'000};
        RetryPlanning planning = RetryPlanning::Calls;
    };
    std::optional<RetryBound> retryBound; ///< Nothing: each node keeps a bound of its own.

    /// The margins within which all nodes together keep the quotas of customers.
    struct QuotaBound
    {
        Milliseconds window{5'000}; ///< Any span of this length counts.
        double overage = 0.0;       ///< Share of the quota that may be exceeded.
        double slack = 0.0;         ///< Requests that may be exceeded besides.
    };
    std::optional<QuotaBound> quotaBound; ///< Nothing: quotas are not enforced.

    std::string choicePolicy = "two-choices"; ///< Plug-in that chooses the target.
    std::string admissionPolicy = "adaptive"; ///< Plug-in that admits work at a target.
};

/// Whether the node works with a log, or with a store.
[[nodiscard]] bool usesLog(const Settings &settings);
[[nodiscard]] bool usesStore(const Settings &settings);

/// The bytes of a number of megabytes, as `limits.memory_mb` has them; nothing if it is no whole
/// number of 16 to 1,048,576.
[[nodiscard]] std::optional<std::size_t> memoryFromMegabytes(std::string_view text);

/// Bytes of memory that the responses of the target may take together while they are received: a
/// quarter of the process's memory, at most `maximumBytesHeld`.
[[nodiscard]] std::size_t maximumResponseBytesHeld(const Settings &settings);

/// Bytes of the largest body of a response of the target: half of those, at most `maximumBodySize`.
[[nodiscard]] std::size_t maximumResponseBodySize(const Settings &settings);

/// Parses and checks the text of a settings file. Every mistake is reported, one line each, as
/// `name:line: what was expected`.
[[nodiscard]] Result<Settings> parseSettings(std::string_view text, std::string_view fileName);

} // namespace chive
