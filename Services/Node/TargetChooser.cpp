#include <Node/TargetChooser.h>

#include <Node/Mesh/PlacingStatus.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace chive {

namespace {

/// Attempts for one call. A target that refuses the call costs little but time.
constexpr std::size_t maximumAttempts = 4;
/// Attempts for one call that targets reject without running it. Giving it up would waste what has
/// run above it in its tree.
constexpr std::size_t maximumRejectedAttempts = 8;
/// The same where roots are limited to the trees that retries can complete.
constexpr std::size_t maximumRejectedAttemptsInTrees = 12;
/// A call that has less time left does not wait for a token to be sent again.
constexpr Milliseconds minimumTimeForRetry{40};
/// Estimated number of nested calls that a repeated call repeats towards each downstream service.
constexpr double repeatedCallsPerService = 5.0;

/// Whether a target refused the call, without running it, for lack of slots or time.
bool isRefusedForOverload(const Judged<Answer> &result)
{
    if (result.has_value() || result.error().execution != Execution::NotRun)
        return false;
    const Reason reason = result.error().reason;
    return reason == Reason::Overloaded || reason == Reason::DeadlineExceeded;
}

/// Whether the target or the connection to it failed, as opposed to a call that took too long.
bool isTargetFailure(const Judged<Answer> &result)
{
    if (result.has_value())
        return false;
    switch (result.error().reason) {
    case Reason::TargetUnreachable:
    case Reason::TargetFailed:
    case Reason::IncompleteAnswer:
    case Reason::LinkLost:
    case Reason::NoTarget:
        return true;
    default:
        return false;
    }
}

} // namespace

TargetChooser::TargetChooser(const ChoicePlugin &plugin, const Settings &settings)
    : plugin_(plugin)
    , dataCentre_(settings.dataCentre)
    , retryBound_(settings.retryBound)
{}

void TargetChooser::setMembers(const std::vector<Member> &members)
{
    members_ = members;
    if (retryBound_) {
        retryLimits_ = sharedLimits(retryBound_->ratio, retryBound_->constant, retryBound_->window,
                                    members.size(), retryBound_->planning);
        for (auto &[name, service] : services_)
            service.budget.limits = *retryLimits_;
    }
    for (auto &[name, service] : services_)
        retainTargets(service.choice, candidatesOf(usableMembersOf(name, {})));
}

TargetChooser::ServiceState &TargetChooser::stateOf(const std::string &service)
{
    const auto [found, isNew] = services_.try_emplace(service);
    if (isNew && retryBound_)
        found->second.budget = sharedBudget({});
    return found->second;
}

bool TargetChooser::shouldShed(const Call &call, TimePoint now)
{
    // Refusing a nested call wastes the work already done for the rest of its tree.
    if (call.isNested)
        return false;
    ServiceState &service = stateOf(call.service);
    const auto candidates = candidatesOf(usableMembersOf(call.service, {}));
    return shouldShedAtEntry(service.shed, service.choice, candidates, call.importance, now);
}

const Member *TargetChooser::choose(const Call &call, const Attempts &attempts, TimePoint now)
{
    ServiceState &service = stateOf(call.service);
    if (retryLimits_)
        service.budget.limits = *retryLimits_;
    service.budget.isShifted = meshPressure_->rejectedShares.contains(call.service);
    if (attempts.count == 0)
        noteFirstAttempt(service.budget, now);
    const auto members = usableMembersOf(call.service, attempts.excluded);
    const auto index = plugin_.choose(service.choice, candidatesOf(members),
                                      {call.importance, call.duration, call.kind}, now);
    return index ? members.at(*index) : nullptr;
}

void TargetChooser::noteSent(const Call &call, const std::string &nodeId, TimePoint now)
{
    chive::noteSent(stateOf(call.service).choice, nodeId, call.duration, now);
}

void TargetChooser::noteEnded(const Call &call, const EndedAttempt &ended, TimePoint now)
{
    ServiceState &service = stateOf(call.service);
    const Judged<Answer> &result = ended.outcome->result;
    ObservedOutcome end{
            ended.sentAt, call.duration, result.has_value(), isTargetFailure(result), {}};
    if (ended.hasLoadReport)
        end.load = ended.outcome->load;
    end.kind = call.kind;
    chive::noteEnded(service.choice, ended.nodeId, end, now);
    if (!isRefusedForOverload(result))
        noteAccepted(service.shed, call.importance, now);
}

void TargetChooser::noteAbandoned(const Call &call, const std::string &nodeId, TimePoint sentAt,
                                  TimePoint now)
{
    const ObservedOutcome end{sentAt, call.duration, false, false, {}};
    chive::noteEnded(stateOf(call.service).choice, nodeId, end, now);
}

