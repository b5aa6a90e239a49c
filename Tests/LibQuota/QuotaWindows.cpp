#include "QuotaWindows.h"

#include <algorithm>

namespace chive {

namespace {

constexpr Milliseconds window{5'000};

double allowedBy(double rate)
{
    return (rate * 5.0 + rate) * 1.1 + 20.0;
}

/// Returns the limit for a window, the highest among those that may still apply in it.
double allowedIn(const std::vector<Limit> &limits, TimePoint from)
{
    double allowed = 0.0;
    for (std::size_t i = 0; i < limits.size(); ++i) {
        const bool hasBegun = limits[i].since <= from + window;
        const bool hasEnded = i + 1 < limits.size() && limits[i + 1].since + binding <= from;
        if (hasBegun && !hasEnded)
            allowed = std::max(allowed, allowedBy(limits[i].rate));
    }
    return allowed;
}

} // namespace

double worstWindow(const std::vector<QuotaSimulation::Use> &uses, const std::vector<Limit> &limits)
{
    std::vector<TimePoint> times;
    for (const auto &use : uses) {
        if (use.hasRun)
            times.push_back(use.at);
    }
    double worst = 0.0;
    std::size_t end = 0;
    for (std::size_t begin = 0; begin < times.size(); ++begin) {
        while (end < times.size() && times[end] <= times[begin] + window)
            ++end;
        const auto count = static_cast<double>(end - begin);
        worst = std::max(worst, count / allowedIn(limits, times[begin]));
    }
    return worst;
}

std::shared_ptr<const Catalogue> catalogueWith(const std::string &customer, double rate,
                                               std::uint64_t version)
{
    auto catalogue = std::make_shared<Catalogue>();
    catalogue->version = version;
    catalogue->customers[customer] = {customer, {}, std::nullopt, {rate, rate}};
    return catalogue;
}

} // namespace chive
