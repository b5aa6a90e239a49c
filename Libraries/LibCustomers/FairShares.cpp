#include <LibCustomers/FairShares.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <span>
#include <utility>
#include <vector>

namespace chive {

namespace {

/// The demand of a customer counts as this many standard deviations below its estimate. A customer
/// just below its fair share is then rarely refused for the chance variation of its arrivals.
constexpr double toleratedDeviations = 1.5;
/// Smallest part of the estimate that counts, for customers with few requests.
constexpr double minimumCountedPart = 0.5;

/// Customers whose share differs by less from that of the others are not named.
constexpr double tolerance = 0.005;

/// The requests a second of a kind over half a second and over some seconds differ by up to this
/// part for chance. A larger difference is a surge, which the demand of the customers does not show
/// yet.
constexpr double chanceVariation = 0.1;

/// The demand of one customer, or of all others, for the kinds that are divided together.
struct Demand
{
    std::string_view customer;
    Importance importance = Importance::Normal;
    double work = 0.0;     ///< Slot seconds a second of whole call trees.
    double variance = 0.0; ///< Of the estimate of the work.
    double scarce = 0.0;   ///< Slot seconds a second at the service that limits the kinds.
    double counted = 0.0;  ///< The work that is compared with the fair share of one customer.
};

using Group = std::vector<KindDemands::const_iterator>;

std::vector<Group> groupsOf(const KindDemands &kinds)
{
    std::map<std::pair<Importance, std::string_view>, Group> groups;
    for (auto kind = kinds.begin(); kind != kinds.end(); ++kind) {
        if (kind->second.admittedShare < 1.0)
            groups[{kind->second.importance, kind->second.limitedBy}].push_back(kind);
    }
    std::vector<Group> list;
    for (auto &[key, group] : groups)
        list.push_back(std::move(group));
    return list;
}

void addDemand(Demand &demand, const KindDemand &kind, double perSecond)
{
    demand.work += kind.work * perSecond;
    demand.variance += kind.work * kind.work * perSecond / (2.0 * customerTimeConstant.count());
    demand.scarce += kind.scarceWork * perSecond;
}

std::map<std::string_view, Demand> demandsOf(const Group &group)
{
    std::map<std::string_view, Demand> demands;
    for (const auto &kind : group) {
        for (const auto &[customer, perSecond] : kind->second.offered) {
            Demand &demand = demands[customer];
            demand.customer = customer;
            addDemand(demand, kind->second, perSecond);
        }
    }
    return demands;
}

double countedWork(const Demand &demand)
{
    const double certain = demand.work - toleratedDeviations * std::sqrt(demand.variance);
    return std::max(certain, minimumCountedPart * demand.work);
}

/// Aggregates all but the largest customers. The result includes the others, if there are any.
std::vector<Demand> largestAndOthers(const Group &group, double otherCustomers)
{
    Demand others;
    std::vector<Demand> demands;
    for (const auto &[customer, demand] : demandsOf(group)) {
        if (customer == othersName)
            others = demand;
        else
            demands.push_back(demand);
    }
    for (Demand &demand : demands)
        demand.counted = countedWork(demand);
    double otherCount = std::max(1.0, otherCustomers);
    double largestOther = std::numeric_limits<double>::infinity();
    if (demands.size() > maximumNamedCustomers) {
        std::ranges::sort(demands, std::greater(), &Demand::work);
        for (std::size_t i = maximumNamedCustomers; i < demands.size(); ++i) {
            others.work += demands[i].work;
            others.scarce += demands[i].scarce;
            otherCount += 1.0;
        }
        demands.resize(maximumNamedCustomers);
        largestOther = demands.back().work;
    }
    if (others.work <= 0.0)
        return demands;
    others.customer = othersName;
    others.counted = std::min(others.work / otherCount, largestOther);
    demands.push_back(others);
    return demands;
}

/// The load on the service that limits the kinds, as admitted without customers. The admitted share
/// follows chance variation of KindDemand::perSecond, which cancels out in their product.
double admittedLoad(const Group &group)
{
    double load = 0.0;
    for (const auto &kind : group) {
        const KindDemand &demand = kind->second;
        double offered = 0.0;
        for (const auto &[customer, perSecond] : demand.offered)
            offered += perSecond;
        const double latest = std::clamp(demand.perSecond, (1.0 - chanceVariation) * offered,
                                         (1.0 + chanceVariation) * offered);
        load += demand.admittedShare * demand.scarceWork * latest;
    }
    return load;
}

/// Returns the work of one customer at which the admitted load is `load`: customers with less are
/// admitted completely and the others up to this level. Infinite if everything fits. The demands
/// are in ascending order.
double fairLevel(std::span<const Demand> demands, double load)
{
    double limited = 0.0; // Load per unit of the level, of customers not yet admitted completely.
    for (const Demand &demand : demands)
        limited += demand.scarce / demand.counted;
    for (const Demand &demand : demands) {
        const double level = load / limited;
        if (level < demand.counted)
            return level;
        load = std::max(0.0, load - demand.scarce);
        limited -= demand.scarce / demand.counted;
    }
    return std::numeric_limits<double>::infinity();
}

/// Divides the load among the customers of the highest importance first, and what they leave among
/// those of the next one.
AmountByCustomer sharesOf(std::vector<Demand> demands, double load)
{
    std::ranges::sort(demands, {}, [](const Demand &demand) {
        return std::pair(demand.importance, demand.counted);
    });
    AmountByCustomer shares;
    for (std::size_t first = 0; first < demands.size();) {
        std::size_t end = first;
        while (end < demands.size() && demands[end].importance == demands[first].importance)
            ++end;
        const std::span<const Demand> rank(&demands[first], end - first);
        const double level = fairLevel(rank, load);
        for (const Demand &demand : rank) {
            const double share = std::min(1.0, level / demand.counted);
            shares.emplace(demand.customer, share);
            load = std::max(0.0, load - share * demand.scarce);
        }
        first = end;
    }
    return shares;
}

} // namespace

CustomerAmounts fairShares(const KindDemands &kinds, double otherCustomers,
                           const ImportanceByCustomer &ownImportance)
{
    CustomerAmounts shares;
    for (const Group &group : groupsOf(kinds)) {
        std::vector<Demand> demands = largestAndOthers(group, otherCustomers);
        std::erase_if(demands, [](const Demand &demand) {
            return demand.scarce <= 0.0 || demand.counted <= 0.0;
        });
        if (demands.empty())
            continue;
        for (Demand &demand : demands) {
            const auto own = ownImportance.find(demand.customer);
            demand.importance
                    = own == ownImportance.end() ? group.front()->second.importance : own->second;
        }
        AmountByCustomer ofGroup = sharesOf(std::move(demands), admittedLoad(group));
        // A customer that appears is treated like the small ones until it has been reported.
        const double ofOthers = ofGroup.emplace(othersName, 1.0).first->second;
        std::erase_if(ofGroup, [ofOthers](const auto &share) {
            return share.first != othersName && std::abs(share.second - ofOthers) < tolerance;
        });
        for (const auto &kind : group)
            shares.emplace(kind->first, ofGroup);
    }
    return shares;
}

} // namespace chive
