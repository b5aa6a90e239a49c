#include <LibCatalogue/ShareCounters.h>

#include <algorithm>

namespace chive {

const std::string &ShareCounters::next(const Route &route)
{
    if (route.shares.size() == 1)
        return route.shares.front().service;
    Counters &counters = routes_[route.name];
    if (counters.shares != route.shares) {
        counters.shares = route.shares;
        counters.credit.assign(route.shares.size(), 0.0);
    }
    double total = 0.0;
    for (std::size_t i = 0; i < route.shares.size(); ++i) {
        counters.credit[i] += route.shares[i].weight;
        total += route.shares[i].weight;
    }
    const auto highest = std::ranges::max_element(counters.credit);
    *highest -= total;
    return route.shares[static_cast<std::size_t>(highest - counters.credit.begin())].service;
}

} // namespace chive
