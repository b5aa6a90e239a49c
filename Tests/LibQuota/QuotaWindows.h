#pragma once

#include "QuotaSimulation.h"

#include <memory>
#include <string>
#include <vector>

namespace chive {

/// A lowered limit binds in windows that begin this long after the change.
inline constexpr Milliseconds binding{2'500};

/// Returns a configuration with one customer, whose burst is one second of its rate.
std::shared_ptr<const Catalogue> catalogueWith(const std::string &customer, double rate,
                                               std::uint64_t version);

/// A rate in force from a time on.
struct Limit
{
    double rate = 0.0;
    TimePoint since;
};

/// Returns the most uses in any window, relative to what is allowed in it.
double worstWindow(const std::vector<QuotaSimulation::Use> &uses, const std::vector<Limit> &limits);

} // namespace chive
