#include <Node/CallContexts.h>

#include <LibCore/Identifier.h>
#include <LibNode/Inbound.h>
#include <LibPolicy/Retry.h>

#include <algorithm>
#include <utility>

namespace chive {

namespace {

Verdict spentVerdict(const char *detail)
{
    Verdict verdict = notRun(Reason::AllowanceSpent, detail);
    verdict.retriedBelow = true;
    return verdict;
}

} // namespace

std::string CallContexts::open(std::shared_ptr<const Call> call)
{
    std::string name = randomIdentifier();
    const Allowance left = call->allowance;
    contexts_.emplace(name, Context{std::move(call), left, {}, false});
    return name;
}

ContextEnd CallContexts::close(std::string_view name)
{
    const auto found = contexts_.find(name);
    if (found == contexts_.end())
        return {};
    const ContextEnd end{found->second.left, found->second.failedBelow};
    contexts_.erase(found);
    return end;
}

CallContexts::Contexts::iterator CallContexts::find(std::string_view name)
{
    const auto exact = contexts_.find(name);
    if (exact != contexts_.end())
        return exact;
    return std::min_element(contexts_.begin(), contexts_.end(), [](const auto &a, const auto &b) {
        return a.second.left.calls < b.second.left.calls;
    });
}

Judged<std::string> CallContexts::lend(std::string_view name, Call &nested)
{
    const auto found = find(name);
    if (found == contexts_.end()) {
        nested.allowance.retries = 0;
        return std::string();
    }
    Context &context = found->second;
    const bool isFirst = context.nestedFingerprints.insert(nested.fingerprint).second;
    if (!isFirst) {
        if (context.left.retries == 0)
            return spentVerdict("no retries are left for this request");
        --context.left.retries;
    }
    const auto lent = reserveForChild(context.left);
    if (!lent)
        return spentVerdict("no nested calls are left for this request");
    inheritFrom(*context.call, nested);
    nested.allowance = *lent;
    return found->first;
}

void CallContexts::giveBack(std::string_view name, const Allowance &lent,
                            const CallOutcome &outcome)
{
    const auto found = contexts_.find(name);
    if (found == contexts_.end())
        return;
    chive::returnUnspent(found->second.left, lent, outcome.unspent);
    const bool hasFailed
            = !outcome.result.has_value() || isServerError(outcome.result.value().status);
    if (hasFailed || outcome.failedBelow)
        found->second.failedBelow = true;
}

} // namespace chive
