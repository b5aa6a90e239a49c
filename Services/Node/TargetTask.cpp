#include <LibHttp/HttpClient.h>
#include <LibKernel/Kernel.h>
#include <LibNode/DecisionLines.h>
#include <LibNode/Dialect.h>
#include <LibNode/Messages.h>
#include <LibPolicy/Admission.h>
#include <LibPolicy/Choice.h>
#include <LibPolicy/Retry.h>
#include <Node/CallContexts.h>
#include <Node/CrashDetector.h>
#include <Node/LocalTarget.h>
#include <Node/Target/OwnWork.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace chive {

namespace {

/// Queued calls that expire are answered within this time.
constexpr Milliseconds queueCheckInterval{5};
constexpr Milliseconds pressureInterval{50};
/// Delays the verdict on a call whose connection was lost. After a crash the other nodes must know
/// the suspected requests before a retry can reach their targets.
constexpr Milliseconds crashReportDelay{100};
/// Retry delay for a suspected request that is refused while another one runs.
constexpr Milliseconds suspectRetryAfter{500};

/// Admits calls to the local target, runs them there, and accepts the nested calls that it makes.
class TargetTask final : public Task
{
public:
    explicit TargetTask(Kernel &kernel)
        : kernel_(kernel)
        , dialect_(dialectOf(kernel.settings()))
        , admission_(Registry<AdmissionPlugin>::find(kernel.settings().admissionPolicy))
        , ownWork_(kernel.settings().choicePolicy == leastWorkName, contexts_)
        , target_(kernel, contexts_, [this] { handleTargetChanged(); })
        , crashDetector_(kernel)
        , quarantined_(std::make_shared<const std::vector<std::string>>())
        , suspects_(std::make_shared<const std::vector<std::string>>())
        , catalogue_(std::make_shared<const Catalogue>())
    {
        if (admission_ == nullptr)
            LOG(FATAL) << "task=target error=\"no admission policy '"
                       << kernel.settings().admissionPolicy << "'\"";
        Bus &bus = kernel.bus();
        bus.subscribe<RunCall>([this](const RunCall &message) { handleRunCall(message); });
        bus.subscribe<CancelCall>([this](const CancelCall &message) { cancelWork(message); });
        bus.subscribe<PermissionDecided>(
                [this](const PermissionDecided &decided) { handlePermission(decided); });
        bus.subscribe<QuarantineChanged>([this](const QuarantineChanged &changed) {
            quarantined_ = changed.fingerprints;
            suspects_ = changed.suspects;
        });
        bus.subscribe<CatalogueChanged>([this](const CatalogueChanged &changed) {
            catalogue_ = changed.catalogue;
            handleTargetChanged();
        });
        bus.subscribe<StopRequested>([this](const StopRequested &) { isStopping_ = true; });
        kernel.addInFlight("target_calls", [this] { return work_.size(); });
        kernel.addStatus("target", [this] { return report(); });
    }

    void start() override
    {
        target_.start();
        pressureTimer_ = kernel_.loop().every(pressureInterval, [this] { publishPressure(); });
    }

private:
    enum class Stage {
        AwaitingPermission,
        Queued,
        Running,
        ConnectionLost, ///< The verdict is delayed by crashReportDelay.
    };

    /// A call between RunCall and CallRan.
    struct Work
    {
        std::shared_ptr<const Call> call;
        Stage stage = Stage::Queued;
        bool isGranted = false; ///< The once task expects a GrantedCallEnded.
        std::string contextId;
        HttpClient *client = nullptr; ///< Sends the request; valid while it has any in flight.
        HttpClient::RequestId request = 0;
        TimePoint startedAt;
        Timer timer;
    };

    void handleRunCall(const RunCall &message)
    {
        auto refusal = reasonToRefuse(*message.call);
        if (!refusal)
            refusal = reasonToDefer(*message.call);
        if (refusal) {
            postOutcome(message.token, message.call->kind, *refusal,
                        {message.call->allowance, false});
            return;
        }
        Work work;
        work.call = message.call;
        work_.emplace(message.token, std::move(work));
        admit(message.token);
    }

    [[nodiscard]] std::optional<Verdict> reasonToRefuse(const Call &call) const
    {
        if (isStopping_ || target_.isDraining())
            return notRun(Reason::Leaving, "the target is draining");
        if (!target_.isPresent() || target_.service() != call.service)
            return notRun(Reason::NoTarget, "this node has no target of '" + call.service + "'");
        if (call.deadline <= kernel_.clock().now())
            return notRun(Reason::DeadlineExceeded, "the deadline passed before the call started");
        if (contains(*quarantined_, call.fingerprint))
            return quarantineVerdict();
        return std::nullopt;
    }

