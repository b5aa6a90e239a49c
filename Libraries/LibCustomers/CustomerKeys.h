#pragma once

#include <LibCatalogue/Catalogue.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace chive {

/// The customers by the digests of their keys, in one version of the configuration.
struct CustomerKeys
{
    std::uint64_t version = 0;
    std::unordered_map<std::string, std::string> customers; ///< Names by digest.
    /// Digests that were withdrawn with this version. Only a newer version may hold them again, not
    /// another record of this one.
    std::unordered_set<std::string> withdrawn;
};

/// The table of the catalogue, which replaces `previous`. If several customers have the same key,
/// it is that of the first by name, on all nodes.
[[nodiscard]] CustomerKeys buildCustomerKeys(const Catalogue &catalogue,
                                             const CustomerKeys &previous);

/// The name of the customer that has the key; empty if there is none. Refers to the table.
[[nodiscard]] std::string_view customerOf(const CustomerKeys &table, std::string_view key);

} // namespace chive
