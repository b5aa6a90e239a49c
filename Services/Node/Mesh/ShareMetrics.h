#pragma once

#include <LibCustomers/CustomerDemand.h>
#include <LibNode/MeshPressure.h>

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>

namespace prometheus {
class Gauge;
class Registry;
template<typename Metric>
class Family;
} // namespace prometheus

namespace chive {

/// Metrics of the customers with most requests at this node, and of the others together: requests
/// offered and refused a second, and the admitted share. The number of time series is bounded;
/// those of a customer are removed when others have more requests.
class ShareMetrics
{
public:
    explicit ShareMetrics(prometheus::Registry &registry);

    void update(const CustomerCounts &counts, const MeshPressure &mesh, TimePoint now);

private:
    struct Gauges
    {
        prometheus::Gauge *offered = nullptr;
        prometheus::Gauge *refused = nullptr;
        prometheus::Gauge *share = nullptr;
    };

    Gauges addGauges(const std::string &label);
    void remove(const Gauges &gauges);

    prometheus::Family<prometheus::Gauge> &offered_;
    prometheus::Family<prometheus::Gauge> &refused_;
    prometheus::Family<prometheus::Gauge> &share_;
    std::map<std::string, Gauges> gauges_; ///< By the name of the customer.
};

/// The same as a list for the status report.
[[nodiscard]] nlohmann::json customersStatus(const CustomerCounts &counts, const MeshPressure &mesh,
                                             TimePoint now);

} // namespace chive