    static bool contains(const std::vector<std::string> &list, const std::string &fingerprint)
    {
        return std::find(list.begin(), list.end(), fingerprint) != list.end();
    }

    /// Requests that were in flight at one crash run one at a time, so that a second crash
    /// identifies the one that causes it.
    [[nodiscard]] std::optional<Verdict> reasonToDefer(const Call &call) const
    {
        if (suspects_->empty() || !contains(*suspects_, call.fingerprint))
            return std::nullopt;
        for (const auto &[token, work] : work_) {
            if (!contains(*suspects_, work.call->fingerprint))
                continue;
            Verdict verdict = notRun(Reason::Quarantined,
                                     "another request that was in flight at a crash is running");
            verdict.retryAfter = suspectRetryAfter;
            return verdict;
        }
        return std::nullopt;
    }

    static Verdict quarantineVerdict()
    {
        return notRun(Reason::Quarantined,
                      "requests identical to this one were in flight at target crashes");
    }

    void admit(Token token)
    {
        Work &work = work_.at(token);
        const Call &call = *work.call;
        const TimePoint now = kernel_.clock().now();
        const OfferDecision decision = admission_->offer(
                admissionState_,
                {call.importance, call.duration, call.deadline, call.isNested, call.kind}, token,
                now);
        for (const DroppedWork &dropped : decision.evicted)
            finish(dropped.token, dropped.verdict);
        if (decision.action == AdmissionAction::Queue)
            scheduleQueueCheck();
        else if (decision.action == AdmissionAction::Refuse)
            finish(token, decision.verdict);
        else if (decision.action == AdmissionAction::Run)
            startAdmitted(token);
    }

    /// Runs only while calls are queued, so that an idle node has no wake-ups.
    void scheduleQueueCheck()
    {
        if (queueTimer_.isActive())
            return;
        queueTimer_ = kernel_.loop().after(queueCheckInterval, [this] {
            queueTimer_.cancel();
            startQueued();
            if (!admissionState_.queue.empty())
                scheduleQueueCheck();
        });
    }

    void startQueued()
    {
        if (admissionState_.queue.empty())
            return;
        const StartDecision decision
                = admission_->startNext(admissionState_, kernel_.clock().now());
        for (const DroppedWork &dropped : decision.expired)
            finish(dropped.token, dropped.verdict);
        for (const WorkToken token : decision.started)
            startAdmitted(token);
    }

    /// Runs an admitted call, which holds a slot. An at-most-once call releases the slot while it
    /// waits for permission and is offered again afterwards, so that an outage of the log takes no
    /// slots from other calls.
    void startAdmitted(Token token)
    {
        Work &work = work_.at(token);
        if (work.call->repetition != Repetition::AtMostOnce || work.isGranted) {
            sendToTarget(token);
            return;
        }
        chive::cancel(admissionState_, token);
        work.stage = Stage::AwaitingPermission;
        const Call &call = *work.call;
        kernel_.bus().post(
                AskPermission{token, call.service, call.key, call.fingerprint, call.deadline});
    }

    void handlePermission(const PermissionDecided &decided)
    {
        const auto found = work_.find(decided.token);
        if (found == work_.end()) {
            if (decided.isGranted)
                kernel_.bus().post(GrantedCallEnded{decided.token, notRun(Reason::Cancelled)});
            return;
        }
        if (!decided.isGranted) {
            finish(decided.token, decided.otherwise);
            return;
        }
        found->second.isGranted = true;
        // A node that is stopping still runs the calls that it was granted.
        const auto refusal = reasonToRefuse(*found->second.call);
        if (refusal && refusal->reason != Reason::Leaving) {
            finish(decided.token, *refusal);
            return;
        }
        found->second.stage = Stage::Queued;
        admit(decided.token);
    }

