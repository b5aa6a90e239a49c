#pragma once

#include <LibKernel/DecisionLog.h>
#include <LibNode/Call.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The lines of the decision log (docs/OPERATIONS.md). Every line names the request's id.
namespace chive {

/// What an event's inputs were besides the call itself.
struct DecisionInputs
{
    std::string_view event; ///< "request" at the entry node, "run" beside the target.
    std::chrono::nanoseconds duration{0};
    std::uint64_t configuration = 0; ///< Version in force; 0 where it decided nothing.
    double pressure = 0.0;           ///< Below the service at the entry, of the target beside it.
    std::string_view target;         ///< The start of the target that ran it, where there was one.
    std::optional<TargetLoad> load;  ///< Of the target beside the node, for "run".
    Milliseconds left{0};            ///< To the deadline, when the line is written.
    std::optional<double> share;     ///< Of its kind that is taken on, for "request".
};

[[nodiscard]] std::string decisionLine(const Call &call, const Judged<Answer> &result,
                                       const DecisionInputs &inputs);

/// Adds the line to the log if the log takes one of its weight.
void logDecision(DecisionLog &log, const Call &call, const Judged<Answer> &result,
                 const DecisionInputs &inputs);

/// Server errors and verdicts weigh more than answers.
[[nodiscard]] LineWeight weightOf(const Judged<Answer> &result);

} // namespace chive
