#include <StandIns/LogStandIn.h>

#include <LibHttp/HttpServer.h>
#include <StandIns/Http.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <utility>

namespace chive {

namespace {

constexpr std::size_t maximumRecordSize = 16 * 1024 * 1024;
constexpr std::uint64_t defaultReadLimit = 1000;
constexpr std::string_view streamsPrefix = "/streams/";
constexpr std::string_view recordsSuffix = "/records";

/// NAME in `/streams/NAME/records`, or nothing.
std::optional<std::string_view> streamOf(std::string_view target)
{
    const std::string_view path = target.substr(0, target.find('?'));
    if (!path.starts_with(streamsPrefix) || !path.ends_with(recordsSuffix)
        || path.size() <= streamsPrefix.size() + recordsSuffix.size())
        return std::nullopt;
    return path.substr(streamsPrefix.size(),
                       path.size() - streamsPrefix.size() - recordsSuffix.size());
}

} // namespace

LogStandIn::LogStandIn(EventLoop &loop, const Clock &clock, LogStreams::Limits limits)
    : loop_(loop)
    , clock_(clock)
    , streams_(limits)
{}

LogStandIn::~LogStandIn() = default;

Result<void> LogStandIn::listen(const Endpoint &endpoint)
{
    CHIVE_TRY(server, HttpServer::listen(loop_, endpoint, maximumRecordSize,
                                         [this](const auto &request, const auto &exchange) {
                                             handle(request, exchange);
                                         }));
    server_ = std::move(server);
    return outcome::success();
}

void LogStandIn::handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    if (request.target == "/control") {
        control(request, *exchange);
        return;
    }
    if (outage_ == Outage::Refuse) {
        exchange->respond(jsonResponse(503, {{"error", "outage"}}));
        return;
    }
    if (outage_ == Outage::Hang) {
        held_.push_back({request, exchange});
        return;
    }
    if (delay_ == Milliseconds::zero()) {
        serve(request, *exchange);
        return;
    }
    std::erase_if(delayed_, [](const Timer &timer) { return !timer.isActive(); });
    delayed_.push_back(
            loop_.after(delay_, [this, request, exchange] { serve(request, *exchange); }));
}

void LogStandIn::serve(const HttpRequest &request, HttpExchange &exchange)
{
    const auto stream = streamOf(request.target);
    if (!stream)
        exchange.respond(jsonResponse(404, {{"error", "unknown path"}}));
    else if (request.method == "POST")
        append(*stream, request, exchange);
    else if (request.method == "GET")
        read(*stream, request, exchange);
    else
        exchange.respond(jsonResponse(405, {{"error", "GET or POST"}}));
}

void LogStandIn::append(std::string_view stream, const HttpRequest &request, HttpExchange &exchange)
{
    if (appendsToDrop_ > 0) {
        --appendsToDrop_;
        exchange.abandon();
        return;
    }
    const auto offset = streams_.append(stream, std::string(bytesOf(request.body)), clock_.now());
    if (!offset) {
        exchange.respond(jsonResponse(429, {{"error", "too many appends"}}));
        return;
    }
    if (answersToLose_ > 0) {
        --answersToLose_;
        exchange.abandon();
        return;
    }
    exchange.respond(jsonResponse(201, {{"offset", *offset}}));
}

void LogStandIn::read(std::string_view stream, const HttpRequest &request, HttpExchange &exchange)
{
    const std::uint64_t from = numberInQuery(request.target, "from", 0);
    const std::uint64_t limit = numberInQuery(request.target, "limit", defaultReadLimit);
    const StreamRead result = streams_.read(stream, from, limit, clock_.now());
    nlohmann::json records = nlohmann::json::array();
    for (const KeptRecord &record : result.records)
        records.push_back({{"offset", record.offset}, {"payload", record.payload}});
    exchange.respond(jsonResponse(
            200, {{"first", result.first}, {"end", result.end}, {"records", std::move(records)}}));
}

void LogStandIn::control(const HttpRequest &request, HttpExchange &exchange)
{
    const auto order = nlohmann::json::parse(bytesOf(request.body), nullptr, false);
    if (order.is_object()) {
        const std::string outage = order.value("outage", "");
        if (outage == "refuse")
            outage_ = Outage::Refuse;
        if (outage == "hang")
            outage_ = Outage::Hang;
        if (outage == "off")
            endOutage();
        answersToLose_ = order.value("lose_answers", answersToLose_);
        appendsToDrop_ = order.value("drop_appends", appendsToDrop_);
        delay_ = Milliseconds(order.value("delay_ms", delay_.count()));
    }
    exchange.respond(jsonResponse(200, {{"appended", streams_.appended()},
                                        {"held", held_.size()},
                                        {"lose_answers", answersToLose_},
                                        {"drop_appends", appendsToDrop_}}));
}

void LogStandIn::endOutage()
{
    outage_ = Outage::None;
    for (const Held &held : std::exchange(held_, {}))
        serve(held.request, *held.exchange);
}

} // namespace chive
