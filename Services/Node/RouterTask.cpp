#include <LibKernel/Kernel.h>
#include <LibNode/CallCodec.h>
#include <LibNode/Messages.h>
#include <LibPolicy/Choice.h>
#include <LibPolicy/Retry.h>
#include <Node/TargetChooser.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace chive {

namespace {

/// Time after the deadline that a node waits for the verdict of the target's node, which knows
/// more reliably whether the call began.
constexpr Milliseconds verdictGrace{50};

constexpr Milliseconds shedRetryAfter{500};
/// Before a call is sent again to targets that rejected it.
constexpr Milliseconds rejectedRetryDelay{15};

Verdict shedVerdict()
{
    Verdict verdict = notRun(Reason::Overloaded, "every target of the service is at its limit");
    verdict.retryAfter = shedRetryAfter;
    return verdict;
}

const ChoicePlugin &choicePlugin(std::string_view name)
{
    const ChoicePlugin *plugin = Registry<ChoicePlugin>::find(name);
    if (plugin == nullptr)
        LOG(FATAL) << "task=router error=\"no choice policy '" << name << "'\"";
    return *plugin;
}

/// Takes the larger part of the remaining allowance for an attempt. The rest permits another
/// attempt if the answer is lost, as the allowance of a lost attempt counts as fully spent.
Allowance takeAttemptAllowance(Allowance &left)
{
    const Allowance kept{left.retries - left.retries / 2, left.calls / 4};
    const Allowance taken{left.retries - kept.retries, left.calls - kept.calls};
    left = kept;
    return taken;
}

/// Routes each call to a target of its service, and retries on another target where that is safe
/// and allowed.
class RouterTask final : public Task
{
public:
    explicit RouterTask(Kernel &kernel)
        : kernel_(kernel)
        , chooser_(choicePlugin(kernel.settings().choicePolicy), kernel.settings())
        , attemptsTotal_(prometheus::BuildCounter()
                                 .Name("chiverouter_attempts_total")
                                 .Help("Attempts to run a call, by service and order.")
                                 .Register(kernel.metrics()))
    {
        Bus &bus = kernel.bus();
        bus.subscribe<RouteCall>([this](const RouteCall &message) { begin(message); });
        bus.subscribe<CancelCall>([this](const CancelCall &message) { cancel(message); });
        bus.subscribe<CallRan>(
                [this](const CallRan &ran) { handleOutcome(ran.token, ran.outcome); });
        bus.subscribe<ReceivedFromPeer>([this](const ReceivedFromPeer &frame) {
            if (frame.topic == Topic::Answer)
                handleAnswer(frame);
        });
        bus.subscribe<SendFailed>([this](const SendFailed &failed) {
            endWithVerdict(failed.token,
                           notRun(Reason::TargetUnreachable, "no link to the target's node"));
        });
        bus.subscribe<PeerLost>([this](const PeerLost &lost) { handlePeerLost(lost); });
        bus.subscribe<MembersChanged>(
                [this](const MembersChanged &changed) { chooser_.setMembers(*changed.members); });
        bus.subscribe<PressureChanged>(
                [this](const PressureChanged &changed) { chooser_.setMeshPressure(changed.mesh); });
        kernel.addInFlight("routed_calls", [this] { return routedCalls_.size(); });
        kernel.addStatus("router", [this] {
            return nlohmann::json{{"calls", routedCalls_.size()},
                                  {"attempts", attempts_.size()},
                                  {"retry_budget", chooser_.retryBudgets()},
                                  {"placing", chooser_.placing(kernel_.clock().now())}};
        });
    }

    void start() override {}

private:
    /// A call between RouteCall and CallRouted.
    struct RoutedCall
    {
        std::shared_ptr<const Call> call;
        Allowance remainingAllowance;
        Token attemptToken = 0;  ///< The attempt in progress; 0 if none.
        bool mayHaveRun = false; ///< An earlier attempt may have run.
        TargetChooser::Attempts attempts;
        Timer deadlineTimer;
        Timer retryTimer; ///< While the call waits to be sent again.
    };

    /// One attempt to run a call on one target.
    struct Attempt
    {
        Token callToken = 0;
        std::string nodeId;
        Endpoint peer;
        bool isLocal = false;
        LinkClass linkClass = LinkClass::Short;
        Allowance allowance;
        TimePoint sentAt;
    };

