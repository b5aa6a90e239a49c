#pragma once

#include <LibCore/Clock.h>
#include <LibCore/DecayingSum.h>
#include <LibCustomers/FairShares.h>

#include <bitset>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// The requests that customers offer: counted at each node, reported to the collectors, and added
/// up there.
namespace chive {

/// Customers of one kind that a node names in its report and in its status.
inline constexpr std::size_t maximumReportedCustomers = 16;

/// A set of customers from which their number is estimated by linear counting. Sets of several
/// nodes are merged by OR. Estimates above a few hundred are too low.
using CustomerSet = std::bitset<256>;

void add(CustomerSet &set, std::string_view customer);
[[nodiscard]] double estimatedSize(const CustomerSet &set);

/// The requests of customers at one node.
struct CustomerCounts
{
    struct Entry
    {
        DecayingSum offered; ///< Decays with customerTimeConstant.
        DecayingSum latest;  ///< The same, decays faster.
        DecayingSum refused;
    };

    std::map<std::string, std::map<std::string, Entry, std::less<>>, std::less<>> kinds;
};

/// The requests a second. Follows a surge, and the end of one, within about half a second.
[[nodiscard]] double offeredPerSecond(const CustomerCounts::Entry &entry, TimePoint now);

void noteRequest(CustomerCounts &counts, std::string_view kind, std::string_view customer,
                 bool isAdmitted, TimePoint now);

/// Drops customers without recent requests.
void forgetIdle(CustomerCounts &counts, TimePoint now);

/// What a node reports of the customers' requests.
struct CustomerReport
{
    CustomerAmounts offered; ///< Requests a second of the largest customers and the others.
    CustomerSet others;      ///< The customers that are not named.

    bool operator==(const CustomerReport &) const = default;
};

[[nodiscard]] CustomerReport reportOf(const CustomerCounts &counts, TimePoint now);

/// The requests a second of one customer, over all kinds.
struct CustomerLoad
{
    std::string customer;
    double offered = 0.0;
    double refused = 0.0;
};

/// Returns the customers with most requests at this node, at most maximumReportedCustomers, and
/// then the total of the others under othersName.
[[nodiscard]] std::vector<CustomerLoad> largestCustomers(const CustomerCounts &counts,
                                                         TimePoint now);

/// The latest report of each node. Used on collectors only.
struct CustomerTable
{
    struct Entry
    {
        CustomerReport report;
        TimePoint at;
    };

    std::map<std::string, Entry, std::less<>> nodes; ///< By node id.
};

/// Records a report; an empty one removes the node.
void noteCustomers(CustomerTable &table, std::string_view nodeId, CustomerReport report,
                   TimePoint now);

/// Drops the reports that are older than `lifetime`.
void forgetOld(CustomerTable &table, Milliseconds lifetime, TimePoint now);

/// Returns the sum of all reports.
[[nodiscard]] CustomerReport totalOf(const CustomerTable &table);

} // namespace chive
