#include <Node/LocalTarget.h>

#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>
#include <LibKernel/Kernel.h>
#include <LibNode/Inbound.h>
#include <Node/CallContexts.h>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace chive {

namespace {

constexpr Milliseconds leaseCheckInterval{250};

HttpResponse acknowledgement()
{
    return {200, {{"Content-Type", "application/json"}}, makeBody("{}")};
}

} // namespace

LocalTarget::LocalTarget(Kernel &kernel, CallContexts &contexts, std::function<void()> onChanged)
    : kernel_(kernel)
    , contexts_(contexts)
    , onChanged_(std::move(onChanged))
    , dialect_(dialectOf(kernel.settings()))
    , catalogue_(std::make_shared<const Catalogue>())
    , rules_{kernel.settings().targetLease, dialect_.confirmsServing != nullptr}
    , check_(kernel, [this] { handleConfirmed(); })
{
    kernel.bus().subscribe<CatalogueChanged>(
            [this](const CatalogueChanged &message) { catalogue_ = message.catalogue; });
    kernel.bus().subscribe<CallRouted>(
            [this](const CallRouted &routed) { finishNestedCall(routed); });
    kernel.bus().subscribe<StopRequested>(
            [this](const StopRequested &stop) { schedule_ = stop.schedule; });
    kernel.bus().subscribe<DrainExpired>([this](const DrainExpired &) {
        for (const auto &[token, nested] : nestedCalls_)
            kernel_.bus().post(CancelCall{token, Reason::Leaving});
    });
    kernel.addInFlight("nested_calls", [this] { return nestedCalls_.size(); });
    kernel.addInFlight("nested_call_responses",
                       [this] { return server_ ? server_->unanswered() : 0; });
    kernel.addInFlight("nested_calls_receiving",
                       [this] { return server_ ? server_->receiving() : 0; });
}

LocalTarget::~LocalTarget() = default;

void LocalTarget::start()
{
    auto server = HttpServer::listen(
            kernel_.loop(), kernel_.settings().targetCalls, kernel_.settings().maximumBodySize,
            [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
                handleRequest(request, exchange);
            });
    if (!server.has_value())
        LOG(FATAL) << "task=target error=\"" << server.error().message << '"';
    server_ = std::move(server.value());
    server_->countIn(kernel_.descriptors().targetCalls);
    leaseTimer_ = kernel_.loop().every(leaseCheckInterval, [this] { checkLease(); });
}

void LocalTarget::handleRequest(const HttpRequest &request,
                                const std::shared_ptr<HttpExchange> &exchange)
{
    if (dialect_.isAnnouncement(request))
        exchange->respond(handleAnnouncement(request));
    else
        routeNestedCall(request, exchange);
}

HttpResponse LocalTarget::handleAnnouncement(const HttpRequest &request)
{
    const auto read = dialect_.readAnnouncement(request);
    if (!read.has_value()) {
        LOG_EVERY_N(WARNING, 10) << "task=target event=announcement-refused error=\""
                                 << read.error().message << '"';
        return {400, {}, makeBody(read.error().message)};
    }
    const Announcement &announcement = read.value();
    if (announcement.isDeparture) {
        depart(announcement.targetId);
        return acknowledgement();
    }
    if (isOwnTarget(announcement))
        return accept(announcement);
    LOG_EVERY_N(WARNING, 10) << "task=target event=announcement-refused id="
                             << announcement.targetId << " service=" << announcement.service
                             << " endpoint=" << format(announcement.endpoint)
                             << " error=\"not the target of this node\"";
    return {400, {}, makeBody("not the target of this node")};
}

bool LocalTarget::isOwnTarget(const Announcement &announcement) const
{
    const Settings &settings = kernel_.settings();
    const bool isService
            = settings.targetService.empty() || announcement.service == settings.targetService;
    return isService && (!settings.target || announcement.endpoint == *settings.target);
}

HttpResponse LocalTarget::accept(const Announcement &announcement)
{
    const AnnouncementEffect effect
            = applyAnnouncement(record_, announcement, rules_, kernel_.clock().now());
    if (effect == AnnouncementEffect::None || effect == AnnouncementEffect::Rejected)
        logIgnored(announcement);
    handleEffect(effect);
    if (effect == AnnouncementEffect::Rejected)
        return {409, {}, makeBody("a later start of the target is known")};
    return acknowledgement();
}

void LocalTarget::handleEffect(AnnouncementEffect effect)
{
    switch (effect) {
    case AnnouncementEffect::None:
    case AnnouncementEffect::Rejected:
    case AnnouncementEffect::Refreshed:
        return;
    case AnnouncementEffect::Awaiting:
        check_.ask(record_.candidate->announcement);
        return;
    case AnnouncementEffect::Begun:
        stopNeedlessCheck();
        startClient();
        break;
    case AnnouncementEffect::Changed:
        break;
    }
    logHeld();
    publishChange();
}

void LocalTarget::handleConfirmed()
{
    if (!record_.candidate)
        return;
    confirmCandidate(record_);
    handleEffect(AnnouncementEffect::Begun);
}

