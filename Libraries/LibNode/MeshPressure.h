#pragma once

#include <map>
#include <set>
#include <string>

namespace chive {

/// The load of a service and of the services that its calls lead to.
struct ServicePressure
{
    double own = 0.0;                    ///< Mean of PressureReport::pressure over its targets.
    double below = 0.0;                  ///< The highest of its own and that of all services below.
    std::set<std::string> servicesBelow; ///< Services that its calls lead to, excluding itself.
};

/// The load of the mesh, computed from the recent reports of all nodes.
struct MeshPressure
{
    std::map<std::string, ServicePressure, std::less<>> services;
    std::set<std::string, std::less<>> nestedKinds; ///< Kinds that only targets send.
    /// The share of callers' requests to admit, for each kind where it is below 1.
    std::map<std::string, double, std::less<>> rootShares;
    /// The share of calls that targets reject, for each service where it is noticeable.
    std::map<std::string, double, std::less<>> rejectedShares;
    /// The share of callers' requests of which the retries can complete the call trees, for each
    /// kind that is limited by rejections. Included in `rootShares`.
    std::map<std::string, double, std::less<>> treeShares;
};

} // namespace chive