    void begin(const RouteCall &message)
    {
        RoutedCall routed;
        routed.call = message.call;
        routed.remainingAllowance = message.call->allowance;
        const TimePoint now = kernel_.clock().now();
        const auto left = std::chrono::ceil<Milliseconds>(message.call->deadline - now);
        const Token token = message.token;
        routed.deadlineTimer = kernel_.loop().after(std::max(left, Milliseconds(0)) + verdictGrace,
                                                    [this, token] { expire(token); });
        routedCalls_.emplace(token, std::move(routed));
        if (chooser_.shouldShed(*message.call, now)) {
            finish(token, shedVerdict());
            return;
        }
        tryNext(token, notRun(Reason::NoTarget,
                              "no live target of '" + message.call->service + "' is known"));
    }

    /// Starts the next attempt, or ends the call with `otherwise` if no target is left.
    void tryNext(Token token, const Verdict &otherwise)
    {
        RoutedCall &routed = routedCalls_.at(token);
        const Member *member
                = chooser_.choose(*routed.call, routed.attempts, kernel_.clock().now());
        if (member == nullptr) {
            finish(token, otherwise);
            return;
        }
        ++routed.attempts.count;
        routed.attempts.excluded.insert(member->nodeId);
        routed.attemptToken = nextToken();
        Attempt attempt;
        attempt.callToken = token;
        attempt.nodeId = member->nodeId;
        attempt.peer = member->links;
        attempt.isLocal = member->nodeId == kernel_.settings().nodeId;
        attempt.linkClass
                = routed.call->duration == Duration::Long ? LinkClass::Bulk : LinkClass::Short;
        attempt.allowance = takeAttemptAllowance(routed.remainingAllowance);
        attempt.sentAt = kernel_.clock().now();
        chooser_.noteSent(*routed.call, attempt.nodeId, attempt.sentAt);
        attemptsTotal_
                .Add({{"service", routed.call->service},
                      {"order", routed.attempts.count == 1 ? "first" : "retry"}})
                .Increment();
        send(routed, attempt);
        attempts_.emplace(routed.attemptToken, std::move(attempt));
    }

    void send(const RoutedCall &routed, const Attempt &attempt)
    {
        Call call = *routed.call;
        call.allowance = attempt.allowance;
        if (attempt.isLocal) {
            kernel_.bus().post(
                    RunCall{routed.attemptToken, std::make_shared<const Call>(std::move(call))});
            return;
        }
        SendToPeer frame{attempt.peer, attempt.linkClass, Topic::Call, nullptr,
                         routed.attemptToken};
        frame.payload = makeBody(encodeCall(routed.attemptToken, call, kernel_.clock().now()));
        kernel_.bus().post(std::move(frame));
    }

    void handleAnswer(const ReceivedFromPeer &frame)
    {
        const auto answer = decodeOutcome(*frame.payload);
        if (!answer.has_value()) {
            LOG_EVERY_N(WARNING, 100) << "task=router peer=" << format(frame.peer) << " error=\""
                                      << answer.error().message << '"';
            return;
        }
        handleOutcome(answer.value().token, answer.value().outcome);
    }

    /// Ends an attempt without an answer. Its allowance is returned only if the call did not run;
    /// otherwise it counts as spent.
    void endWithVerdict(Token attempt, Verdict verdict)
    {
        CallOutcome outcome;
        const auto found = attempts_.find(attempt);
        if (found != attempts_.end() && verdict.execution == Execution::NotRun)
            outcome.unspent = found->second.allowance;
        outcome.result = std::move(verdict);
        handleOutcome(attempt, outcome, LoadReport::Absent);
    }

    enum class LoadReport {
        Present,
        Absent,
    };

    void handleOutcome(Token token, const CallOutcome &outcome,
                       LoadReport report = LoadReport::Present)
    {
        const auto found = attempts_.find(token);
        if (found == attempts_.end())
            return;
        const Attempt attempt = std::move(found->second);
        attempts_.erase(found);
        RoutedCall &routed = routedCalls_.at(attempt.callToken);
        routed.attemptToken = 0;
        returnUnspent(routed.remainingAllowance, attempt.allowance, outcome.unspent);
        chooser_.noteEnded(
                *routed.call,
                {attempt.nodeId, attempt.sentAt, &outcome, report == LoadReport::Present},
                kernel_.clock().now());
        if (isRejectedByTarget(outcome.result))
            routed.attempts.rejecting.insert(attempt.nodeId);
        retryOrFinish(attempt.callToken, outcome);
    }

