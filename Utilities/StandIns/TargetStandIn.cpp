#include <StandIns/TargetStandIn.h>

#include <LibCore/Identifier.h>
#include <LibHttp/HttpServer.h>
#include <StandIns/Http.h>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <charconv>

namespace chive {

namespace {

constexpr std::size_t maximumBodySize = 64 * 1024 * 1024;
constexpr Milliseconds announceInterval{1000};
constexpr Milliseconds announceTimeout{2000};
constexpr Milliseconds loadSampleInterval{20};
constexpr std::size_t keptLoadSamples = 1000;
constexpr double coldFactor = 4.0;
constexpr int crashStatus = 70;

std::int64_t numberOr(std::string_view text, std::int64_t otherwise)
{
    std::int64_t value = otherwise;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

nlohmann::json toJson(const std::vector<NestedCall> &calls)
{
    nlohmann::json result = nlohmann::json::array();
    for (const NestedCall &call : calls)
        result.push_back(
                {{"path", call.path}, {"status", call.status}, {"attempts", call.attempts}});
    return result;
}

/// The bytes of a response as HTTP/1.1 puts them on the wire.
std::string wireFormat(const HttpResponse &response, bool hasLength)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + " \r\n";
    for (const auto &[name, value] : response.headers)
        bytes += name + ": " + value + "\r\n";
    if (hasLength)
        bytes += "Content-Length: " + std::to_string(bytesOf(response.body).size()) + "\r\n";
    return bytes + "\r\n" + std::string(bytesOf(response.body));
}

/// Takes one off a counter of faults still to make; whether there was one.
bool takeOne(std::uint32_t &counter)
{
    if (counter == 0)
        return false;
    --counter;
    return true;
}

} // namespace

TargetStandIn::TargetStandIn(EventLoop &loop, const Clock &clock, Options options)
    : loop_(loop)
    , clock_(clock)
    , options_(std::move(options))
    , executions_(clock, options_.executionsFile)
    , random_(options_.seed)
    , node_(loop, options_.node, maximumBodySize)
    , started_(clock.now())
{
    node_.trustServer();
}

TargetStandIn::~TargetStandIn() = default;

Result<void> TargetStandIn::start()
{
    CHIVE_TRY(server, HttpServer::listen(loop_, options_.listen, maximumBodySize,
                                         [this](const auto &request, const auto &exchange) {
                                             handle(request, exchange);
                                         }));
    server_ = std::move(server);
    announcer_ = loop_.every(announceInterval, [this] { announce(); });
    sampler_ = loop_.every(loadSampleInterval, [this] {
        loads_.emplace_back(clock_.now(), running_.size());
        if (loads_.size() > keptLoadSamples)
            loads_.pop_front();
    });
    announce();
    return outcome::success();
}

void TargetStandIn::announce()
{
    if (!faults_.isAnnouncing)
        return;
    const nlohmann::json body
            = {{"service", options_.service},         {"ip", options_.announced.ip},
               {"port", options_.announced.port},     {"slots", options_.slots},
               {"connections", options_.connections}, {"draining", faults_.isDraining}};
    const HttpRequest request{
            "POST", "/announce", {{"Content-Type", "application/json"}}, makeBody(body.dump())};
    // A node that does not answer is announced to again at the next interval.
    node_.send(request, announceTimeout, [](const HttpClient::Outcome &) {});
}

void TargetStandIn::handle(const HttpRequest &request,
                           const std::shared_ptr<HttpExchange> &exchange)
{
    if (request.target.starts_with("/control"))
        control(request, *exchange);
    else if (request.target == "/health")
        exchange->respond(
                jsonResponse(faults_.isHealthy ? 200 : 503, {{"healthy", faults_.isHealthy}}));
    else if (request.target == "/load")
        reportLoad(*exchange);
    else
        run(request, exchange);
}

void TargetStandIn::run(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    if (running_.size() >= options_.slots) {
        ++shed_;
        exchange->respond(jsonResponse(503, {{"error", "all slots are taken"}}));
        return;
    }
    RunRecord record;
    record.requestId = findHeader(request.headers, "Chive-Request-Id");
    record.call = findHeader(request.headers, "Chive-Call");
    record.kind = findHeader(request.headers, "Chive-Kind");
    record.method = request.method;
    record.path = request.target;
    record.key = findHeader(request.headers, "Idempotency-Key");
    record.bodyDigest = digest(bytesOf(request.body));
    record.bodySize = bytesOf(request.body).size();
    record.deadlineMs = numberOr(findHeader(request.headers, "Chive-Deadline-Ms"), -1);
    record.wasDraining = faults_.isDraining;
    if (firstCallHeader_.empty())
        firstCallHeader_ = record.call;
    const std::uint64_t sequence = executions_.begin(std::move(record));
    const std::string &marker = faults_.crashMarker;
    if (!marker.empty()
        && (request.target.find(marker) != std::string::npos
            || bytesOf(request.body).find(marker) != std::string_view::npos))
        _exit(crashStatus);
    Running &running = running_[sequence];
    running.exchange = exchange;
    running.request = request;
    running.run = std::make_unique<TargetRun>(
            loop_, node_, planFor(request),
            [this, sequence](const auto &calls) { finishWork(sequence, calls); });
    exchange->onPeerGone([this, sequence] {
        loop_.post([this, sequence] { end(sequence, RunEnd::Cancelled, 0); });
    });
}

RunPlan TargetStandIn::planFor(const HttpRequest &request)
{
    RunPlan plan;
    const double factor = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
    const auto drawn = static_cast<std::uint64_t>(factor * options_.serviceTime.count());
    double time = static_cast<double>(numberInQuery(request.target, "service_ms", drawn));
    time *= faults_.slowFactor;
    if (clock_.now() < started_ + options_.coldTime)
        time *= coldFactor;
    plan.serviceTime = Milliseconds(static_cast<std::int64_t>(time));
    for (const std::string &call : options_.calls)
        plan.calls.push_back("/" + call);
    plan.attemptsPerCall = faults_.nestedAttempts;
    std::string call(findHeader(request.headers, "Chive-Call"));
    if (faults_.callHeader == CallHeader::Repeat)
        call = firstCallHeader_;
    if (faults_.callHeader == CallHeader::Forge)
        call = randomIdentifier();
    if (faults_.callHeader != CallHeader::Drop)
        plan.callHeaders.emplace_back("Chive-Call", call);
    return plan;
}

void TargetStandIn::finishWork(std::uint64_t sequence, const std::vector<NestedCall> &calls)
{
    Running &running = running_.at(sequence);
    running.run.reset();
    const HttpResponse response = responseFor(sequence, calls);
    if (faults_.answerDelay == Milliseconds::zero()) {
        answer(sequence, response);
        return;
    }
    running.answer = loop_.after(faults_.answerDelay,
                                 [this, sequence, response] { answer(sequence, response); });
}

HttpResponse TargetStandIn::responseFor(std::uint64_t sequence,
                                        const std::vector<NestedCall> &calls) const
{
    const RunRecord &record = executions_.records().at(sequence);
    const auto size = numberInQuery(record.path, "answer_bytes", 0);
    const nlohmann::json body = {{"service", options_.service},
                                 {"target", format(options_.listen)},
                                 {"sequence", sequence},
                                 {"request_id", record.requestId},
                                 {"method", record.method},
                                 {"path", record.path},
                                 {"body_digest", record.bodyDigest},
                                 {"calls", toJson(calls)},
                                 {"padding", std::string(size, 'x')}};
    int status = 200;
    if (hasFailedCall(calls))
        status = 502;
    if (faults_.failStatus != 0)
        status = faults_.failStatus;
    HttpResponse response = jsonResponse(status, body);
    response.headers.emplace_back("Answer-Digest", digest(bytesOf(response.body)));
    response.headers.emplace_back("Chive-Call", record.call);
    return response;
}

void TargetStandIn::answer(std::uint64_t sequence, const HttpResponse &response)
{
    HttpExchange &exchange = *running_.at(sequence).exchange;
    if (takeOne(faults_.answersToSwallow)) {
        exchange.abandon();
    } else if (takeOne(faults_.answersToTruncate)) {
        const std::string bytes = wireFormat(response, true);
        exchange.writeRaw(std::string_view(bytes).substr(0, bytes.size() - 10));
        exchange.abandon();
    } else if (takeOne(faults_.answersWithoutLength)) {
        exchange.writeRaw(wireFormat(response, false));
        exchange.abandon();
    } else {
        if (takeOne(faults_.answersToRepeat))
            exchange.writeRaw(wireFormat(response, true));
        exchange.respond(response);
    }
    end(sequence, RunEnd::Answered, response.status);
}

void TargetStandIn::end(std::uint64_t sequence, RunEnd end, int status)
{
    if (running_.erase(sequence) > 0)
        executions_.finish(sequence, end, status);
}

void TargetStandIn::reportLoad(HttpExchange &exchange) const
{
    std::size_t load = running_.size();
    if (faults_.loadLag > Milliseconds::zero()) {
        load = 0;
        for (const auto &[time, inFlight] : loads_) {
            if (time + faults_.loadLag <= clock_.now())
                load = inFlight;
        }
    }
    exchange.respond(jsonResponse(200, {{"in_flight", faults_.reportedLoad.value_or(load)}}));
}

void TargetStandIn::control(const HttpRequest &request, HttpExchange &exchange)
{
    if (request.target == "/control/executions") {
        nlohmann::json records = nlohmann::json::array();
        for (const RunRecord &record : executions_.records())
            records.push_back(toJson(record));
        exchange.respond(jsonResponse(200, records));
        return;
    }
    const auto order = nlohmann::json::parse(bytesOf(request.body), nullptr, false);
    if (order.is_object()) {
        faults_.apply(order);
        announce();
    }
    exchange.respond(jsonResponse(200, {{"in_flight", running_.size()},
                                        {"begun", executions_.records().size()},
                                        {"shed", shed_},
                                        {"draining", faults_.isDraining}}));
}

} // namespace chive
