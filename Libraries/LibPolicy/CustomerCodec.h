#pragma once

#include <LibCustomers/CustomerDemand.h>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>

/// The parts of reports and summaries that concern customers. They are appended to the array of a
/// message, and only if there is something to tell.
namespace chive {

void appendOffered(nlohmann::json &parts, const CustomerReport &report);

/// Reads the part from the elements of the array from `first` on; empty if it is not there. Throws
/// nlohmann::json::exception for a malformed part.
[[nodiscard]] CustomerReport readOffered(const nlohmann::json &parts, std::size_t first);

void appendShares(nlohmann::json &parts, const CustomerAmounts &shares);

/// As readOffered().
[[nodiscard]] CustomerAmounts readShares(const nlohmann::json &parts, std::size_t first);

} // namespace chive
