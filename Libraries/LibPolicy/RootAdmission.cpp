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

/// Demand swings within a second or two.
constexpr Seconds offeredTime{0.3};
/// The work of a kind changes with the speed of the targets; trees take up to a few seconds.
constexpr Seconds costTime{4.0};
/// Fewer requests than this tell nothing of the work of a kind.
constexpr double leastSample = 5.0;
/// The wait at which the room of a service is taken for none, in seconds; damps the estimate's
/// errors within the time that a tree of calls takes.
constexpr double longestWait = 0.8;
/// Room that is left to a service however long work waits there.
constexpr double leastRoom = 0.2;
/// Of each kind, so that a change is seen.
constexpr double leastShare = 0.02;
/// Trees in flight are bounded to those that end within their objective, or within this multiple of
/// the time that they take without a queue where that is longer. The work of a tree is seen when it
/// ends; the bound keeps what has begun from growing until then.
constexpr double latencySlack = 1.3;
/// From the bound to this multiple of it the share falls to the least.
constexpr double brakeWidth = 0.5;
/// A node that has not reported for so long has nothing in flight.
constexpr Milliseconds nodeMemory{1'500};

/// Requests that a kind's gate may save up, so that a pause in the arrivals makes no burst.
constexpr double mostCredit = 2.0;

/// Requests return within this part of their objective, so that they can still be worth much.
constexpr double leastReturn = 0.2;
constexpr double mostReturn = 0.5;
/// For requests without an objective.
constexpr Milliseconds usualObjective{1'000};

double faded(const DecayingSum &sum, Seconds time, TimePoint now)
{
    const Seconds passed = now - sum.updated;
    return sum.value * std::exp(-std::max(0.0, passed / time));
}

void add(DecayingSum &sum, double amount, Seconds time, TimePoint now)
{
    sum.value = faded(sum, time, now) + amount;
    sum.updated = now;
}

/// One kind as the fit sees it.
struct Demand
{
    std::string_view kind;
    Importance importance = Importance::Normal;
    double perSecond = 0.0; ///< Requests offered.
    double inFlight = 0.0;
    double allowedTime = 0.0;                ///< Seconds in which its trees should end.
    std::map<std::string_view, double> cost; ///< Slot seconds of one request, by service.
};

bool leadsTo(const std::map<std::string, ServicePressure, std::less<>> &services,
             std::string_view from, const std::string &to)
{
    const auto found = services.find(from);
    return from == to || (found != services.end() && found->second.servicesBelow.contains(to));
}

/// Work that no kind is known for, for each request that leads to the service: it is spread evenly.
double unknownWorkOfEach(const RootStatistics &ledger, const std::string &service,
                         const RootStatistics::WorkSums &work,
                         const std::map<std::string, ServicePressure, std::less<>> &services,
                         TimePoint now)
{
    const auto unknown = work.find(std::string_view());
    if (unknown == work.end())
        return 0.0;
    double requests = 0.0;
    for (const auto &[kind, entry] : ledger.kinds) {
        if (leadsTo(services, entry.service, service))
            requests += faded(entry.admitted, costTime, now);
    }
    return requests < leastSample ? 0.0 : faded(unknown->second, costTime, now) / requests;
}

void noteInFlight(Demand &demand, const RootStatistics::KindEntry &entry, TimePoint now)
{
    double fastest = 0.0;
    for (const auto &[nodeId, node] : entry.nodes) {
        if (now - node.at > nodeMemory)
            continue;
        demand.inFlight += node.inFlight;
        if (node.lowerQuartileLatency > 0.0)
            fastest = fastest == 0.0 ? node.lowerQuartileLatency
                                     : std::min(fastest, node.lowerQuartileLatency);
    }
    demand.allowedTime = std::max(entry.objective, latencySlack * fastest);
}

std::vector<Demand> demandsOf(const RootStatistics &ledger,
                              const std::map<std::string, ServicePressure, std::less<>> &services,
                              TimePoint now)
{
    std::map<std::string_view, double> unknownOfEach; // By service.
    for (const auto &[service, work] : ledger.work)
        unknownOfEach[service] = unknownWorkOfEach(ledger, service, work, services, now);
    std::vector<Demand> demands;
    for (const auto &[kind, entry] : ledger.kinds) {
        Demand demand;
        demand.kind = kind;
        demand.importance = entry.importance;
        demand.perSecond = faded(entry.offered, offeredTime, now) / offeredTime.count();
        noteInFlight(demand, entry, now);
        const double admitted = faded(entry.admitted, costTime, now);
        for (const auto &[service, byKind] : ledger.work) {
            const auto own = byKind.find(kind);
            if (own != byKind.end() && admitted >= leastSample)
                demand.cost[service] = faded(own->second, costTime, now) / admitted;
            const double unknown = unknownOfEach.at(service);
            if (unknown > 0.0 && leadsTo(services, entry.service, service))
                demand.cost[service] += unknown;
        }
        demands.push_back(std::move(demand));
    }
    return demands;
}

double capacityOf(const ServiceCapacity &room)
{
    return room.slots * std::clamp(1.0 - room.wait / longestWait, leastRoom, 1.0);
}

using Load = std::map<std::string_view, double>;

void addLoad(Load &load, const Demand &demand, double share)
{
    for (const auto &[service, cost] : demand.cost)
        load[service] += share * demand.perSecond * cost;
}

/// The part of a rank's load that still fits into each service.
Load fittingShares(const std::map<std::string, ServiceCapacity, std::less<>> &rooms,
                   const Load &used, const Load &wanted)
{
    Load shares;
    for (const auto &[service, load] : wanted) {
        const auto room = rooms.find(service);
        if (room == rooms.end() || load <= 0.0)
            continue;
        const auto taken = used.find(service);
        const double left = capacityOf(room->second) - (taken == used.end() ? 0.0 : taken->second);
        shares[service] = std::max(left / load, leastShare);
    }
    return shares;
}

/// How often the requests of the kind would fit as they are offered; may be above 1.
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
    double brake = 1.0;
    if (bound > 0.0 && std::isfinite(bound))
        brake = std::clamp(1.0 - (demand.inFlight / bound - 1.0) / brakeWidth, 0.0, 1.0);
    return std::max(leastShare, std::min(1.0, fit) * brake);
}

} // namespace

