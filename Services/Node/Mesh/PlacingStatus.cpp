#include <Node/Mesh/PlacingStatus.h>

#include <LibPolicy/LeastWork.h>

#include <nlohmann/json.hpp>

#include <cmath>

namespace chive {

namespace {

double rounded(double value)
{
    return std::round(value * 100.0) / 100.0;
}

} // namespace

nlohmann::json placingOf(const ChoiceState &state, TimePoint now)
{
    nlohmann::json targets = nlohmann::json::object();
    for (const auto &[nodeId, view] : state.targets) {
        const TargetEstimate estimate = estimateTarget(state, view, {}, true, now);
        targets[nodeId] = {
                {"busy", rounded(estimate.busy)},
                {"speed", rounded(estimate.speed)},
                {"wait_ms", rounded(estimate.wait)},
                {"expected_ms", rounded(estimate.cost)},
                {"report_age_s", rounded(estimate.reportAge)},
                {"in_flight", view.shortInFlight.size() + view.longInFlight},
        };
        const std::string_view reason = reasonForLittleWork(state, view, estimate, now);
        if (!reason.empty())
            targets[nodeId]["little_because"] = reason;
    }
    return targets;
}

} // namespace chive
