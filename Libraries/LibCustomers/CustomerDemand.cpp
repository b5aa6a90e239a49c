#include <LibCustomers/CustomerDemand.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chive {

namespace {

/// Decayed below this count, four seconds after its only request, a customer is idle.
constexpr double idleCount = 0.135;
/// A change is followed at once if it is unlikely to be chance: the latest requests differ from the
/// smoothed ones by this many standard deviations.
constexpr std::chrono::duration<double> latestTimeConstant{0.6};
constexpr double significantDeviations = 3.0;

double perSecond(const DecayingSum &sum, std::chrono::duration<double> time, TimePoint now)
{
    return decayedValue(sum, time, now) / time.count();
}

template<typename Map>
auto &entryOf(Map &map, std::string_view key)
{
    const auto found = map.find(key);
    if (found != map.end())
        return found->second;
    return map.emplace(std::string(key), typename Map::mapped_type{}).first->second;
}

/// Sorts the largest elements to the front and returns how many of them are named.
template<typename Value, typename Projection>
std::size_t selectLargest(std::vector<Value> &values, Projection projection)
{
    const std::size_t named = std::min(maximumReportedCustomers, values.size());
    std::ranges::partial_sort(values, values.begin() + static_cast<std::ptrdiff_t>(named),
                              std::greater(), projection);
    return named;
}

} // namespace

void add(CustomerSet &set, std::string_view customer)
{
    set.set(XXH3_64bits(customer.data(), customer.size()) % set.size());
}

double estimatedSize(const CustomerSet &set)
{
    const auto bits = static_cast<double>(set.size());
    const double unset = std::max(1.0, bits - static_cast<double>(set.count()));
    return bits * std::log(bits / unset);
}

double offeredPerSecond(const CustomerCounts::Entry &entry, TimePoint now)
{
    const double smoothed = perSecond(entry.offered, customerTimeConstant, now);
    const double latest = perSecond(entry.latest, latestTimeConstant, now);
    const double deviation = std::sqrt(smoothed / (2.0 * latestTimeConstant.count()));
    return std::abs(latest - smoothed) > significantDeviations * deviation ? latest : smoothed;
}

void noteRequest(CustomerCounts &counts, std::string_view kind, std::string_view customer,
                 bool isAdmitted, TimePoint now)
{
    CustomerCounts::Entry &entry = entryOf(entryOf(counts.kinds, kind), customer);
    add(entry.offered, 1.0, customerTimeConstant, now);
    add(entry.latest, 1.0, latestTimeConstant, now);
    if (!isAdmitted)
        add(entry.refused, 1.0, customerTimeConstant, now);
}

void forgetIdle(CustomerCounts &counts, TimePoint now)
{
    for (auto &[kind, customers] : counts.kinds) {
        std::erase_if(customers, [now](const auto &customer) {
            return decayedValue(customer.second.offered, customerTimeConstant, now) < idleCount;
        });
    }
    std::erase_if(counts.kinds, [](const auto &kind) { return kind.second.empty(); });
}

CustomerReport reportOf(const CustomerCounts &counts, TimePoint now)
{
    CustomerReport report;
    for (const auto &[kind, customers] : counts.kinds) {
        std::vector<std::pair<double, std::string_view>> rates;
        for (const auto &[customer, entry] : customers)
            rates.emplace_back(offeredPerSecond(entry, now), customer);
        const std::size_t named = selectLargest(rates, &std::pair<double, std::string_view>::first);
        AmountByCustomer &ofKind = report.offered[kind];
        for (std::size_t i = 0; i < rates.size(); ++i) {
            const auto &[rate, customer] = rates[i];
            entryOf(ofKind, i < named ? customer : othersName) += rate;
            if (i >= named)
                add(report.others, customer);
        }
    }
    return report;
}

std::vector<CustomerLoad> largestCustomers(const CustomerCounts &counts, TimePoint now)
{
    std::map<std::string_view, CustomerLoad> byName;
    for (const auto &[kind, customers] : counts.kinds) {
        for (const auto &[customer, entry] : customers) {
            CustomerLoad &load = byName[customer];
            load.customer = customer;
            const double offered = offeredPerSecond(entry, now);
            const double refusedPart = decayedValue(entry.refused, customerTimeConstant, now)
                                       / decayedValue(entry.offered, customerTimeConstant, now);
            load.offered += offered;
            load.refused += refusedPart * offered;
        }
    }
    std::vector<CustomerLoad> loads;
    for (auto &[name, load] : byName)
        loads.push_back(std::move(load));
    const std::size_t named = selectLargest(loads, &CustomerLoad::offered);
    if (named == loads.size())
        return loads;
    CustomerLoad others{std::string(othersName), 0.0, 0.0};
    for (std::size_t i = named; i < loads.size(); ++i) {
        others.offered += loads[i].offered;
        others.refused += loads[i].refused;
    }
    loads.resize(named);
    loads.push_back(std::move(others));
    return loads;
}

void noteCustomers(CustomerTable &table, std::string_view nodeId, CustomerReport report,
                   TimePoint now)
{
    if (!report.offered.empty()) {
        table.nodes.insert_or_assign(std::string(nodeId),
                                     CustomerTable::Entry{std::move(report), now});
        return;
    }
    const auto found = table.nodes.find(nodeId);
    if (found != table.nodes.end())
        table.nodes.erase(found);
}

void forgetOld(CustomerTable &table, Milliseconds lifetime, TimePoint now)
{
    std::erase_if(table.nodes, [&](const auto &node) { return now - node.second.at > lifetime; });
}

CustomerReport totalOf(const CustomerTable &table)
{
    CustomerReport total;
    for (const auto &[nodeId, node] : table.nodes) {
        total.others |= node.report.others;
        for (const auto &[kind, customers] : node.report.offered) {
            AmountByCustomer &ofKind = total.offered[kind];
            for (const auto &[customer, rate] : customers)
                ofKind[customer] += rate;
        }
    }
    return total;
}

} // namespace chive
