#include <LibCatalogue/Catalogue.h>

#include <algorithm>

namespace chive {

const Route *findRoute(const RouteTable &routes, std::string_view host, std::string_view path)
{
    const auto ofHost = routes.find(host);
    if (ofHost == routes.end())
        return nullptr;
    const auto route = std::ranges::find_if(ofHost->second, [&](const Route &candidate) {
        return path.starts_with(candidate.pathPrefix);
    });
    return route == ofHost->second.end() ? nullptr : &*route;
}

void sortRoutes(RouteTable &routes)
{
    for (auto &[host, ofHost] : routes) {
        std::ranges::stable_sort(ofHost, [](const Route &left, const Route &right) {
            return left.pathPrefix.size() > right.pathPrefix.size();
        });
    }
}

} // namespace chive
