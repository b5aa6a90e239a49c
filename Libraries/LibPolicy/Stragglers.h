#pragma once

#include <LibPolicy/Choice.h>

#include <algorithm>
#include <iterator>
#include <optional>
#include <span>
#include <vector>

/// What the load balancing policies share: targets that are much slower than the others are
/// excluded for a while and then probed by single calls.
namespace chive {

/// A candidate with the chooser's observations of it.
struct RatedTarget
{
    std::size_t index = 0; ///< Index among the candidates.
    TargetView *view = nullptr;
    bool isNear = true;
    bool isSuspect = false;
    double latency = 0.0; ///< By which stragglers are detected, in milliseconds.
};

/// The latency of a target for the detection of stragglers.
using LatencyEstimate = double (*)(const ChoiceState &state, const TargetView &view, TimePoint now);

[[nodiscard]] std::vector<RatedTarget> rateTargets(ChoiceState &state,
                                                   std::span<const Candidate> candidates,
                                                   LatencyEstimate estimate, TimePoint now);

/// Excludes slow targets and readmits those whose probe was fast again.
void updateStragglers(std::span<RatedTarget> rated, TimePoint now);

/// Whether an attempt has failed there so recently that the target is not used.
[[nodiscard]] bool hasJustFailed(const TargetView &view, TimePoint now);

/// The target to which this call is sent as a probe, if the exclusion of one has ended.
[[nodiscard]] std::optional<std::size_t>
probeStraggler(std::span<const RatedTarget> rated, const ChoiceRequest &request, TimePoint now);

/// Removes suspects, excluded targets and targets that would refuse the call, each unless no other
/// would be left.
void keepUsable(std::vector<RatedTarget> &rated, const ChoiceRequest &request, TimePoint now);

/// Keeps only the targets that match, unless none does.
template<typename Predicate>
void prefer(std::vector<RatedTarget> &rated, Predicate predicate)
{
    if (std::ranges::any_of(rated, predicate))
        std::erase_if(rated, [&](const RatedTarget &target) { return !predicate(target); });
}

} // namespace chive
