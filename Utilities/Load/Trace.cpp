#include <Load/Trace.h>

#include <nlohmann/json.hpp>

#include <sstream>

namespace chive::load {

namespace {

using nlohmann::json;

json toJson(const TraceCall &call)
{
    return {{"at_ms", call.at.count()}, {"caller", call.caller},
            {"service", call.service},  {"kind", call.kind},
            {"method", call.method},    {"path", call.path},
            {"size", call.size},        {"deadline_ms", call.deadline.count()},
            {"key", call.key}};
}

TraceCall parseCall(const json &line)
{
    TraceCall call;
    call.at = Milliseconds(line.at("at_ms").get<std::int64_t>());
    call.caller = line.at("caller");
    call.service = line.at("service");
    call.kind = line.at("kind");
    call.method = line.at("method");
    call.path = line.at("path");
    call.size = line.at("size");
    call.deadline = Milliseconds(line.at("deadline_ms").get<std::int64_t>());
    call.key = line.at("key");
    return call;
}

json toJson(const TraceKind &kind)
{
    return {{"name", kind.name},
            {"importance", kind.importance},
            {"repetition", kind.repetition},
            {"duration", kind.duration},
            {"deadline_ms", kind.deadline.count()},
            {"service_ms", kind.serviceTime}};
}

TraceKind parseKind(const json &item)
{
    return {item.at("name"),
            item.at("importance"),
            item.at("repetition"),
            item.at("duration"),
            Milliseconds(item.at("deadline_ms").get<std::int64_t>()),
            item.at("service_ms")};
}

json toJson(const TraceService &service)
{
    json kinds = json::array();
    for (const TraceKind &kind : service.kinds)
        kinds.push_back(toJson(kind));
    return {{"name", service.name},
            {"slots", service.slots},
            {"connections", service.connections},
            {"long_share_percent", service.longSharePercent},
            {"calls", service.calls},
            {"kinds", kinds}};
}

TraceService parseService(const json &item)
{
    TraceService service{item.at("name"),        item.at("slots"),
                         item.at("connections"), item.at("long_share_percent"),
                         item.at("calls"),       {}};
    for (const json &kind : item.at("kinds"))
        service.kinds.push_back(parseKind(kind));
    return service;
}

json toJson(const TraceFault &fault)
{
    return {{"target", fault.target},
            {"from_ms", fault.from.count()},
            {"until_ms", fault.until.count()},
            {"slow_factor", fault.slowFactor},
            {"fail_status", fault.failStatus}};
}

TraceFault parseFault(const json &item)
{
    return {item.at("target"), Milliseconds(item.at("from_ms").get<std::int64_t>()),
            Milliseconds(item.at("until_ms").get<std::int64_t>()), item.at("slow_factor"),
            item.at("fail_status")};
}

json toJson(const TraceExpectation &expectation)
{
    return {{"deployment", expectation.deployment}, {"measure", expectation.measure},
            {"phase", expectation.phase},           {"kind", expectation.kind},
            {"of_phase", expectation.ofPhase},      {"at_least", expectation.atLeast},
            {"at_most", expectation.atMost}};
}

TraceExpectation parseExpectation(const json &item)
{
    return {item.at("deployment"), item.at("measure"),  item.at("phase"),  item.at("kind"),
            item.at("of_phase"),   item.at("at_least"), item.at("at_most")};
}

Trace parseHeader(const json &header)
{
    Trace trace;
    trace.name = header.at("name");
    trace.seed = header.at("seed");
    trace.length = Milliseconds(header.at("length_ms").get<std::int64_t>());
    trace.callerRetries = header.at("caller_retries");
    for (const json &item : header.at("services"))
        trace.services.push_back(parseService(item));
    for (const json &item : header.at("targets"))
        trace.targets.push_back({item.at("service"), item.at("data_centre")});
    for (const json &item : header.at("faults"))
        trace.faults.push_back(parseFault(item));
    for (const json &item : header.at("phases")) {
        trace.phases.push_back({item.at("name"),
                                Milliseconds(item.at("from_ms").get<std::int64_t>()),
                                Milliseconds(item.at("until_ms").get<std::int64_t>())});
    }
    for (const json &item : header.at("expectations"))
        trace.expectations.push_back(parseExpectation(item));
    return trace;
}

} // namespace

json headerOf(const Trace &trace)
{
    json header{{"name", trace.name},
                {"seed", trace.seed},
                {"length_ms", trace.length.count()},
                {"caller_retries", trace.callerRetries},
                {"services", json::array()},
                {"targets", json::array()},
                {"faults", json::array()},
                {"phases", json::array()},
                {"expectations", json::array()}};
    for (const TraceService &service : trace.services)
        header["services"].push_back(toJson(service));
    for (const TraceTarget &target : trace.targets)
        header["targets"].push_back(
                {{"service", target.service}, {"data_centre", target.dataCentre}});
    for (const TraceFault &fault : trace.faults)
        header["faults"].push_back(toJson(fault));
    for (const TracePhase &phase : trace.phases) {
        header["phases"].push_back({{"name", phase.name},
                                    {"from_ms", phase.from.count()},
                                    {"until_ms", phase.until.count()}});
    }
    for (const TraceExpectation &expectation : trace.expectations)
        header["expectations"].push_back(toJson(expectation));
    return header;
}

Result<Trace> parseTrace(std::string_view text)
{
    std::istringstream stream{std::string(text)};
    std::string line;
    std::size_t number = 0;
    Trace trace;
    try {
        while (std::getline(stream, line)) {
            ++number;
            const json parsed = json::parse(line);
            if (number == 1)
                trace = parseHeader(parsed);
            else
                trace.calls.push_back(parseCall(parsed));
        }
    } catch (const json::exception &error) {
        return Error{Error::Kind::Invalid, "line " + std::to_string(number) + ": " + error.what()};
    }
    if (number == 0)
        return Error{Error::Kind::Invalid, "the trace is empty"};
    return trace;
}

std::string format(const Trace &trace)
{
    std::string text = headerOf(trace).dump() + '\n';
    for (const TraceCall &call : trace.calls)
        text += toJson(call).dump() + '\n';
    return text;
}

} // namespace chive::load
