#include <LibPolicy/RootAdmission.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <optional>
#include <vector>

namespace chive {

namespace {

using Seconds = std::chrono::duration<double>;

/// Demand changes within a second or two.
constexpr Seconds offeredTimeConstant{0.3};
/// The work of a kind changes with the speed of the targets, and call trees take up to a few
/// seconds.
constexpr Seconds workTimeConstant{4.0};
/// Fewer requests than this are too few to estimate the work of a kind.
constexpr double minimumSample = 5.0;
/// The wait, in seconds, at which the capacity of a service counts as zero. It corrects errors of
/// the estimate within the time that a call tree takes.
constexpr double waitOfFullReduction = 0.8;
/// Share of the slots that counts as available however long work waits.
constexpr double minimumCapacityShare = 0.2;
/// Smallest admitted share of each kind, so that a change is detected.
constexpr double minimumShare = 0.02;
/// Call trees in flight are limited to those that can end within their objective or, where that is
/// longer, within this multiple of the time that they take without queueing. The work of a tree is
/// known only when it ends; the limit keeps the number of started trees from growing until then.
constexpr double latencySlack = 1.3;
/// The admitted share falls linearly to the minimum while the trees in flight exceed the limit by
/// up to this part of it.
constexpr double reductionRange = 0.5;
/// A node that has not reported for this long counts as having nothing in flight.
constexpr Milliseconds nodeReportLifetime{1'500};

/// Maximum credit in requests, so that a pause in the arrivals does not allow a burst.
constexpr double maximumCredit = 2.0;

/// Refused requests should be retried within these shares of their objective, while an answer is
/// still valuable.
constexpr double minimumRetryAfterShare = 0.2;
constexpr double maximumRetryAfterShare = 0.5;
/// For requests without an objective.
constexpr Milliseconds defaultObjective{1'000};

/// The demand of one kind, as used by the fitting.
struct Demand
{
    std::string_view kind;
    Importance importance = Importance::Normal;
    double perSecond = 0.0; ///< Offered requests.
    double inFlight = 0.0;
    double allowedTime = 0.0;                ///< Seconds within which its call trees should end.
    std::map<std::string_view, double> cost; ///< Slot time in seconds of one request, by service.
};

bool leadsTo(const std::map<std::string, ServicePressure, std::less<>> &services,
             std::string_view from, const std::string &to)
{
    const auto found = services.find(from);
    return from == to || (found != services.end() && found->second.servicesBelow.contains(to));
}

/// Work not attributed to a kind, per request that leads to the service; it is divided evenly.
double
unattributedWorkPerRequest(const RootStatistics &statistics, const std::string &service,
                           const RootStatistics::WorkSums &work,
                           const std::map<std::string, ServicePressure, std::less<>> &services,
                           TimePoint now)
{
    const auto unknown = work.find(std::string_view());
    if (unknown == work.end())
        return 0.0;
    double requests = 0.0;
    for (const auto &[kind, entry] : statistics.kinds) {
        if (leadsTo(services, entry.service, service))
            requests += decayedValue(entry.admitted, workTimeConstant, now);
    }
    return requests < minimumSample
                   ? 0.0
                   : decayedValue(unknown->second, workTimeConstant, now) / requests;
}

void addInFlight(Demand &demand, const RootStatistics::KindEntry &entry, TimePoint now)
{
    double fastest = 0.0;
    for (const auto &[nodeId, node] : entry.nodes) {
        if (now - node.at > nodeReportLifetime)
            continue;
        demand.inFlight += node.inFlight;
        if (node.lowerQuartileLatency > 0.0)
            fastest = fastest == 0.0 ? node.lowerQuartileLatency
                                     : std::min(fastest, node.lowerQuartileLatency);
    }
    demand.allowedTime = std::max(entry.objective, latencySlack * fastest);
}

std::vector<Demand> demandsOf(const RootStatistics &statistics,
                              const std::map<std::string, ServicePressure, std::less<>> &services,
                              TimePoint now)
{
    std::map<std::string_view, double> unattributedPerRequest; // By service.
    for (const auto &[service, work] : statistics.work)
        unattributedPerRequest[service]
                = unattributedWorkPerRequest(statistics, service, work, services, now);
    std::vector<Demand> demands;
    for (const auto &[kind, entry] : statistics.kinds) {
        Demand demand;
        demand.kind = kind;
        demand.importance = entry.importance;
        demand.perSecond = decayedValue(entry.offered, offeredTimeConstant, now)
                           / offeredTimeConstant.count();
        addInFlight(demand, entry, now);
        const double admitted = decayedValue(entry.admitted, workTimeConstant, now);
        for (const auto &[service, byKind] : statistics.work) {
            const auto own = byKind.find(kind);
            if (own != byKind.end() && admitted >= minimumSample)
                demand.cost[service] = decayedValue(own->second, workTimeConstant, now) / admitted;
            const double unknown = unattributedPerRequest.at(service);
            if (unknown > 0.0 && leadsTo(services, entry.service, service))
                demand.cost[service] += unknown;
        }
        demands.push_back(std::move(demand));
    }
    return demands;
}

double availableSlots(const ServiceCapacity &capacity)
{
    return capacity.slots
           * std::clamp(1.0 - capacity.wait / waitOfFullReduction, minimumCapacityShare, 1.0);
}

using Load = std::map<std::string_view, double>;

void addLoad(Load &load, const Demand &demand, double share)
{
    for (const auto &[service, cost] : demand.cost)
        load[service] += share * demand.perSecond * cost;
}

/// The share of the load of one importance level that still fits into each service.
Load fittingShares(const std::map<std::string, ServiceCapacity, std::less<>> &capacities,
                   const Load &used, const Load &wanted)
{
    Load shares;
    for (const auto &[service, load] : wanted) {
        const auto capacity = capacities.find(service);
        if (capacity == capacities.end() || load <= 0.0)
            continue;
        const auto taken = used.find(service);
        const double left
                = availableSlots(capacity->second) - (taken == used.end() ? 0.0 : taken->second);
        shares[service] = std::max(left / load, minimumShare);
    }
    return shares;
}

/// The share of the offered requests of the kind that would fit; may be above 1.
double fitOf(const Demand &demand, const Load &fitting)
{
    std::optional<double> least;
    for (const auto &[service, cost] : demand.cost) {
        const auto fits = fitting.find(service);
        if (cost > 0.0 && fits != fitting.end())
            least = std::min(fits->second, least.value_or(fits->second));
    }
    return least.value_or(std::numeric_limits<double>::infinity());
}

double shareOf(const Demand &demand, double fit)
{
    const double bound = demand.perSecond * fit * demand.allowedTime;
    double reduction = 1.0;
    if (bound > 0.0 && std::isfinite(bound))
        reduction = std::clamp(1.0 - (demand.inFlight / bound - 1.0) / reductionRange, 0.0, 1.0);
    return std::max(minimumShare, std::min(1.0, fit) * reduction);
}

} // namespace

void noteRoots(RootStatistics &statistics, std::string_view nodeId, std::string_view kind,
               const RootCount &count, TimePoint now)
{
    auto found = statistics.kinds.find(kind);
    if (found == statistics.kinds.end())
        found = statistics.kinds.emplace(std::string(kind), RootStatistics::KindEntry{}).first;
    RootStatistics::KindEntry &entry = found->second;
    entry.service = count.service;
    entry.importance = count.importance;
    entry.objective = count.objective;
    entry.nodes.insert_or_assign(
            std::string(nodeId),
            RootStatistics::NodeEntry{count.inFlight, count.lowerQuartileLatency, now});
    add(entry.offered, count.offered, offeredTimeConstant, now);
    add(entry.admitted, count.admitted, workTimeConstant, now);
}

void noteWork(RootStatistics &statistics, std::string_view service, const WorkByKind &work,
              TimePoint now)
{
    auto &ofService = statistics.work[std::string(service)];
    for (const auto &[kind, seconds] : work)
        add(ofService[kind], seconds, workTimeConstant, now);
}

std::map<std::string, double, std::less<>>
admittedShares(const RootStatistics &statistics,
               const std::map<std::string, ServiceCapacity, std::less<>> &capacities,
               const std::map<std::string, ServicePressure, std::less<>> &services, TimePoint now)
{
    const std::vector<Demand> demands = demandsOf(statistics, services, now);
    std::map<std::string, double, std::less<>> shares;
    Load used;
    for (std::size_t level = 0; level < importanceLevels; ++level) {
        const auto isOfLevel = [level](const Demand &demand) {
            return static_cast<std::size_t>(demand.importance) == level;
        };
        Load wanted;
        for (const Demand &demand : demands) {
            if (isOfLevel(demand))
                addLoad(wanted, demand, 1.0);
        }
        const Load fitting = fittingShares(capacities, used, wanted);
        for (const Demand &demand : demands) {
            if (!isOfLevel(demand))
                continue;
            const double share = shareOf(demand, fitOf(demand, fitting));
            addLoad(used, demand, share);
            shares.emplace(std::string(demand.kind), share);
        }
    }
    return shares;
}

bool admitRoot(RootAdmissionCredits &credits, const RootAdmissionCredits::Key &key, double share)
{
    double &credit = credits.credits[key];
    credit = std::min(maximumCredit, credit + share);
    if (credit < 1.0)
        return false;
    credit -= 1.0;
    return true;
}

Milliseconds retryAfterFor(double share, Milliseconds objective, double draw)
{
    const Milliseconds base = objective == Milliseconds(0) ? defaultObjective : objective;
    const double excess = std::clamp(2.0 - share, 1.0, 2.0);
    const double factor
            = (minimumRetryAfterShare + (maximumRetryAfterShare - minimumRetryAfterShare) * draw)
              * excess;
    return Milliseconds(static_cast<std::int64_t>(factor * static_cast<double>(base.count())));
}

} // namespace chive
