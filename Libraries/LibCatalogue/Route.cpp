#include <LibCatalogue/Catalogue.h>

#include <algorithm>

namespace chive {

const Route *findRoute(const RouteTable &routes, std::string_view host, std::string_view path)
{
    const auto hostRoutes = routes.find(host);
    if (hostRoutes == routes.end())
        return nullptr;
    const auto route = std::ranges::find_if(hostRoutes->second, [&](const Route &candidate) {
        return path.starts_with(candidate.pathPrefix);
    });
    return route == hostRoutes->second.end() ? nullptr : &*route;
}

void sortRoutes(RouteTable &routes)
{
    for (auto &[host, hostRoutes] : routes) {
        std::ranges::stable_sort(hostRoutes, [](const Route &left, const Route &right) {
            return left.pathPrefix.size() > right.pathPrefix.size();
        });
    }
}

} // namespace chive
