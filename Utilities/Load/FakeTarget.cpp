#include <Load/FakeTarget.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <csignal>

namespace chive::load {

namespace {

constexpr std::size_t maximumBody = 16 * 1024 * 1024;
constexpr Milliseconds announceInterval{1'000};
constexpr Milliseconds nestedTimeout{10'000};
constexpr double serviceTimeSpread = 0.3; ///< Standard deviation of the logarithm.

const TraceService *serviceOf(const Trace &trace, std::size_t target)
{
    const auto found = std::ranges::find(trace.services, trace.targets.at(target).service,
                                         &TraceService::name);
    return found == trace.services.end() ? nullptr : &*found;
}

} // namespace

FakeTarget::FakeTarget(EventLoop &loop, const Trace &trace, const Options &options,
                       RunTotals &totals)
    : loop_(loop)
    , trace_(trace)
    , service_(serviceOf(trace, options.index))
    , options_(options)
    , totals_(totals)
    , random_(trace.seed * 1'000 + options.index)
    , node_(loop, options.node, maximumBody)
{
    node_.trustServer();
}

FakeTarget::~FakeTarget() = default;

Result<void> FakeTarget::start()
{
    if (service_ == nullptr)
        return Error{Error::Kind::Invalid, "the service of a target is not declared"};
    CHIVE_TRY(server, HttpServer::listen(loop_, options_.listen, maximumBody,
                                         [this](const HttpRequest &request, auto exchange) {
                                             handle(request, std::move(exchange));
                                         }));
    server_ = std::move(server);
    announce();
    announcer_ = loop_.every(announceInterval, [this] { announce(); });
    return outcome::success();
}

void FakeTarget::announce()
{
    const nlohmann::json body{{"service", service_->name},
                              {"ip", options_.listen.ip},
                              {"port", options_.listen.port},
                              {"slots", service_->slots},
                              {"connections", service_->connections},
                              {"draining", false}};
    node_.send({"POST", "/announce", {{"Content-Type", "application/json"}}, makeBody(body.dump())},
               announceInterval, [](const auto &) {});
}

void FakeTarget::handle(const HttpRequest &request, std::shared_ptr<HttpExchange> exchange)
{
    if (request.target == "/health" || request.target == "/load") {
        exchange->respond({200, {}, makeBody(R"({"healthy": true, "in_flight": 0})")});
        return;
    }
    if (running_ + queue_.size() >= service_->connections) {
        exchange->respond({503, {}, makeBody("full")});
        return;
    }
    auto work = std::make_shared<Work>();
    work->request = request;
    work->exchange = std::move(exchange);
    work->exchange->onPeerGone([weak = std::weak_ptr<Work>(work)] {
        if (const auto gone = weak.lock())
            gone->isGone = true;
    });
    queue_.push_back(std::move(work));
    startQueued();
}

void FakeTarget::startQueued()
{
    std::erase_if(queue_, [](const WorkPointer &work) { return work->isGone; });
    while (running_ < service_->slots && !queue_.empty()) {
        const WorkPointer work = queue_.front();
        queue_.pop_front();
        run(work);
    }
}

void FakeTarget::run(const WorkPointer &work)
{
    ++running_;
    work->started = clock_.now();
    ++totals_[std::string(findHeader(work->request.headers, "Chive-Request-Id"))].runs;
    work->timer = loop_.after(drawServiceTime(work->request), [this, work] {
        if (service_->calls.empty())
            finish(work, 200);
        else
            callNext(work);
    });
}

void FakeTarget::callNext(const WorkPointer &work)
{
    ++work->attempts;
    const std::string call(findHeader(work->request.headers, "Chive-Call"));
    node_.send({"GET", "/" + service_->calls, {{"Chive-Call", call}}, nullptr}, nestedTimeout,
               [this, work](const HttpClient::Outcome &result) {
                   const bool isWhole = result.has_value() && result.value().status == 200;
                   if (isWhole)
                       finish(work, 200);
                   else if (work->attempts < options_.callAttempts)
                       callNext(work);
                   else
                       finish(work, 502);
               });
}

void FakeTarget::finish(const WorkPointer &work, int status)
{
    const std::chrono::duration<double, std::milli> busy = clock_.now() - work->started;
    totals_[std::string(findHeader(work->request.headers, "Chive-Request-Id"))].busy
            += busy.count();
    const TraceFault *fault = currentFault();
    if (fault != nullptr && fault->failStatus != 0)
        status = fault->failStatus;
    if (!work->isGone)
        work->exchange->respond(
                {status,
                 {{"Chive-Call", std::string(findHeader(work->request.headers, "Chive-Call"))}},
                 makeBody("done")});
    --running_;
    loop_.post([this] { startQueued(); });
}

const TraceFault *FakeTarget::currentFault() const
{
    if (replayStart_ == TimePoint{})
        return nullptr;
    const auto time = clock_.now() - replayStart_;
    for (const TraceFault &fault : trace_.faults) {
        if (fault.target == options_.index && time >= fault.from && time < fault.until)
            return &fault;
    }
    return nullptr;
}

Milliseconds FakeTarget::drawServiceTime(const HttpRequest &request)
{
    const auto kind = std::ranges::find(service_->kinds, findHeader(request.headers, "Chive-Kind"),
                                        &TraceKind::name);
    const double mean = kind == service_->kinds.end() ? 1.0 : kind->serviceTime;
    std::lognormal_distribution<double> distribution(
            std::log(mean) - serviceTimeSpread * serviceTimeSpread / 2.0, serviceTimeSpread);
    const TraceFault *fault = currentFault();
    const double factor = fault == nullptr ? 1.0 : fault->slowFactor;
    const double drawn = std::round(distribution(random_) * factor);
    return Milliseconds(std::max<std::int64_t>(1, static_cast<std::int64_t>(drawn)));
}

Result<void> runTargets(const Trace &trace, const Endpoint &control,
                        const std::vector<FakeTarget::Options> &options)
{
    EventLoop loop;
    loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    RunTotals totals;
    std::vector<std::unique_ptr<FakeTarget>> targets;
    for (const FakeTarget::Options &option : options) {
        targets.push_back(std::make_unique<FakeTarget>(loop, trace, option, totals));
        CHIVE_TRY(targets.back()->start());
    }
    const auto answer
            = [&](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
                  nlohmann::json report = nlohmann::json::object();
                  if (request.target == "/begin") {
                      for (const auto &target : targets)
                          target->beginReplay();
                  } else {
                      for (const auto &[requestId, total] : totals)
                          report[requestId] = {{"runs", total.runs}, {"busy", total.busy}};
                  }
                  exchange->respond({200, {}, makeBody(report.dump())});
              };
    CHIVE_TRY(server, HttpServer::listen(loop, control, maximumBody, answer));
    const std::unique_ptr<HttpServer> controlServer = std::move(server);
    loop.run();
    return outcome::success();
}

} // namespace chive::load