    void sendToTarget(Token token)
    {
        Work &work = work_.at(token);
        HttpClient *client = target_.client();
        if (client == nullptr) {
            finish(token, notRun(Reason::NoTarget, "the target is no longer present"));
            return;
        }
        if (target_.isDraining()) {
            finish(token, notRun(Reason::Leaving,
                                 "the target started draining while the call was waiting"));
            return;
        }
        work.stage = Stage::Running;
        work.startedAt = kernel_.clock().now();
        work.contextId = contexts_.open(work.call);
        const auto left = std::chrono::ceil<Milliseconds>(work.call->deadline - work.startedAt);
        const HttpRequest request = dialect_.requestForTarget(
                *work.call, {work.contextId, target_.targetId()}, work.startedAt);
        ownWork_.noteStarted(token, work.call, work.contextId, work.startedAt);
        crashDetector_.noteStarted(work.call->fingerprint);
        kernel_.bus().post(RunStarted{work.call});
        work.client = client;
        work.request = client->send(
                request, std::max(left, Milliseconds(1)),
                [this, token](HttpClient::Outcome outcome) {
                    handleResponse(token, std::move(outcome));
                },
                rulesFor(dialect_, request));
        work.timer = kernel_.loop().after(left, [this, token] { expire(token); });
    }

    void handleResponse(Token token, HttpClient::Outcome outcome)
    {
        const auto found = work_.find(token);
        if (found == work_.end())
            return;
        const Work &work = found->second;
        crashDetector_.noteEnded(work.call->fingerprint);
        if (outcome.has_value()) {
            finish(token, dialect_.readAnswer(std::move(outcome.value())));
            return;
        }
        const HttpFailure &failure = outcome.error();
        switch (failure.stage) {
        case HttpFailure::Stage::NotSent:
            finish(token, notRun(target_.isDraining() ? Reason::Leaving : Reason::TargetUnreachable,
                                 failure.message));
            return;
        case HttpFailure::Stage::Sent:
            crashDetector_.noteConnectionLost(work.call->fingerprint, target_.endpoint());
            delayVerdict(token, mayHaveRun(Reason::TargetFailed, failure.message));
            return;
        case HttpFailure::Stage::Incomplete:
            finish(token, mayHaveRun(Reason::IncompleteAnswer, failure.message));
            return;
        }
    }

    void delayVerdict(Token token, const Verdict &verdict)
    {
        Work &work = work_.at(token);
        work.stage = Stage::ConnectionLost;
        work.timer = kernel_.loop().after(crashReportDelay,
                                          [this, token, verdict] { finish(token, verdict); });
    }

    void expire(Token token)
    {
        abandonRunning(token,
                       mayHaveRun(Reason::DeadlineExceeded, "the target did not answer in time"));
    }

    void cancelWork(const CancelCall &message)
    {
        const auto found = work_.find(message.token);
        if (found == work_.end())
            return;
        if (found->second.stage == Stage::Running)
            abandonRunning(message.token, mayHaveRun(message.reason));
        else if (found->second.stage == Stage::ConnectionLost)
            finish(message.token, mayHaveRun(message.reason));
        else
            finish(message.token, notRun(message.reason));
    }

    /// Ends a running call without waiting for the target. Closing the connection cancels it there.
    void abandonRunning(Token token, const Verdict &verdict)
    {
        const Work &work = work_.at(token);
        const HttpClient::RequestId request = work.request;
        HttpClient *client = work.client;
        crashDetector_.noteEnded(work.call->fingerprint);
        finish(token, verdict);
        client->cancel(request);
    }

    void finish(Token token, Judged<Answer> result)
    {
        const auto found = work_.find(token);
        if (found == work_.end())
            return;
        const Work work = std::move(found->second);
        work_.erase(found);
        releaseAdmission(token, work, result);
        if (work.startedAt != TimePoint{})
            noteRunEnded(work, result);
        noteDecision(*work.call, result, work.startedAt);
        if (work.isGranted)
            kernel_.bus().post(GrantedCallEnded{token, result});
        ClosedContext context{work.call->allowance, false};
        if (work.stage == Stage::Running || work.stage == Stage::ConnectionLost)
            context = contexts_.close(work.contextId);
        postOutcome(token, work.call->kind, std::move(result), context);
        startQueued();
    }

    void noteRunEnded(const Work &work, const Judged<Answer> &result)
    {
        const auto &bound = kernel_.settings().retryBound;
        if (bound && bound->planning == RetryPlanning::Trees) {
            CallCount &count = callsByRootKind_[work.call->rootKind];
            count.calls += 1.0;
            count.rejected += isRejectedByTarget(result) ? 1.0 : 0.0;
        }
        const std::chrono::duration<double> ran = kernel_.clock().now() - work.startedAt;
        slotSecondsByRootKind_[work.call->rootKind] += ran.count();
        kernel_.bus().post(RunEnded{work.call->requestId});
    }

