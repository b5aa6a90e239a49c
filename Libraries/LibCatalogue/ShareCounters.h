#pragma once

#include <LibCatalogue/Catalogue.h>

#include <map>
#include <string>
#include <vector>

namespace chive {

/// Distributes the requests of each route over its services in proportion to their weights. It uses
/// smooth weighted round robin, so that the shares also hold over short periods.
class ShareCounters
{
public:
    /// The service for the next request of the route. The route must have at least one share.
    [[nodiscard]] const std::string &next(const Route &route);

private:
    struct Counters
    {
        std::vector<RouteShare> shares; ///< The counters are reset when these change.
        std::vector<double> credit;
    };

    std::map<std::string, Counters, std::less<>> routes_; ///< By route name.
};

} // namespace chive
