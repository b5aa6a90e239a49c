#include <LibPolicy/Choice.h>

/// Load balancing policies that serve as baselines in measurements of the default one.
namespace chive {

namespace {

std::optional<std::size_t> chooseInTurn(ChoiceState &state, std::span<const Candidate> candidates,
                                        const ChoiceRequest &, TimePoint)
{
    if (candidates.empty())
        return std::nullopt;
    return state.rotation++ % candidates.size();
}

/// The Request Counting Algorithm of Apache mod_proxy_balancer, with equal weights for all targets.
std::optional<std::size_t> chooseByCount(ChoiceState &state, std::span<const Candidate> candidates,
                                         const ChoiceRequest &, TimePoint)
{
    std::optional<std::size_t> chosen;
    std::int64_t largest = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        TargetView &view = state.targets[std::string(candidates[i].nodeId)];
        ++view.selectionScore;
        if (!chosen || view.selectionScore > largest) {
            chosen = i;
            largest = view.selectionScore;
        }
    }
    if (chosen) {
        TargetView &view = state.targets[std::string(candidates[*chosen].nodeId)];
        view.selectionScore -= static_cast<std::int64_t>(candidates.size());
    }
    return chosen;
}

std::optional<std::size_t> chooseLeastInFlight(ChoiceState &state,
                                               std::span<const Candidate> candidates,
                                               const ChoiceRequest &, TimePoint)
{
    std::optional<std::size_t> chosen;
    std::size_t least = 0;
    const std::size_t start = state.rotation++;
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const std::size_t i = (start + step) % candidates.size();
        const TargetView &view = state.targets[std::string(candidates[i].nodeId)];
        const std::size_t inFlight = view.shortInFlight.size() + view.longInFlight;
        if (!chosen || inFlight < least) {
            chosen = i;
            least = inFlight;
        }
    }
    return chosen;
}

const Registration<ChoicePlugin> roundRobin{{"round-robin", chooseInTurn}};
const Registration<ChoicePlugin> requestCounting{{"request-counting", chooseByCount}};
const Registration<ChoicePlugin> leastInFlight{{"least-in-flight", chooseLeastInFlight}};

} // namespace

} // namespace chive
