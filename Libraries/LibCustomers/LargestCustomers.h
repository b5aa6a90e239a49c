#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chive {

/// Finds the customers with the most recent requests, in memory of constant size however many
/// customers there are (the Space-Saving algorithm).
class LargestCustomers
{
public:
    static constexpr std::size_t mostNamed = 16;

    struct Placing
    {
        bool isNamed = false;              ///< The customer is one of the largest.
        std::optional<std::string> ousted; ///< The customer that it replaces among them.
    };

    /// Counts a request of the customer.
    Placing add(std::string_view customer);

private:
    struct Counter
    {
        std::uint64_t count = 0;
        bool isNamed = false;
    };
    using Counters = std::map<std::string, Counter, std::less<>>;

    Counters::iterator countRequest(std::string_view customer);
    Counters::iterator smallest(bool isNamed);
    void halveIfDue();

    Counters counters_;
    std::size_t named_ = 0;
    std::uint64_t sinceHalving_ = 0;
};

} // namespace chive
