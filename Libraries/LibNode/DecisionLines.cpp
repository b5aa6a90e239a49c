#include <LibNode/DecisionLines.h>

#include <array>
#include <cstdio>

namespace chive {

namespace {

std::string loadFields(const TargetLoad &load)
{
    return " running=" + std::to_string(load.inFlight) + " queued=" + std::to_string(load.queued)
           + " limit=" + std::to_string(load.limit);
}

} // namespace

std::string decisionLine(const Call &call, const Judged<Answer> &result,
                         const DecisionInputs &inputs)
{
    const std::chrono::duration<double, std::milli> time = inputs.duration;
    std::array<char, 128> numbers{};
    std::snprintf(numbers.data(), numbers.size(),
                  " ms=%.1f left=%lld configuration=%llu pressure=%.2f", time.count(),
                  static_cast<long long>(inputs.left.count()),
                  static_cast<unsigned long long>(inputs.configuration), inputs.pressure);
    std::string line;
    line.reserve(300);
    line.append("event=").append(inputs.event).append(" id=").append(call.requestId);
    line.append(" kind=").append(call.kind).append(" service=").append(call.service);
    line.append(" importance=").append(nameOf(call.importance));
    if (!call.customer.empty())
        line.append(" customer=").append(call.customer);
    line.append(call.isNested ? " nested=1" : " nested=0").append(numbers.data());
    if (inputs.share)
        line.append(" share=").append(std::to_string(*inputs.share).substr(0, 4));
    if (inputs.load)
        line.append(loadFields(*inputs.load));
    if (inputs.sinceStop)
        line.append(" since_stop=").append(std::to_string(inputs.sinceStop->count()));
    if (inputs.isConnectionReused)
        line.append(*inputs.isConnectionReused ? " connection=kept" : " connection=new");
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