TargetChooser::RetryPlan TargetChooser::takeRetry(const Call &call, const CallOutcome &outcome,
                                                  const Attempts &attempts, Allowance &left,
                                                  TimePoint now)
{
    const bool isRejected = isRejectedByTarget(outcome.result);
    const bool plansTrees = retryBound_ && retryBound_->planning == RetryPlanning::Trees;
    const std::size_t rejectedAttempts
            = plansTrees ? maximumRejectedAttemptsInTrees : maximumRejectedAttempts;
    if (attempts.count >= (isRejected ? rejectedAttempts : maximumAttempts))
        return RetryPlan::None;
    const bool mayHaveRun
            = outcome.result.has_value() || outcome.result.error().execution != Execution::NotRun;
    const auto nested = mayHaveRun ? downstreamBudgets(call) : std::vector<RetryBudget *>();
    const bool allowsNestedRepeats = std::ranges::all_of(nested, [&](RetryBudget *budget) {
        return hasTokens(*budget, repeatedCallsPerService, now);
    });
    if (!allowsNestedRepeats)
        return RetryPlan::None;
    auto others = usableMembersOf(call.service, attempts.excluded);
    auto rejecting = usableMembersOf(call.service, {});
    std::erase_if(rejecting, [&](const Member *member) {
        return !attempts.rejecting.contains(member->nodeId);
    });
    RetryPlan plan = RetryPlan::None;
    if (takeRetryAt(std::move(others), RetryPlan::OtherTarget, call, outcome, left, now))
        plan = RetryPlan::OtherTarget;
    else if (isRejected
             && takeRetryAt(std::move(rejecting), RetryPlan::RejectingTargets, call, outcome, left,
                            now))
        plan = RetryPlan::RejectingTargets;
    else if (isRejected && mayAwaitToken(call, now))
        return RetryPlan::AwaitToken;
    if (plan != RetryPlan::None) {
        for (RetryBudget *budget : nested)
            takeTokens(*budget, repeatedCallsPerService);
    }
    return plan;
}

bool TargetChooser::mayAwaitToken(const Call &call, TimePoint now)
{
    return call.isNested && meshPressure_->rejectedShares.contains(call.service)
           && now + minimumTimeForRetry < call.deadline
           && lacksTokens(call, stateOf(call.service).budget, now);
}

bool TargetChooser::takeRetryAt(std::vector<const Member *> targets, RetryPlan plan,
                                const Call &call, const CallOutcome &outcome, Allowance &left,
                                TimePoint now)
{
    ServiceState &service = stateOf(call.service);
    // Under overload the budget must not be spent on calls that the next target would refuse too.
    if (isRefusedForOverload(outcome.result)) {
        std::erase_if(targets, [&](const Member *member) {
            const auto view = service.choice.targets.find(member->nodeId);
            return view != service.choice.targets.end()
                   && !wouldAdmit(view->second, call.importance, now);
        });
    }
    AttemptOutcome end;
    end.result = &outcome.result;
    end.failedBelow = outcome.failedBelow;
    end.hasOtherTarget = !targets.empty();
    end.isAtRejectingTarget = plan == RetryPlan::RejectingTargets;
    std::optional<Microseconds> shortest;
    for (const Member *member : targets) {
        const Microseconds latency = expectedLatency(service.choice, member->nodeId);
        shortest = std::min(latency, shortest.value_or(latency));
    }
    end.expectedLatency = shortest.value_or(Microseconds(0));
    return chive::takeRetry(call, end, left, service.budget, now);
}

std::vector<RetryBudget *> TargetChooser::downstreamBudgets(const Call &call)
{
    std::vector<RetryBudget *> budgets;
    const auto found = meshPressure_->services.find(call.service);
    if (!retryBound_ || found == meshPressure_->services.end())
        return budgets;
    for (const std::string &service : found->second.servicesBelow)
        budgets.push_back(&stateOf(service).budget);
    return budgets;
}

std::map<std::string, double> TargetChooser::retryBudgets() const
{
    std::map<std::string, double> budgets;
    for (const auto &[service, state] : services_)
        budgets.emplace(service, state.budget.tokens);
    return budgets;
}

nlohmann::json TargetChooser::placing(TimePoint now) const
{
    nlohmann::json services = nlohmann::json::object();
    if (plugin_.name != leastWorkName)
        return services;
    for (const auto &[service, state] : services_)
        services[service] = placingOf(state.choice, now);
    return services;
}

std::vector<const Member *> TargetChooser::usableMembersOf(const std::string &service,
                                                           const std::set<std::string> &tried) const
{
    std::vector<const Member *> found;
    for (const Member &member : members_) {
        const bool isUsable
                = member.state == MemberState::Alive || member.state == MemberState::Suspect;
        if (isUsable && member.service == service && tried.count(member.nodeId) == 0)
            found.push_back(&member);
    }
    return found;
}

std::vector<Candidate> TargetChooser::candidatesOf(const std::vector<const Member *> &members) const
{
    std::vector<Candidate> candidates;
    candidates.reserve(members.size());
    for (const Member *member : members) {
        candidates.push_back({member->nodeId, member->dataCentre == dataCentre_,
                              member->state == MemberState::Suspect});
    }
    return candidates;
}

} // namespace chive
