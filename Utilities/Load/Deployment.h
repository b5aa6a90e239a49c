#pragma once

#include <LibCore/Result.h>
#include <LibKernel/EventLoop.h>
#include <Load/FakeTarget.h>
#include <Load/Processes.h>
#include <Load/Trace.h>

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace chive::load {

/// What one side of a comparison runs with.
struct DeploymentOptions
{
    std::string name; ///< "policy" or "baseline".
    std::string choice = "two-choices";
    std::string admission = "adaptive";
    std::uint32_t routerRetries = 2; ///< Of the declared kinds.
    /// Of the declared kinds. Half of the rest is lent at each hop, so that a chain of eight needs
    /// far more than eight.
    std::uint32_t nestedCalls = 1'000;
    std::uint32_t targetAttempts = 1; ///< How often a target tries each nested call itself.
};

/// The mesh as it is meant to be.
[[nodiscard]] DeploymentOptions policyDeployment();

/// No control, targets in turn, three retries at every hop.
[[nodiscard]] DeploymentOptions baselineDeployment();

/// Where a deployment runs.
struct DeploymentPlace
{
    std::filesystem::path programs;  ///< The build folder with the programs.
    std::filesystem::path directory; ///< For settings and output; made if need be.
    std::uint16_t firstPort = 25'000;
};

/// A log stand-in, one node beside each target of the trace, and the targets, as processes.
class Deployment
{
public:
    [[nodiscard]] static Result<Deployment> start(EventLoop &loop, const Trace &trace,
                                                  const DeploymentOptions &options,
                                                  const DeploymentPlace &place);

    /// Where callers may send their requests; one for each target, in the order of the trace.
    [[nodiscard]] const std::vector<Endpoint> &entries() const { return entries_; }

    /// Tells the targets that the replay begins now.
    [[nodiscard]] Result<void> beginReplay(EventLoop &loop) const;

    /// What the targets did.
    [[nodiscard]] Result<RunTotals> totals(EventLoop &loop) const;

private:
    Deployment() = default;

    std::vector<ChildProcess> processes_;
    std::vector<Endpoint> entries_;
    Endpoint control_;
};

/// Runs the targets of a trace beside nodes that were placed by Deployment::start().
[[nodiscard]] Result<void> runPlacedTargets(const Trace &trace, std::uint16_t firstPort,
                                            std::uint32_t targetAttempts);

} // namespace chive::load
