#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chive {

/// Decisions on the requests of customers. The number of customers counted is bounded: when it is
/// reached, a new one takes the place of the smallest and its total (Space-Saving; Metwally,
/// Agrawal, El Abbadi, ICDT 2005), so that large customers are never missed.
class QuotaCounts
{
public:
    struct Count
    {
        std::uint64_t total = 0; ///< At most too high by that of a smaller customer.
        std::uint64_t granted = 0;
        std::uint64_t refused = 0;
    };

    void note(std::string_view customer, bool isGranted);

    /// The largest customers, the largest first.
    [[nodiscard]] std::vector<std::pair<std::string, Count>> largest(std::size_t most) const;

    /// Returns the customer's name for metrics, or `others` unless it is among the first 16 that
    /// had a noticeable share of all decisions. Once a customer has a label it keeps it.
    [[nodiscard]] std::string_view labelOf(std::string_view customer);

private:
    std::map<std::string, Count, std::less<>> counts_;
    std::uint64_t all_ = 0;
    std::set<std::string, std::less<>> labels_;
};

} // namespace chive
