#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace chive {

/// Admits the share of each kind, service and customer at one node, evenly spread over the requests
/// of the customer and over those of all customers, as RootAdmissionCredits does without customers.
/// The latter keeps the load even where each customer has few requests. The table has a fixed size
/// and is allocated with the first share below 1; with more customers than it holds, those that
/// were not seen for longest are replaced.
struct CustomerCredits
{
    struct Entry
    {
        std::uint64_t key = 0;
        float credit = 0.0F; ///< Accumulated credit in requests; admitting one costs 1.
        std::uint32_t usedAt = 0;
    };

    static constexpr std::size_t entryCount = 65'536; ///< 1 MiB; 10,000 customers of six kinds.

    std::vector<Entry> entries;
    std::uint32_t decisions = 0;
};

/// The requests among which a share is spread.
struct CustomerCreditKey
{
    std::string_view kind;
    std::string_view service;
    std::string_view customer;
};

/// Whether to admit the request at this share, 0 to 1. `draw` is a random number from 0 to 1: the
/// credit that a customer starts with. Without it the first requests of a customer at each node
/// would always be refused.
[[nodiscard]] bool admitCustomer(CustomerCredits &credits, const CustomerCreditKey &key,
                                 double share, double draw);

} // namespace chive