void LocalTarget::stopNeedlessCheck()
{
    if (!record_.candidate)
        check_.stop();
}

void LocalTarget::depart(const std::string &targetId)
{
    const bool isHeld = applyDeparture(record_, targetId);
    LOG(INFO) << "task=target event=departure id=" << targetId << " held=" << isHeld
              << " in_flight=" << (client_ == nullptr ? 0 : client_->inFlight())
              << " unsent=" << (client_ == nullptr ? 0 : client_->unsent());
    stopNeedlessCheck();
    if (isHeld && isPresent())
        publishChange();
}

void LocalTarget::logHeld() const
{
    LOG(INFO) << "task=target event=announced id=" << held().targetId
              << " service=" << held().service << " endpoint=" << format(held().endpoint)
              << " slots=" << held().slots << " draining=" << held().isDraining
              << " started_at=" << held().startedAt << " sequence=" << held().sequence;
}

void LocalTarget::logIgnored(const Announcement &announcement) const
{
    LOG_EVERY_N(INFO, 10) << "task=target event=stale-announcement id=" << announcement.targetId
                          << " draining=" << announcement.isDraining
                          << " started_at=" << announcement.startedAt
                          << " sequence=" << announcement.sequence
                          << " held_started_at=" << held().startedAt
                          << " held_sequence=" << held().sequence;
}

const Announcement &LocalTarget::held() const
{
    static const Announcement none;
    return record_.held ? *record_.held : none;
}

void LocalTarget::startClient()
{
    if (client_ != nullptr && client_->inFlight() > 0)
        retiredClients_.push_back(std::move(client_));
    client_ = std::make_unique<HttpClient>(kernel_.loop(), held().endpoint,
                                           maximumResponseBodySize(kernel_.settings()));
    client_->countIn(kernel_.descriptors().target);
    client_->limitBytesHeld(maximumResponseBytesHeld(kernel_.settings()));
}

void LocalTarget::publishChange()
{
    if (held().isDraining)
        client_->failUnsent("the target is leaving");
    kernel_.bus().post(
            LocalTargetChanged{held().service, held().endpoint, held().slots, held().isDraining});
    onChanged_();
}

void LocalTarget::checkLease()
{
    std::erase_if(retiredClients_, [](const auto &client) { return client->inFlight() == 0; });
    const bool hasInFlight = client_ != nullptr && client_->inFlight() > 0;
    const bool hasEnded = endLeases(record_, rules_, kernel_.clock().now(), hasInFlight);
    stopNeedlessCheck();
    if (!hasEnded)
        return;
    LOG(WARNING) << "task=target event=lease-expired id=" << held().targetId
                 << " service=" << held().service << " draining=" << held().isDraining;
    client_.reset();
    kernel_.bus().post(LocalTargetChanged{});
    onChanged_();
}

void LocalTarget::routeNestedCall(const HttpRequest &request,
                                  const std::shared_ptr<HttpExchange> &exchange)
{
    auto call = dialect_.readCall(request, {*catalogue_, shares_, kernel_.settings().targetService},
                                  kernel_.clock().now());
    if (!call.has_value()) {
        exchange->respond(dialect_.responseFor(call.error(), dialect_.requestIdOf(request)));
        return;
    }
    Call &nested = call.value();
    auto contextId = contexts_.beginNestedCall(findHeader(request.headers, headers::call), nested);
    if (!contextId.has_value()) {
        exchange->respond(dialect_.responseFor(contextId.error(), nested.requestId));
        return;
    }
    if (schedule_) {
        const auto origin
                = contextId.value().empty() ? CallOrigin::Caller : CallOrigin::RunningCall;
        const auto refusal = reasonToRefuse(*schedule_, origin, nested, kernel_.clock().now());
        if (refusal) {
            CallOutcome outcome;
            outcome.result = *refusal;
            outcome.unspent = nested.allowance;
            contexts_.endNestedCall(contextId.value(), nested.allowance, outcome);
            exchange->respond(dialect_.responseFor(*refusal, nested.requestId));
            return;
        }
        limitDeadline(*schedule_, nested);
    }
    const Token token = nextToken();
    auto shared = std::make_shared<const Call>(std::move(nested));
    nestedCalls_.emplace(token, NestedCall{exchange, shared, std::move(contextId.value())});
    contexts_.beginWait(nestedCalls_.at(token).contextId, kernel_.clock().now());
    exchange->onPeerGone([this, token] { kernel_.bus().post(CancelCall{token}); });
    kernel_.bus().post(RouteCall{token, std::move(shared)});
}

void LocalTarget::finishNestedCall(const CallRouted &routed)
{
    const auto found = nestedCalls_.find(routed.token);
    if (found == nestedCalls_.end())
        return;
    const NestedCall nested = std::move(found->second);
    nestedCalls_.erase(found);
    contexts_.endNestedCall(nested.contextId, nested.call->allowance, routed.outcome);
    contexts_.endWait(nested.contextId, kernel_.clock().now());
    nested.exchange->respond(dialect_.responseFor(routed.outcome.result, nested.call->requestId));
}

} // namespace chive
