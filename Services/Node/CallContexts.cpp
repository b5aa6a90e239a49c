#include <Node/CallContexts.h>

#include <LibCore/Identifier.h>
#include <LibNode/Inbound.h>
#include <LibPolicy/Retry.h>

#include <algorithm>
#include <utility>

namespace chive {

namespace {

Verdict allowanceSpentVerdict(const char *detail)
{
    Verdict verdict = notRun(Reason::AllowanceSpent, detail);
    verdict.retriedBelow = true;
    return verdict;
}

} // namespace

std::string CallContexts::open(std::shared_ptr<const Call> call)
{
    std::string contextId = randomIdentifier();
    const Allowance remaining = call->allowance;
    contexts_.emplace(contextId, Context{std::move(call), remaining, {}, false, 0, {}, {}});
    return contextId;
}

ClosedContext CallContexts::close(std::string_view contextId)
{
    const auto found = contexts_.find(contextId);
    if (found == contexts_.end())
        return {};
    const ClosedContext end{found->second.remaining, found->second.hasNestedFailure};
    contexts_.erase(found);
    return end;
}

CallContexts::Contexts::iterator CallContexts::findContextToCharge(std::string_view contextId)
{
    const auto exact = contexts_.find(contextId);
    if (exact != contexts_.end())
        return exact;
    return std::min_element(contexts_.begin(), contexts_.end(), [](const auto &a, const auto &b) {
        return a.second.remaining.calls < b.second.remaining.calls;
    });
}

Judged<std::string> CallContexts::beginNestedCall(std::string_view contextId, Call &nested)
{
    const auto found = findContextToCharge(contextId);
    if (found == contexts_.end()) {
        nested.allowance.retries = 0;
        return std::string();
    }
    Context &context = found->second;
    const bool isFirst = context.nestedFingerprints.insert(nested.fingerprint).second;
    if (!isFirst) {
        if (context.remaining.retries == 0)
            return allowanceSpentVerdict("the retry allowance of this request is spent");
        --context.remaining.retries;
    }
    const auto reserved = reserveForChild(context.remaining);
    if (!reserved)
        return allowanceSpentVerdict("the nested call allowance of this request is spent");
    inheritFrom(*context.call, nested);
    nested.allowance = *reserved;
    return found->first;
}

void CallContexts::endNestedCall(std::string_view contextId, const Allowance &reserved,
                                 const CallOutcome &outcome)
{
    const auto found = contexts_.find(contextId);
    if (found == contexts_.end())
        return;
    chive::returnUnspent(found->second.remaining, reserved, outcome.unspent);
    const bool hasFailed
            = !outcome.result.has_value() || isServerError(outcome.result.value().status);
    if (hasFailed || outcome.failedBelow)
        found->second.hasNestedFailure = true;
}

void CallContexts::beginWait(std::string_view contextId, TimePoint now)
{
    const auto found = measuresWaits_ ? contexts_.find(contextId) : contexts_.end();
    if (found != contexts_.end() && found->second.nestedInFlight++ == 0)
        found->second.waitingSince = now;
}

void CallContexts::endWait(std::string_view contextId, TimePoint now)
{
    const auto found = measuresWaits_ ? contexts_.find(contextId) : contexts_.end();
    if (found == contexts_.end() || found->second.nestedInFlight == 0)
        return;
    if (--found->second.nestedInFlight == 0)
        found->second.waited += now - found->second.waitingSince;
}

std::chrono::nanoseconds CallContexts::waitOf(std::string_view contextId, TimePoint now) const
{
    const auto found = contexts_.find(contextId);
    if (found == contexts_.end())
        return std::chrono::nanoseconds(0);
    const Context &context = found->second;
    return context.waited
           + (context.nestedInFlight > 0 ? now - context.waitingSince
                                         : std::chrono::nanoseconds(0));
}

} // namespace chive