void noteRoots(RootStatistics &ledger, std::string_view nodeId, std::string_view kind,
               const RootCount &count, TimePoint now)
{
    auto found = ledger.kinds.find(kind);
    if (found == ledger.kinds.end())
        found = ledger.kinds.emplace(std::string(kind), RootStatistics::KindEntry{}).first;
    RootStatistics::KindEntry &entry = found->second;
    entry.service = count.service;
    entry.importance = count.importance;
    entry.objective = count.objective;
    entry.nodes.insert_or_assign(
            std::string(nodeId),
            RootStatistics::NodeEntry{count.inFlight, count.lowerQuartileLatency, now});
    add(entry.offered, count.offered, offeredTime, now);
    add(entry.admitted, count.admitted, costTime, now);
}

void noteWork(RootStatistics &ledger, std::string_view service, const WorkByKind &work,
              TimePoint now)
{
    auto &ofService = ledger.work[std::string(service)];
    for (const auto &[kind, seconds] : work)
        add(ofService[kind], seconds, costTime, now);
}

std::map<std::string, double, std::less<>>
admittedShares(const RootStatistics &ledger,
               const std::map<std::string, ServiceCapacity, std::less<>> &rooms,
               const std::map<std::string, ServicePressure, std::less<>> &services, TimePoint now)
{
    const std::vector<Demand> demands = demandsOf(ledger, services, now);
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
        const Load fitting = fittingShares(rooms, used, wanted);
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

bool admitRoot(RootAdmissionCredits &gate, const RootAdmissionCredits::Key &part, double share)
{
    double &credit = gate.credits[part];
    credit = std::min(mostCredit, credit + share);
    if (credit < 1.0)
        return false;
    credit -= 1.0;
    return true;
}

Milliseconds retryAfterFor(double share, Milliseconds objective, double draw)
{
    const Milliseconds base = objective == Milliseconds(0) ? usualObjective : objective;
    const double excess = std::clamp(2.0 - share, 1.0, 2.0);
    const double factor = (leastReturn + (mostReturn - leastReturn) * draw) * excess;
    return Milliseconds(static_cast<std::int64_t>(factor * static_cast<double>(base.count())));
}

} // namespace chive
