#pragma once

#include <LibCatalogue/Importance.h>

#include <optional>
#include <string>
#include <vector>

namespace chive {

/// The limit on the requests of a customer over all nodes together.
struct CustomerQuota
{
    double ratePerSecond = 0.0; ///< Requests a second; 0: no limit.
    double burst = 0.0;         ///< Requests allowed beyond the rate.

    bool operator==(const CustomerQuota &) const = default;
};

/// A customer as declared by the configuration. Its requests carry one of its keys.
struct Customer
{
    std::string name;
    std::vector<std::string> keys; ///< Digests (LibCustomers/KeyDigest), never the keys' text.
    std::optional<Importance> importance; ///< Takes precedence over that of the route.
    CustomerQuota quota;

    bool operator==(const Customer &) const = default;
};

} // namespace chive
