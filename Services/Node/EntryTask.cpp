#include <LibCore/Identifier.h>
#include <LibCustomers/BearerKey.h>
#include <LibCustomers/CustomerCredits.h>
#include <LibHttp/HttpServer.h>
#include <LibKernel/Kernel.h>
#include <LibNode/DecisionLines.h>
#include <LibNode/Dialect.h>
#include <LibNode/Messages.h>
#include <LibPolicy/RootAdmission.h>
#include <LibPolicy/TreeBudget.h>
#include <Node/CallMetrics.h>
#include <Node/Entry/CustomerMetrics.h>
#include <Node/Entry/EntryLimits.h>
#include <Node/Entry/QuotaGate.h>

#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>

namespace chive {

namespace {

/// One in so many of the callers' descriptors is not taken by open requests.
constexpr std::size_t reservedConnectionsDivisor = 8;
/// Requests that one connection of a caller may have in progress.
constexpr std::size_t maximumPipelined = 16;

/// Accepts the requests of callers and responds with complete answers or verdicts.
class EntryTask final : public Task
{
public:
    explicit EntryTask(Kernel &kernel)
        : kernel_(kernel)
        , metrics_(kernel.metrics())
        , customerMetrics_(kernel.metrics())
        , dialect_(dialectOf(kernel.settings()))
        , catalogue_(std::make_shared<const Catalogue>())
        , quotaGate_(kernel)
    {
        kernel.bus().subscribe<CatalogueChanged>(
                [this](const CatalogueChanged &changed) { setCatalogue(changed.catalogue); });
        kernel.bus().subscribe<NewerConfigurationKnown>(
                [this](const NewerConfigurationKnown &known) {
                    newestVersionKnown_ = known.version;
                    callerKeys_.isNewerVersionKnown = newestVersionKnown_ > catalogue_->version;
                });
        callerKeys_.isNestedCall = [this](std::string_view requestId, std::string_view kind) {
            return isNestedCall(requestId, kind);
        };
        kernel.bus().subscribe<PressureChanged>(
                [this](const PressureChanged &changed) { meshPressure_ = changed.mesh; });
        kernel.bus().subscribe<RunStarted>([this](const RunStarted &started) {
            runningCalls_.insert_or_assign(started.call->requestId, started.call);
        });
        kernel.bus().subscribe<RunEnded>(
                [this](const RunEnded &ended) { runningCalls_.erase(ended.requestId); });
        kernel.bus().subscribe<CallRouted>([this](const CallRouted &routed) { finish(routed); });
        kernel.bus().subscribe<StopRequested>(
                [this](const StopRequested &stop) { beginStop(stop.schedule); });
        kernel.bus().subscribe<DrainExpired>([this](const DrainExpired &) { giveUp(); });
        kernel.addInFlight("requests", [this] { return openRequests_.size(); });
        kernel.addInFlight("requests_awaiting_quota", [this] { return quotaGate_.waiting(); });
        kernel.addInFlight("responses", [this] { return server_ ? server_->unanswered() : 0; });
        kernel.addInFlight("requests_receiving",
                           [this] { return server_ ? server_->receiving() : 0; });
    }

    void start() override
    {
        auto server = HttpServer::listen(
                kernel_.loop(), kernel_.settings().callers, kernel_.settings().maximumBodySize,
                [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
                    handleRequest(request, exchange);
                });
        if (!server.has_value())
            LOG(FATAL) << "task=entry error=\"" << server.error().message << '"';
        server_ = std::move(server.value());
        server_->countIn(kernel_.descriptors().callers);
        server_->setMaximumPipelined(maximumPipelined);
        applyToServer();
    }

private:
    struct OpenRequest
    {
        std::shared_ptr<HttpExchange> exchange;
        std::shared_ptr<const Call> call;
        TimePoint receivedAt;
        std::size_t bytesHeld = 0;
    };

    void setCatalogue(std::shared_ptr<const Catalogue> catalogue)
    {
        catalogue_ = std::move(catalogue);
        callerKeys_.table = buildCustomerKeys(*catalogue_, callerKeys_.table);
        callerKeys_.isNewerVersionKnown = newestVersionKnown_ > catalogue_->version;
        applyToServer();
    }

