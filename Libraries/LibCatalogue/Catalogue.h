#pragma once

#include <LibCatalogue/Customer.h>
#include <LibCatalogue/Importance.h>
#include <LibCore/Clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// How often a request of a kind may run, which decides whether it may be retried.
enum class Repetition : std::uint8_t {
    Idempotent, ///< Any number of times; may be retried even if it may have run.
    Guarded,    ///< Retried only if the earlier attempt provably did not run.
    AtMostOnce, ///< At most once for each idempotency key; the order of the log decides.
};

/// Whether requests of a kind take about as long as most requests, or many times longer.
enum class Duration : std::uint8_t {
    Short,
    Long,
};

/// One kind of request of a service, as declared by release notes.
struct Kind
{
    std::string name;
    std::string method;     ///< For example "GET"; empty matches all.
    std::string pathPrefix; ///< Below the service, such as "/units/"; the longest match applies.
    Importance importance = Importance::Normal;
    Repetition repetition = Repetition::Guarded;
    Duration duration = Duration::Short;
    Milliseconds deadline{5'000};    ///< The default, and the maximum that a caller may set.
    std::uint32_t retries = 2;       ///< For the whole tree of calls below one request.
    std::uint32_t nestedCalls = 512; ///< Calls in the whole tree below one request.

    bool operator==(const Kind &) const = default;
};

/// One service as declared by release notes. Its targets announce themselves.
struct Service
{
    std::string name;
    std::uint32_t slots = 100;          ///< Requests that one target can run at once.
    std::uint32_t connections = 1000;   ///< Connections that one target accepts.
    std::uint32_t longShare = 30;       ///< Maximum percentage of the slots for long kinds.
    std::string healthPath = "/health"; ///< Path of the targets' health check.
    std::vector<Kind> kinds;

    bool operator==(const Service &) const = default;
};

/// The share of a route's requests that a service gets.
struct RouteShare
{
    std::string service;
    double weight = 1.0; ///< Relative to the route's other shares.

    bool operator==(const RouteShare &) const = default;
};

/// Assigns the requests for a path prefix of one host to a kind and to services.
struct Route
{
    std::string name;
    std::string pathPrefix; ///< Begins and ends with a slash.
    Kind kind;              ///< Its deadline is the longest time that a request may wait.
    Milliseconds latencyObjective{1'000}; ///< Answers within it have the highest value.
    std::vector<RouteShare> shares;       ///< Never empty.
    bool isOpen = false;                  ///< Requests need no customer's key.

    bool operator==(const Route &) const = default;
};

/// The routes by host, the longest prefix first.
using RouteTable = std::map<std::string, std::vector<Route>, std::less<>>;

/// The route of the host with the longest prefix that matches the path, or null.
[[nodiscard]] const Route *findRoute(const RouteTable &routes, std::string_view host,
                                     std::string_view path);

/// Sorts the routes of each host by descending prefix length, as findRoute() expects.
void sortRoutes(RouteTable &routes);

/// The services and routes as of the latest accepted release note.
struct Catalogue
{
    std::string head;          ///< Identifier of the latest accepted note; empty before the first.
    std::uint64_t offset = 0;  ///< Offset of that note in the log.
    std::uint64_t version = 0; ///< Number of accepted notes.
    std::map<std::string, Service, std::less<>> services;
    std::map<std::string, Customer, std::less<>>
            customers; ///< By name; empty: none are told apart.
    RouteTable routes; ///< For requests identified by host and path instead of by service.
    Milliseconds idleTimeout{0}; ///< Idle timeout of callers' connections; 0: none.
    Milliseconds headTimeout{0}; ///< Within which the head of a caller's request comes; 0: none.

    bool operator==(const Catalogue &) const = default;
};

/// The declared service of that name, or null.
[[nodiscard]] const Service *findService(const Catalogue &catalogue, std::string_view name);

/// The kind with the longest matching path prefix, or null.
[[nodiscard]] const Kind *findKind(const Service &service, std::string_view method,
                                   std::string_view path);

} // namespace chive
