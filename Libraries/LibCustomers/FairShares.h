#pragma once

#include <LibCatalogue/Importance.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

/// Divides the load that is admitted at the entry among customers, by max-min fairness. The measure
/// is the work that requests cause, so that costly requests count for more.
namespace chive {

/// A value for each customer, by name.
using AmountByCustomer = std::map<std::string, double, std::less<>>;
/// By kind of request.
using CustomerAmounts = std::map<std::string, AmountByCustomer, std::less<>>;

/// Importance of the customers that have one of their own, by name.
using ImportanceByCustomer = std::map<std::string, Importance, std::less<>>;

/// The name under which customers that are not named are aggregated. No customer has it.
inline constexpr std::string_view othersName;

/// The offered requests of customers are smoothed with this time constant, about as much as by a
/// window of twice its length. Shorter smoothing refuses customers just below their fair share for
/// the chance variation of their arrivals.
inline constexpr std::chrono::duration<double> customerTimeConstant{2.0};

/// Customers of one importance that are named in the shares; the rest is aggregated.
inline constexpr std::size_t maximumNamedCustomers = 64;

/// One kind of request.
struct KindDemand
{
    Importance importance = Importance::Normal;
    double admittedShare = 1.0; ///< Of all its requests.
    double perSecond = 0.0;     ///< Requests a second from which the admitted share was computed.
    std::string limitedBy;      ///< The service whose capacity determines the admitted share.
    double work = 0.0;          ///< Slot seconds of the call tree of one request.
    double scarceWork = 0.0;    ///< The part of it at the service that limits the kind.
    AmountByCustomer offered;   ///< Requests a second, smoothed with customerTimeConstant.
};

using KindDemands = std::map<std::string, KindDemand, std::less<>>;

/// Returns the share of the requests to admit, 0 to 1, for each kind that is not admitted
/// completely and each customer. Kinds of the same importance that are limited by the same service
/// are divided together, so that a customer has one fair share of them whichever kinds it requests.
/// The total load on that service stays as the kinds' admitted shares allow it. Customers that are
/// not named have the share under othersName.
///
/// `otherCustomers` is the number of customers that the amounts under othersName belong to.
/// Customers in `ownImportance` have one that takes the place of the kind's: within the load that
/// is admitted of the kind they come before or after the others.
[[nodiscard]] CustomerAmounts fairShares(const KindDemands &kinds, double otherCustomers,
                                         const ImportanceByCustomer &ownImportance = {});

} // namespace chive
