#pragma once

#include <LibKernel/DescriptorShare.h>

#include <cstddef>
#include <string_view>

namespace chive {

/// How the descriptors of a process are divided among their uses. The sum is at most the limit, so
/// that no use can take those of another.
struct DescriptorBudget
{
    std::size_t files = 0;       ///< Files, standard streams, listeners and the event loop.
    std::size_t callers = 0;     ///< Connections of callers.
    std::size_t targetCalls = 0; ///< Connections of the target beside the node to the node.
    std::size_t target = 0;      ///< Connections to the target.
    std::size_t peers = 0;       ///< Links between nodes.
    std::size_t platform = 0;    ///< Connections to the log or the store.
    std::size_t admin = 0;       ///< Readiness checks, metrics and status.
};

[[nodiscard]] DescriptorBudget divideDescriptors(std::size_t limit);

/// The descriptors that this process may have open: the limit of the operating system, or the
/// configured maximum if that is lower. 0 as the configured maximum means none.
[[nodiscard]] std::size_t descriptorLimit(std::size_t configuredMaximum);

/// The shares of one process, by use.
struct DescriptorShares
{
    explicit DescriptorShares(const DescriptorBudget &budget);

    DescriptorShare callers;
    DescriptorShare targetCalls;
    DescriptorShare target;
    DescriptorShare peers;
    DescriptorShare platform;
    DescriptorShare admin;
};

/// Calls `visit(name, share)` for each share.
template<typename Visit>
void forEachShare(const DescriptorShares &shares, Visit visit)
{
    visit(std::string_view("callers"), shares.callers);
    visit(std::string_view("target_calls"), shares.targetCalls);
    visit(std::string_view("target"), shares.target);
    visit(std::string_view("peers"), shares.peers);
    visit(std::string_view("platform"), shares.platform);
    visit(std::string_view("admin"), shares.admin);
}

} // namespace chive