    void retryOrFinish(Token token, const CallOutcome &outcome)
    {
        RoutedCall &routed = routedCalls_.at(token);
        const Call &call = *routed.call;
        if (!outcome.result.has_value() && outcome.result.error().execution != Execution::NotRun)
            routed.mayHaveRun = true;
        const Verdict otherwise
                = outcome.result.has_value() ? notRun(Reason::NoTarget) : outcome.result.error();
        switch (chooser_.takeRetry(call, outcome, routed.attempts, routed.remainingAllowance,
                                   kernel_.clock().now())) {
        case TargetChooser::RetryPlan::None:
            finish(token, outcome.result, outcome.failedBelow);
            return;
        case TargetChooser::RetryPlan::OtherTarget:
            tryNext(token, otherwise);
            return;
        case TargetChooser::RetryPlan::RejectingTargets:
            retryRejectingTargets(token, otherwise);
            return;
        case TargetChooser::RetryPlan::AwaitToken:
            routed.retryTimer = kernel_.loop().after(
                    rejectedRetryDelay, [this, token, outcome] { retryOrFinish(token, outcome); });
            return;
        }
    }

    void retryRejectingTargets(Token token, const Verdict &otherwise)
    {
        RoutedCall &routed = routedCalls_.at(token);
        for (const std::string &nodeId : std::exchange(routed.attempts.rejecting, {}))
            routed.attempts.excluded.erase(nodeId);
        routed.retryTimer = kernel_.loop().after(
                rejectedRetryDelay, [this, token, otherwise] { tryNext(token, otherwise); });
    }

    void handlePeerLost(const PeerLost &lost)
    {
        std::vector<Token> affected;
        for (const auto &[token, attempt] : attempts_) {
            if (!attempt.isLocal && attempt.peer == lost.peer
                && attempt.linkClass == lost.linkClass)
                affected.push_back(token);
        }
        for (const Token token : affected)
            endWithVerdict(token,
                           mayHaveRun(Reason::LinkLost, "the link to the target's node broke"));
    }

    /// Cancels the attempt in progress. If its outcome still arrives, it is ignored.
    void abandonAttempt(RoutedCall &routed)
    {
        const auto found = attempts_.find(routed.attemptToken);
        if (found == attempts_.end())
            return;
        const Attempt attempt = std::move(found->second);
        attempts_.erase(found);
        const Token token = std::exchange(routed.attemptToken, 0);
        chooser_.noteAbandoned(*routed.call, attempt.nodeId, attempt.sentAt, kernel_.clock().now());
        if (attempt.isLocal) {
            kernel_.bus().post(CancelCall{token});
            return;
        }
        SendToPeer frame{attempt.peer, attempt.linkClass, Topic::Cancel, nullptr};
        frame.payload = makeBody(encodeCancel(token));
        kernel_.bus().post(std::move(frame));
    }

    void expire(Token token) { abandon(token, Reason::DeadlineExceeded); }

    void cancel(const CancelCall &message)
    {
        if (routedCalls_.count(message.token) != 0)
            abandon(message.token, message.reason);
    }

    void abandon(Token token, Reason reason)
    {
        RoutedCall &routed = routedCalls_.at(token);
        const bool hasAttempt = routed.attemptToken != 0;
        abandonAttempt(routed);
        finish(token, hasAttempt ? mayHaveRun(reason) : notRun(reason));
    }

    void finish(Token token, Judged<Answer> result, bool failedBelow = false)
    {
        const auto found = routedCalls_.find(token);
        const RoutedCall routed = std::move(found->second);
        routedCalls_.erase(found);
        if (!result.has_value() && routed.attempts.count > 1)
            result.error().retriedBelow = true;
        if (!result.has_value() && routed.mayHaveRun
            && result.error().execution == Execution::NotRun)
            result.error().execution = Execution::MayHaveRun;
        CallRouted message;
        message.token = token;
        message.outcome.unspent = routed.remainingAllowance;
        message.outcome.result = std::move(result);
        message.outcome.failedBelow = failedBelow;
        kernel_.bus().post(std::move(message));
    }

    Kernel &kernel_;
    TargetChooser chooser_;
    prometheus::Family<prometheus::Counter> &attemptsTotal_;
    std::map<Token, RoutedCall> routedCalls_;
    std::map<Token, Attempt> attempts_;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "router",
        [](Kernel &kernel) -> std::unique_ptr<Task> {
            return std::make_unique<RouterTask>(kernel);
        },
}};

} // namespace

} // namespace chive
