#pragma once

#include <LibCatalogue/Catalogue.h>

#include <map>
#include <string>
#include <vector>

namespace chive {

/// Spreads the requests of each route over its services in proportion to their weights (smooth
/// weighted round robin), so that shares hold over short spans too.
class ShareCounters
{
public:
    /// The service for the next request of the route. The route must have a share.
    [[nodiscard]] const std::string &next(const Route &route);

private:
    struct Counters
    {
        std::vector<RouteShare> shares; ///< A change of them starts the counters anew.
        std::vector<double> credit;
    };

    std::map<std::string, Counters, std::less<>> routes_; ///< By name.
};

} // namespace chive
