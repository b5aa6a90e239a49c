#include <LibNode/DecisionLines.h>

#include <array>
#include <cstdio>

namespace chive {

std::string decisionLine(const Call &call, const Judged<Answer> &result,
                         const DecisionInputs &inputs)
{
    const std::chrono::duration<double, std::milli> time = inputs.duration;
    std::array<char, 96> numbers{};
    std::snprintf(numbers.data(), numbers.size(), " ms=%.1f configuration=%llu pressure=%.2f",
                  time.count(), static_cast<unsigned long long>(inputs.configuration),
                  inputs.pressure);
    std::string line;
    line.reserve(300);
    line.append("event=").append(inputs.event).append(" id=").append(call.requestId);
    line.append(" kind=").append(call.kind).append(" service=").append(call.service);
    line.append(" importance=").append(nameOf(call.importance));
    line.append(call.isNested ? " nested=1" : " nested=0").append(numbers.data());
    if (!inputs.target.empty())
        line.append(" target=").append(inputs.target);
    if (result.has_value())
        return line.append(" status=").append(std::to_string(result.value().status));
    const Verdict &verdict = result.error();
    line.append(" execution=").append(nameOf(verdict.execution));
    line.append(" reason=").append(nameOf(verdict.reason));
    return line.append(" detail=\"").append(verdict.detail).append("\"");
}

void logDecision(DecisionLog &log, const Call &call, const Judged<Answer> &result,
                 const DecisionInputs &inputs)
{
    const LineWeight weight = weightOf(result);
    if (log.takes(weight))
        log.add(weight, decisionLine(call, result, inputs));
}

LineWeight weightOf(const Judged<Answer> &result)
{
    const bool isGood = result.has_value() && !isServerError(result.value().status);
    return isGood ? LineWeight::Success : LineWeight::Failure;
}

} // namespace chive