    void noteDecision(const Call &call, const Judged<Answer> &result, TimePoint startedAt)
    {
        const TimePoint now = kernel_.clock().now();
        const bool hasStarted = startedAt != TimePoint{};
        const TargetLoad load = loadOf(admissionState_, now);
        logDecision(kernel_.decisions(), call, result,
                    {"run", hasStarted ? now - startedAt : Milliseconds(0), catalogue_->version,
                     pressureOf(load), target_.targetId(), load,
                     std::chrono::floor<Milliseconds>(call.deadline - now), std::nullopt});
    }

    static double pressureOf(const TargetLoad &load)
    {
        return static_cast<double>(load.inFlight + load.queued) / std::max(load.limit, 1U);
    }

    void releaseAdmission(Token token, const Work &work, const Judged<Answer> &result)
    {
        if (work.stage != Stage::Running || !result.has_value()) {
            chive::cancel(admissionState_, token);
            ownWork_.noteEnded(token, OwnWork::EndedRun::NotServed, kernel_.clock().now());
            return;
        }
        const TimePoint now = kernel_.clock().now();
        WorkOutcome end;
        end.latency = std::chrono::duration_cast<Microseconds>(now - work.startedAt);
        constexpr int serviceUnavailable = 503;
        end.wasOverloaded = result.value().status == serviceUnavailable;
        end.hasFailed = isServerError(result.value().status);
        end.kind = work.call->kind;
        end.importance = work.call->importance;
        finished(admissionState_, token, end, now);
        ownWork_.noteEnded(token,
                           end.hasFailed ? OwnWork::EndedRun::NotServed : OwnWork::EndedRun::Served,
                           now);
    }

    void postOutcome(Token token, std::string_view kind, Judged<Answer> result,
                     const ClosedContext &context)
    {
        CallRan ran;
        ran.token = token;
        ran.outcome.result = std::move(result);
        ran.outcome.unspent = context.unspent;
        ran.outcome.failedBelow = context.hasNestedFailure;
        const TimePoint now = kernel_.clock().now();
        ran.outcome.load = loadOf(admissionState_, now);
        ran.outcome.load.work = ownWork_.report(admissionState_, kind, now);
        kernel_.bus().post(std::move(ran));
    }

    void handleTargetChanged()
    {
        AdmissionSettings settings;
        settings.slots = std::max<std::uint32_t>(target_.slots(), 1);
        const Service *service = findService(*catalogue_, target_.service());
        if (service != nullptr)
            settings.longSharePercent = service->longShare;
        resize(admissionState_, settings);
    }

    void publishPressure()
    {
        const TargetLoad load = loadOf(admissionState_, kernel_.clock().now());
        const bool isUsable = target_.isPresent() && !target_.isDraining() && !isStopping_;
        const std::chrono::duration<double> wait = queueWait(admissionState_);
        kernel_.bus().post(TargetPressure{isUsable ? target_.service() : std::string(),
                                          pressureOf(load), static_cast<double>(load.limit),
                                          wait.count(), std::exchange(slotSecondsByRootKind_, {}),
                                          std::exchange(callsByRootKind_, {})});
    }

    [[nodiscard]] nlohmann::json report() const
    {
        const TargetLoad load = loadOf(admissionState_, kernel_.clock().now());
        return {
                {"service", target_.service()},
                {"present", target_.isPresent()},
                {"draining", isStopping_ || target_.isDraining()},
                {"slots", target_.slots()},
                {"limit", load.limit},
                {"in_flight", load.inFlight},
                {"queued", load.queued},
                {"admitted", nameOf(static_cast<Importance>(load.admitted))},
        };
    }

    Kernel &kernel_;
    const Dialect &dialect_;
    const AdmissionPlugin *admission_ = nullptr;
    CallContexts contexts_;
    OwnWork ownWork_;
    LocalTarget target_;
    CrashDetector crashDetector_;
    std::shared_ptr<const std::vector<std::string>> quarantined_;
    std::shared_ptr<const std::vector<std::string>> suspects_;
    std::shared_ptr<const Catalogue> catalogue_;
    AdmissionState admissionState_ = makeAdmissionState({});
    std::map<Token, Work> work_;
    std::map<std::string, double> slotSecondsByRootKind_; ///< Reported in TargetPressure::work.
    std::map<std::string, CallCount, std::less<>> callsByRootKind_; ///< TargetPressure::calls.
    Timer queueTimer_;
    Timer pressureTimer_;
    bool isStopping_ = false;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "target",
        [](Kernel &kernel) -> std::unique_ptr<Task> {
            return std::make_unique<TargetTask>(kernel);
        },
}};

} // namespace

} // namespace chive
