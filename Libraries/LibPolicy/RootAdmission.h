#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCore/Clock.h>
#include <LibNode/MeshPressure.h>
#include <LibPolicy/DecayingSum.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

/// Admission control for new requests of callers (root requests). Each kind of request is charged
/// with the slot time that its call trees took at every service. The offered load is then fitted
/// into the slots of the services, the most important kinds first. Whole call trees are refused at
/// their entry, and those that have started are completed. This handles demand above the capacity
/// of a service deep in the call graph, where refusing by queue length reacts too late and makes
/// demand oscillate.
namespace chive {

/// Requests of callers of one kind at one node since its last report.
struct RootCount
{
    std::string service;
    Importance importance = Importance::Normal;
    double offered = 0.0;
    double admitted = 0.0;
    double inFlight = 0.0;             ///< Number of requests in flight now.
    double lowerQuartileLatency = 0.0; ///< Of the served requests, in seconds.
    double objective = 0.0;            ///< Seconds within which an answer has its full value.
};

/// Slot time in seconds that a target spent since the last report, by the kind of the root request
/// that the calls belong to. The empty name holds the work that cannot be attributed to a kind.
using WorkByKind = std::map<std::string, double, std::less<>>;

/// The reported requests of callers and the work that they cause.
struct RootStatistics
{
    struct NodeEntry
    {
        double inFlight = 0.0;
        double lowerQuartileLatency = 0.0;
        TimePoint at;
    };

    struct KindEntry
    {
        std::string service;
        Importance importance = Importance::Normal;
        double objective = 0.0; ///< RootCount::objective.
        DecayingSum offered;    ///< Decays within a fraction of a second: the current demand.
        DecayingSum admitted;   ///< Decays within some seconds, as the work does.
        std::map<std::string, NodeEntry, std::less<>> nodes; ///< By node id.
    };

    using WorkSums
            = std::map<std::string, DecayingSum, std::less<>>; ///< By kind, as in WorkByKind.

    std::map<std::string, KindEntry, std::less<>> kinds;
    std::map<std::string, WorkSums, std::less<>> work; ///< By service.
};

/// The current capacity of a service.
struct ServiceCapacity
{
    double slots = 0.0; ///< Total of all its targets.
    double wait = 0.0;  ///< Mean time in seconds that work waits at its targets.
};

void noteRoots(RootStatistics &statistics, std::string_view nodeId, std::string_view kind,
               const RootCount &count, TimePoint now);
void noteWork(RootStatistics &statistics, std::string_view service, const WorkByKind &work,
              TimePoint now);

/// Returns the share of the requests of each kind to admit, 0 to 1. `services` tells which services
/// a kind leads to; it is used for work that cannot be attributed to a kind.
[[nodiscard]] std::map<std::string, double, std::less<>>
admittedShares(const RootStatistics &statistics,
               const std::map<std::string, ServiceCapacity, std::less<>> &capacities,
               const std::map<std::string, ServicePressure, std::less<>> &services, TimePoint now);

/// Admits the share of each kind at one node, evenly spread over the requests. Callers that return
/// after a refusal get no preference, because it would be at the expense of new requests that can
/// still be answered in time.
///
/// Each service among which the requests of a kind are distributed has a credit of its own. With
/// one credit for all, evenly spaced admissions from an even distribution would select the same
/// service every time.
struct RootAdmissionCredits
{
    struct Key
    {
        std::string kind;
        std::string service;

        bool operator<(const Key &other) const
        {
            return std::tie(kind, service) < std::tie(other.kind, other.service);
        }
    };

    std::map<Key, double> credits; ///< Accumulated credit in requests; admitting one costs 1.
};

/// Whether to admit the request at this share, 0 to 1.
[[nodiscard]] bool admitRoot(RootAdmissionCredits &credits, const RootAdmissionCredits::Key &key,
                             double share);

/// Returns after what time a request that was refused at this admitted share should be retried.
/// `draw` is a random number from 0 to 1 that spreads the retries, so that they do not arrive as
/// the next burst.
[[nodiscard]] Milliseconds retryAfterFor(double share, Milliseconds objective, double draw);

} // namespace chive
