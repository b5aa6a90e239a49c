#include <LibKernel/DescriptorBudget.h>

#include <sys/resource.h>

#include <algorithm>

namespace chive {

namespace {

/// The most that uses which do not grow with the load get, and the least part of the whole that
/// they leave to the others with a low limit.
constexpr std::size_t mostFiles = 200;
constexpr std::size_t mostPlatform = 32;
constexpr std::size_t mostAdmin = 64;
constexpr std::size_t fixedDivisor = 8;

/// Parts of the rest, of `parts`.
constexpr std::size_t parts = 10;
constexpr std::size_t callerParts = 4;
constexpr std::size_t targetParts = 2;
constexpr std::size_t peerParts = 3;
constexpr std::size_t targetCallParts = 1;

} // namespace

DescriptorBudget divideDescriptors(std::size_t limit)
{
    DescriptorBudget budget;
    budget.files = std::min(mostFiles, limit / fixedDivisor);
    budget.platform = std::min(mostPlatform, limit / fixedDivisor);
    budget.admin = std::min(mostAdmin, limit / fixedDivisor);
    const std::size_t rest = limit - budget.files - budget.platform - budget.admin;
    budget.callers = rest * callerParts / parts;
    budget.target = rest * targetParts / parts;
    budget.peers = rest * peerParts / parts;
    budget.targetCalls = rest * targetCallParts / parts;
    return budget;
}

std::size_t descriptorLimit(std::size_t configuredMaximum)
{
    rlimit limit{};
    std::size_t most = configuredMaximum;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
        const auto allowed = static_cast<std::size_t>(limit.rlim_cur);
        most = most == 0 ? allowed : std::min(most, allowed);
    }
    constexpr std::size_t unlimited = 1'048'576;
    return most == 0 ? unlimited : most;
}

DescriptorShares::DescriptorShares(const DescriptorBudget &budget)
    : callers(budget.callers)
    , targetCalls(budget.targetCalls)
    , target(budget.target)
    , peers(budget.peers)
    , platform(budget.platform)
    , admin(budget.admin)
{}

} // namespace chive