    /// Whether a request without a key is one that the local target makes. A call whose parent has
    /// ended is recognized by its kind.
    [[nodiscard]] bool isNestedCall(std::string_view requestId, std::string_view kind) const
    {
        const std::string_view parent = dialect_.parentOf(requestId);
        return !parent.empty()
               && (runningCalls_.contains(parent) || meshPressure_->nestedKinds.contains(kind));
    }

    void applyToServer()
    {
        if (server_ == nullptr)
            return;
        server_->setIdleTimeout(catalogue_->idleTimeout);
        server_->setHeadTimeout(catalogue_->headTimeout);
        // Malformed keys are refused as such, and never passed on.
        server_->allowControlBytesIn(catalogue_->customers.empty() ? std::string_view()
                                                                   : keyHeader);
    }

    void handleRequest(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
    {
        const TimePoint now = kernel_.clock().now();
        auto call = dialect_.readCall(
                request, {*catalogue_, shares_, kernel_.settings().targetService, &callerKeys_},
                now);
        if (!call.has_value()) {
            refuse(*exchange, call.error(), request);
            return;
        }
        const CallOrigin origin = attachToCallTree(call.value());
        if (!quotaGate_.needsToken(call.value(), *catalogue_)) {
            admit(nextToken(), std::move(call.value()), origin, request, exchange, now);
            return;
        }
        if (const auto refusal = reasonNotToHold(call.value(), origin, request, now)) {
            refuseCall(*exchange, call.value(), *refusal, request, now);
            return;
        }
        awaitQuota(std::move(call.value()), origin, request, exchange, now);
    }

    /// Asks for a token of the customer's quota before the request counts as offered.
    void awaitQuota(Call call, CallOrigin origin, const HttpRequest &request,
                    const std::shared_ptr<HttpExchange> &exchange, TimePoint receivedAt)
    {
        const std::size_t size = bytesOf(request.body).size();
        const std::string customer = call.customer;
        const auto held = std::make_shared<Call>(std::move(call));
        const Token token = quotaGate_.ask(
                customer, size, [=, this](Token granted, const std::optional<Verdict> &refusal) {
                    if (refusal)
                        refuseCall(*exchange, *held, *refusal, request, receivedAt);
                    else
                        admit(granted, std::move(*held), origin, request, exchange, receivedAt);
                });
        exchange->onPeerGone([this, token] { quotaGate_.cancel(token); });
    }

    /// Continues with a request that has a token of its customer's quota, or needs none.
    void admit(Token token, Call call, CallOrigin origin, const HttpRequest &request,
               const std::shared_ptr<HttpExchange> &exchange, TimePoint receivedAt)
    {
        const TimePoint now = kernel_.clock().now();
        auto refusal = reasonNotToHold(call, origin, request, now);
        if (!refusal)
            refusal = reasonToShed(call);
        if (refusal) {
            quotaGate_.giveBack(call, *catalogue_, token);
            refuseCall(*exchange, call, *refusal, request, receivedAt);
            return;
        }
        if (schedule_)
            limitDeadline(*schedule_, call);
        const std::size_t size = bytesOf(request.body).size();
        bytesHeld_ += size;
        auto shared = std::make_shared<const Call>(std::move(call));
        openRequests_.emplace(token, OpenRequest{exchange, shared, receivedAt, size});
        exchange->onPeerGone([this, token] { kernel_.bus().post(CancelCall{token}); });
        kernel_.bus().post(RouteCall{token, std::move(shared)});
    }

    /// Refuses a call that this node has no time, memory or connections for.
    std::optional<Verdict> reasonNotToHold(const Call &call, CallOrigin origin,
                                           const HttpRequest &request, TimePoint now)
    {
        if (schedule_) {
            if (auto leaving = reasonToRefuse(*schedule_, origin, call, now))
                return leaving;
        }
        const std::size_t size = bytesOf(request.body).size();
        if (bytesHeld_ + quotaGate_.bytesHeld() + size > kernel_.settings().maximumBytesHeld)
            return memoryLimitVerdict();
        const std::size_t open = openRequests_.size() + quotaGate_.waiting();
        if (!call.isNested && open >= mostOpenRequests())
            return connectionLimitVerdict();
        return std::nullopt;
    }

    void refuseCall(HttpExchange &exchange, const Call &call, const Verdict &verdict,
                    const HttpRequest &request, TimePoint receivedAt)
    {
        noteDecision(call, verdict, kernel_.clock().now() - receivedAt, exchange);
        refuse(exchange, verdict, request);
    }

    /// Determines whether the call is the root of a call tree or a nested call, and the kind of its
    /// root. A nested call takes the customer of its parent, and its importance if that is higher.
    /// Only callers have keys, so a call with a customer is a root.
    CallOrigin attachToCallTree(Call &call)
    {
        const auto parent = runningCalls_.find(dialect_.parentOf(call.requestId));
        const bool hasKey = !call.customer.empty();
        const bool isParentKnown = !hasKey && parent != runningCalls_.end();
        call.isNested
                = isParentKnown || (!hasKey && meshPressure_->nestedKinds.contains(call.kind));
        if (!call.isNested)
            call.rootKind = call.kind;
        call.treeDraw = std::uniform_real_distribution<double>(0.0, 1.0)(random_);
        if (!isParentKnown)
            return CallOrigin::Caller;
        call.rootKind = parent->second->rootKind;
        call.treeDraw = parent->second->treeDraw;
        call.customer = parent->second->customer;
        call.importance = std::min(call.importance, parent->second->importance);
        return CallOrigin::RunningCall;
    }

    /// Refuses a caller's request when a service that its call tree uses is overloaded. Nested
    /// calls are never refused here.
    std::optional<Verdict> reasonToShed(const Call &call)
    {
        if (call.isNested)
            return std::nullopt;
        const double share = admittedShareOf(call);
        std::uniform_real_distribution<double> draw(0.0, 1.0);
        const bool isAdmitted
                = hasSharesOfCustomers(call)
                          ? admitCustomer(customerCredits_,
                                          {call.kind, call.service, call.customer}, share,
                                          draw(random_))
                          : admitRoot(rootAdmissionCredits_, {call.kind, call.service}, share);
        kernel_.bus().post(RootDecided{call.kind, call.service, call.importance, call.objective,
                                       isAdmitted, call.customer});
        if (isAdmitted)
            return std::nullopt;
        Verdict verdict = notRun(Reason::Overloaded,
                                 "a service that this request depends on is overloaded");
        const auto left = std::chrono::floor<Milliseconds>(call.deadline - kernel_.clock().now());
        verdict.retryAfter = meshPressure_->treeShares.contains(call.kind)
                                     ? retryAfterRejections(left, draw(random_))
                                     : retryAfterFor(share, call.objective, draw(random_));
        return verdict;
    }

    /// The share of requests of this kind and customer that is admitted, from 0 to 1.
    [[nodiscard]] double admittedShareOf(const Call &call) const
    {
        return rootShareOf(*meshPressure_, call.kind, call.customer);
    }

    [[nodiscard]] bool hasSharesOfCustomers(const Call &call) const
    {
        return !call.customer.empty() && meshPressure_->customerShares.contains(call.kind);
    }

    [[nodiscard]] double downstreamPressureOf(const Call &call) const
    {
        const auto found = meshPressure_->services.find(call.service);
        return found == meshPressure_->services.end() ? 0.0 : found->second.below;
    }

    void noteDecision(const Call &call, const Judged<Answer> &result,
                      std::chrono::nanoseconds latency, const HttpExchange &exchange)
    {
        customerMetrics_.countRequest(call, result);
        const TimePoint now = kernel_.clock().now();
        DecisionInputs inputs;
        inputs.event = "request";
        inputs.duration = latency;
        inputs.configuration = catalogue_->version;
        inputs.pressure = downstreamPressureOf(call);
        inputs.left = std::chrono::floor<Milliseconds>(call.deadline - now);
        inputs.share = admittedShareOf(call);
        if (schedule_) {
            inputs.sinceStop = std::chrono::floor<Milliseconds>(now - latency - stopRequestedAt_);
            inputs.isConnectionReused = exchange.isConnectionReused();
        }
        logDecision(kernel_.decisions(), call, result, inputs);
    }

    /// The rest of the descriptors for callers is left to callers that are refused, and to nested
    /// calls, on which open requests wait.
    [[nodiscard]] std::size_t mostOpenRequests()
    {
        const std::size_t most = kernel_.descriptors().callers.most();
        return most - most / reservedConnectionsDivisor;
    }

    void refuse(HttpExchange &exchange, const Verdict &verdict, const HttpRequest &request)
    {
        metrics_.countRefusedRequest(verdict);
        std::string requestId = dialect_.requestIdOf(request);
        if (requestId.empty() || verdict.reason == Reason::BadRequest)
            requestId = randomIdentifier();
        exchange.respond(dialect_.responseFor(verdict, requestId));
    }

    static bool hasNotRun(const Judged<Answer> &result)
    {
        return !result.has_value() && result.error().execution == Execution::NotRun;
    }

    void finish(const CallRouted &routed)
    {
        const auto found = openRequests_.find(routed.token);
        if (found == openRequests_.end())
            return;
        const OpenRequest request = std::move(found->second);
        openRequests_.erase(found);
        bytesHeld_ -= request.bytesHeld;
        const auto latency = kernel_.clock().now() - request.receivedAt;
        if (!request.call->isNested) {
            const Judged<Answer> &result = routed.outcome.result;
            const bool wasServed = result.has_value() && !isServerError(result.value().status);
            kernel_.bus().post(RootEnded{request.call->kind, latency, wasServed});
        }
        metrics_.countFinishedCall(*request.call, routed.outcome.result, latency);
        if (hasNotRun(routed.outcome.result))
            quotaGate_.giveBack(*request.call, *catalogue_, routed.token);
        noteDecision(*request.call, routed.outcome.result, latency, *request.exchange);
        request.exchange->respond(
                dialect_.responseFor(routed.outcome.result, request.call->requestId));
    }

    /// Ends the requests in flight with a verdict, as this node stops before their answers come.
    void giveUp()
    {
        for (const auto &[token, request] : openRequests_)
            kernel_.bus().post(CancelCall{token, Reason::Leaving});
    }

    /// Where callers poll readiness, connections are accepted until the process ends: callers that
    /// have not heard of the stop get an answer, and calls in flight can make the calls that they
    /// need.
    void beginStop(const DrainSchedule &schedule)
    {
        schedule_ = schedule;
        stopRequestedAt_ = kernel_.clock().now();
        server_->closeAfterResponses();
        if (!kernel_.settings().ready)
            server_->stopAccepting();
    }

    Kernel &kernel_;
    CallMetrics metrics_;
    CustomerMetrics customerMetrics_;
    const Dialect &dialect_;
    ShareCounters shares_;
    std::shared_ptr<const MeshPressure> meshPressure_ = std::make_shared<const MeshPressure>();
    std::minstd_rand random_{std::random_device{}()};
    TimePoint stopRequestedAt_;
    std::optional<DrainSchedule> schedule_; ///< Set once a planned stop has begun.
    std::shared_ptr<const Catalogue> catalogue_;
    CallerKeys callerKeys_;
    std::uint64_t newestVersionKnown_ = 0; ///< The newest configuration that peers have.
    QuotaGate quotaGate_;
    std::unique_ptr<HttpServer> server_;
    std::map<Token, OpenRequest> openRequests_;
    /// Calls that the local target is running, by request id.
    std::map<std::string, std::shared_ptr<const Call>, std::less<>> runningCalls_;
    RootAdmissionCredits rootAdmissionCredits_;
    CustomerCredits customerCredits_;
    std::size_t bytesHeld_ = 0;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "entry",
        [](Kernel &kernel) -> std::unique_ptr<Task> { return std::make_unique<EntryTask>(kernel); },
}};

} // namespace

} // namespace chive
