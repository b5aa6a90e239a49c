#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCore/Clock.h>
#include <LibNode/MeshPressure.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

/// How many of callers' new requests the mesh takes on. Each kind of request is charged with the
/// slot time that its trees of calls took at every service; what is offered is then fitted into
/// the slots of the services, the most important kinds first. Whole trees are refused where they
/// enter and those that were begun are finished. The load it answers: demand above the capacity of
/// a service deep in the call graph, where refusing by the length of its queue comes too late and
/// makes demand swing.
namespace chive {

/// A sum whose past fades away with a time constant.
struct DecayingSum
{
    double value = 0.0;
    TimePoint updated;
};

/// Requests of callers, of one kind, at one node since its last report.
struct RootCount
{
    std::string service;
    Importance importance = Importance::Normal;
    double offered = 0.0;
    double admitted = 0.0;
    double inFlight = 0.0;             ///< Now.
    double lowerQuartileLatency = 0.0; ///< LowerQuartile of those that were served, in seconds.
    double objective = 0.0;            ///< Seconds in which an answer is worth most.
};

/// Slot time in seconds that a target spent since the last report, by the kind of the request that
/// the calls belong to; under the empty name what cannot be told.
using WorkByKind = std::map<std::string, double, std::less<>>;

/// What the nodes have told of the requests of callers and of the work they make.
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
        DecayingSum offered;    ///< Over a fraction of a second, the demand of the moment.
        DecayingSum admitted;   ///< Over some seconds, as the work.
        std::map<std::string, NodeEntry, std::less<>> nodes; ///< By node id.
    };

    using WorkSums
            = std::map<std::string, DecayingSum, std::less<>>; ///< By kind, as in WorkByKind.

    std::map<std::string, KindEntry, std::less<>> kinds;
    std::map<std::string, WorkSums, std::less<>> work; ///< By service.
};

/// What a service can do now.
struct ServiceCapacity
{
    double slots = 0.0; ///< Of all its targets.
    double wait = 0.0;  ///< Seconds that work waits at its targets, their mean.
};

void noteRoots(RootStatistics &ledger, std::string_view nodeId, std::string_view kind,
               const RootCount &count, TimePoint now);
void noteWork(RootStatistics &ledger, std::string_view service, const WorkByKind &work,
              TimePoint now);

/// The share of the requests of each kind to take on, 0 to 1. `services` tells which services
/// those of a kind lead to where the work cannot be charged to a kind.
[[nodiscard]] std::map<std::string, double, std::less<>>
admittedShares(const RootStatistics &ledger,
               const std::map<std::string, ServiceCapacity, std::less<>> &rooms,
               const std::map<std::string, ServicePressure, std::less<>> &services, TimePoint now);

/// Takes on the share of each kind at one node, evenly over the requests. Callers who come back
/// after a refusal get no better place: it would be taken from new ones, who are still in time.
///
/// Each service that the requests of a kind are spread over is counted for itself. With one count
/// for all, an even choice out of an even spread falls on the same service again and again.
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

    std::map<Key, double> credits; ///< Requests ahead of the share.
};

/// Whether to take the request on.
[[nodiscard]] bool admitRoot(RootAdmissionCredits &gate, const RootAdmissionCredits::Key &part,
                             double share);

/// When a request that was refused while that share was taken on should come back. `draw` is random
/// in 0 to 1 and spreads the returns, so that they do not arrive as the next burst.
[[nodiscard]] Milliseconds retryAfterFor(double share, Milliseconds objective, double draw);

} // namespace chive
