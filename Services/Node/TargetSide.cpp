#include <Node/TargetSide.h>

#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>
#include <LibKernel/Kernel.h>
#include <LibNode/Inbound.h>
#include <Node/CallContexts.h>

#include <glog/logging.h>

#include <utility>

namespace chive {

namespace {

constexpr Milliseconds leaseCheckInterval{250};

} // namespace

TargetSide::TargetSide(Kernel &kernel, CallContexts &contexts, std::function<void()> changed)
    : kernel_(kernel)
    , contexts_(contexts)
    , changed_(std::move(changed))
    , catalogue_(std::make_shared<const Catalogue>())
{
    kernel.bus().subscribe<CatalogueChanged>(
            [this](const CatalogueChanged &message) { catalogue_ = message.catalogue; });
    kernel.bus().subscribe<CallRouted>([this](const CallRouted &routed) { finishNested(routed); });
    kernel.addInFlight([this] { return nested_.size() + (server_ ? server_->receiving() : 0); });
}

TargetSide::~TargetSide() = default;

void TargetSide::start()
{
    auto server = HttpServer::listen(
            kernel_.loop(), kernel_.settings().targetCalls, kernel_.settings().maximumBodySize,
            [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
                handleRequest(request, exchange);
            });
    if (!server.has_value())
        LOG(FATAL) << "task=target error=\"" << server.error().message << '"';
    server_ = std::move(server.value());
    leaseTimer_ = kernel_.loop().every(leaseCheckInterval, [this] { checkLease(); });
}

void TargetSide::handleRequest(const HttpRequest &request,
                               const std::shared_ptr<HttpExchange> &exchange)
{
    if (request.target == "/announce")
        exchange->respond(handleAnnouncement(request));
    else
        beginNested(request, exchange);
}

HttpResponse TargetSide::handleAnnouncement(const HttpRequest &request)
{
    const auto announcement = parseAnnouncement(bytesOf(request.body));
    if (!announcement.has_value()) {
        LOG_EVERY_N(WARNING, 10) << "task=target error=\"announcement: "
                                 << announcement.error().message << '"';
        return {400, {}, makeBody(announcement.error().message)};
    }
    announcedAt_ = kernel_.clock().now();
    if (announcement.value() != announcement_ || client_ == nullptr)
        setAnnouncement(announcement.value());
    return {200, {{"Content-Type", "application/json"}}, makeBody("{}")};
}

void TargetSide::setAnnouncement(const Announcement &announcement)
{
    LOG(INFO) << "task=target event=announced service=" << announcement.service
              << " endpoint=" << format(announcement.endpoint) << " slots=" << announcement.slots
              << " draining=" << announcement.isDraining;
    const bool isSameProcess
            = client_ != nullptr && announcement.endpoint == announcement_.endpoint;
    announcement_ = announcement;
    if (!isSameProcess)
        client_ = std::make_unique<HttpClient>(kernel_.loop(), announcement.endpoint,
                                               kernel_.settings().maximumBodySize);
    kernel_.bus().post(LocalTargetChanged{announcement.service, announcement.endpoint,
                                          announcement.slots, announcement.isDraining});
    changed_();
}

void TargetSide::checkLease()
{
    if (client_ == nullptr || kernel_.clock().now() - announcedAt_ < announcementLease)
        return;
    // Work in flight keeps its connections: a target that only stopped announcing may finish it.
    if (client_->inFlight() > 0)
        return;
    LOG(WARNING) << "task=target event=lease-expired service=" << announcement_.service;
    client_.reset();
    kernel_.bus().post(LocalTargetChanged{});
    changed_();
}

void TargetSide::beginNested(const HttpRequest &request,
                             const std::shared_ptr<HttpExchange> &exchange)
{
    auto call = readCall(request, *catalogue_, kernel_.clock().now());
    if (!call.has_value()) {
        exchange->respond(
                responseFor(call.error(), findHeader(request.headers, headers::requestId)));
        return;
    }
    Call &nested = call.value();
    auto context = contexts_.lend(findHeader(request.headers, headers::call), nested);
    if (!context.has_value()) {
        exchange->respond(responseFor(context.error(), nested.requestId));
        return;
    }
    const Token token = nextToken();
    auto shared = std::make_shared<const Call>(std::move(nested));
    nested_.emplace(token, NestedCall{exchange, shared, std::move(context.value())});
    exchange->onPeerGone([this, token] { kernel_.bus().post(CancelCall{token}); });
    kernel_.bus().post(RouteCall{token, std::move(shared)});
}

void TargetSide::finishNested(const CallRouted &routed)
{
    const auto found = nested_.find(routed.token);
    if (found == nested_.end())
        return;
    const NestedCall nested = std::move(found->second);
    nested_.erase(found);
    contexts_.giveBack(nested.context, nested.call->allowance, routed.outcome);
    nested.exchange->respond(responseFor(routed.outcome.result, nested.call->requestId));
}

} // namespace chive
