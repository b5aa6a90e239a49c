#pragma once

#include <LibKernel/DecisionLog.h>
#include <LibNode/Call.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The lines of the decision log (docs/OPERATIONS.md). Every line holds the request id.
namespace chive {

/// The inputs of a decision besides the call itself.
struct DecisionInputs
{
    std::string_view event; ///< "request" at the entry node, "run" at the target's node.
    std::chrono::nanoseconds duration{0};
    std::uint64_t configuration = 0; ///< Active version; 0 if the decision did not use it.
    double pressure = 0.0;           ///< Below the service for "request", of the target for "run".
    std::string_view target;         ///< The start of the target that ran the call, if any.
    std::optional<TargetLoad> load;  ///< Of the local target, for "run".
    Milliseconds left{0};            ///< Time to the deadline when the line is written.
    std::optional<double> share;     ///< Admitted share of the call's kind, for "request".
    /// For "request" during a planned stop: when it came, counted from the beginning of the stop.
    std::optional<Milliseconds> sinceStop = {};
    std::optional<bool> isConnectionReused = {}; ///< For "request" during a planned stop.
};

[[nodiscard]] std::string decisionLine(const Call &call, const Judged<Answer> &result,
                                       const DecisionInputs &inputs);

/// Adds the line to the log if the log accepts lines of its weight.
void logDecision(DecisionLog &log, const Call &call, const Judged<Answer> &result,
                 const DecisionInputs &inputs);

/// Server errors and verdicts have a higher weight than other answers.
[[nodiscard]] LineWeight weightOf(const Judged<Answer> &result);

} // namespace chive
