#pragma once

#include <map>
#include <set>
#include <string>

namespace chive {

/// How full a service is, and what its work leads to.
struct ServicePressure
{
    double own = 0.0;                    ///< Mean of its targets, as PressureReport has it.
    double below = 0.0;                  ///< The highest among it and all that its calls lead to.
    std::set<std::string> servicesBelow; ///< All that its calls lead to, itself not among them.
};

/// What the recent reports of all nodes say.
struct MeshPressure
{
    std::map<std::string, ServicePressure, std::less<>> services;
    std::set<std::string, std::less<>> nestedKinds; ///< That only targets send.
    /// The share of callers' requests of each kind to take on, where it is below 1.
    std::map<std::string, double, std::less<>> rootShares;
};

} // namespace chive
