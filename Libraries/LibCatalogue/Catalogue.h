#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// How much a kind of request matters. Under overload the higher value is shed first. It is
/// decided once, where the request enters, and inherited by every nested call.
enum class Importance : std::uint8_t {
    Critical = 0,
    High = 1,
    Normal = 2,
    Low = 3,
};

inline constexpr std::size_t importanceLevels = 4;

/// How often a request of a kind may run.
enum class Repetition : std::uint8_t {
    Idempotent, ///< Any number of times; safe to retry after "may have run".
    Guarded,    ///< Retried only when the earlier attempt is proved not to have run.
    AtMostOnce, ///< At most once for each idempotency key, decided by the order of the log.
};

/// Whether requests of a kind run about as long as most, or many times longer.
enum class Duration : std::uint8_t {
    Short,
    Long,
};

/// One kind of request of a service, as declared by release notes.
struct Kind
{
    std::string name;
    std::string method;     ///< "GET"; empty matches all.
    std::string pathPrefix; ///< Below the service, "/units/"; the longest match wins.
    Importance importance = Importance::Normal;
    Repetition repetition = Repetition::Guarded;
    Duration duration = Duration::Short;
    Milliseconds deadline{5'000};    ///< Used when the caller names none; also the most allowed.
    std::uint32_t retries = 2;       ///< For the whole tree of calls below one request.
    std::uint32_t nestedCalls = 512; ///< Calls in the whole tree below one request.

    bool operator==(const Kind &) const = default;
};

/// One service: its targets announce themselves, its kinds are declared.
struct Service
{
    std::string name;
    std::uint32_t slots = 100;          ///< Requests that one target can run at once.
    std::uint32_t connections = 1000;   ///< Connections that one target accepts.
    std::uint32_t longShare = 30;       ///< Percent of the slots that long kinds may hold at most.
    std::string healthPath = "/health"; ///< Of the targets' health check.
    std::vector<Kind> kinds;

    bool operator==(const Service &) const = default;
};

/// A service's part in the requests of a route.
struct RouteShare
{
    std::string service;
    double weight = 1.0; ///< Relative to the other parts.

    bool operator==(const RouteShare &) const = default;
};

/// Requests for one host below one path prefix.
struct Route
{
    std::string name;
    std::string pathPrefix; ///< Begins and ends with a slash.
    Kind kind; ///< Its deadline is the longest time that a request may be kept waiting.
    Milliseconds latencyObjective{1'000}; ///< An answer within it is worth most.
    std::vector<RouteShare> shares;       ///< Never empty.

    bool operator==(const Route &) const = default;
};

/// The routes of each host, the longest prefix first.
using RouteTable = std::map<std::string, std::vector<Route>, std::less<>>;

/// The route of that host with the longest prefix that begins the path, or null.
[[nodiscard]] const Route *findRoute(const RouteTable &routes, std::string_view host,
                                     std::string_view path);

/// Sorts the routes of each host as findRoute() expects.
void sortRoutes(RouteTable &routes);

/// All that is in force after the latest accepted release note.
struct Catalogue
{
    std::string head;          ///< Identity of the latest accepted note; empty before the first.
    std::uint64_t offset = 0;  ///< Offset of that note in the log.
    std::uint64_t version = 0; ///< Count of accepted notes.
    std::map<std::string, Service, std::less<>> services;
    RouteTable routes; ///< Where requests are told apart by host and path instead of by service.
    Milliseconds idleTimeout{0}; ///< How long callers may keep a connection idle; 0: any time.

    bool operator==(const Catalogue &) const = default;
};

/// The declared service of that name, or null.
[[nodiscard]] const Service *findService(const Catalogue &catalogue, std::string_view name);

/// The kind with the longest matching path prefix, or null.
[[nodiscard]] const Kind *findKind(const Service &service, std::string_view method,
                                   std::string_view path);

[[nodiscard]] std::string_view nameOf(Importance importance);

} // namespace chive
