#include <Node/Mesh/ShareMetrics.h>

#include <LibPolicy/RootAdmission.h>

#include <nlohmann/json.hpp>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <algorithm>
#include <set>
#include <utility>

namespace chive {

namespace {

constexpr auto othersLabel = "others";

/// The smallest share among the kinds that the node has requests for.
double smallestShareOf(const CustomerLoad &load, const CustomerCounts &counts,
                       const MeshPressure &mesh)
{
    double smallest = 1.0;
    for (const auto &[kind, customers] : counts.kinds) {
        const auto shares = mesh.customerShares.find(kind);
        if (load.customer.empty() && shares != mesh.customerShares.end())
            smallest = std::min(smallest, shares->second.at(std::string(othersName)));
        else if (load.customer.empty() || customers.contains(load.customer))
            smallest = std::min(smallest, rootShareOf(mesh, kind, load.customer));
    }
    return smallest;
}

prometheus::Family<prometheus::Gauge> &gauges(prometheus::Registry &registry,
                                              const std::string &name, const std::string &help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

} // namespace

ShareMetrics::ShareMetrics(prometheus::Registry &registry)
    : offered_(gauges(registry, "chiverouter_customer_offered",
                      "Requests a second of the largest customers at this node."))
    , refused_(gauges(registry, "chiverouter_customer_refused",
                      "Requests a second that were refused for overload, by customer."))
    , share_(gauges(registry, "chiverouter_customer_share",
                    "Smallest admitted share of a customer's requests among the kinds."))
{}

void ShareMetrics::update(const CustomerCounts &counts, const MeshPressure &mesh, TimePoint now)
{
    std::set<std::string, std::less<>> current;
    for (const CustomerLoad &load : largestCustomers(counts, now)) {
        current.insert(load.customer);
        auto found = gauges_.find(load.customer);
        if (found == gauges_.end()) {
            const std::string label = load.customer.empty() ? othersLabel : load.customer;
            found = gauges_.emplace(load.customer, addGauges(label)).first;
        }
        found->second.offered->Set(load.offered);
        found->second.refused->Set(load.refused);
        found->second.share->Set(smallestShareOf(load, counts, mesh));
    }
    std::erase_if(gauges_, [&](const auto &entry) {
        if (current.contains(entry.first))
            return false;
        remove(entry.second);
        return true;
    });
}

ShareMetrics::Gauges ShareMetrics::addGauges(const std::string &label)
{
    const prometheus::Labels labels{{"customer", label}};
    return {&offered_.Add(labels), &refused_.Add(labels), &share_.Add(labels)};
}

void ShareMetrics::remove(const Gauges &gauges)
{
    offered_.Remove(gauges.offered);
    refused_.Remove(gauges.refused);
    share_.Remove(gauges.share);
}

nlohmann::json customersStatus(const CustomerCounts &counts, const MeshPressure &mesh,
                               TimePoint now)
{
    nlohmann::json list = nlohmann::json::array();
    for (const CustomerLoad &load : largestCustomers(counts, now)) {
        list.push_back({{"customer", load.customer.empty() ? othersLabel : load.customer},
                        {"offered_per_s", load.offered},
                        {"refused_per_s", load.refused},
                        {"share", smallestShareOf(load, counts, mesh)}});
    }
    return list;
}

} // namespace chive
