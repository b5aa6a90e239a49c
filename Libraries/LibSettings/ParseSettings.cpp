#include <LibSettings/Settings.h>

#include <LibToml/TomlTable.h>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace chive {

namespace {

constexpr IntegerRange bodySizeRange{1'024, 1'073'741'824, "bytes"};
constexpr IntegerRange heldBytesRange{1'024, 68'719'476'736, "bytes"};
constexpr IntegerRange memoryRange{16, 1'048'576, "MB"};
constexpr std::size_t bytesPerMegabyte = 1'000'000;
constexpr IntegerRange drainTimeoutRange{0, 3'600'000, "ms"};
constexpr IntegerRange descriptorRange{128, 1'048'576, "descriptors"};
constexpr IntegerRange leaseRange{100, 3'600'000, "ms"};
/// Between the end of the drain and the end of the time that the platform allows for a stop.
constexpr Milliseconds exitPeriod{400};
constexpr double longestStopGrace = 3'600.0; // seconds

bool isEndpoint(std::string_view text)
{
    const Result<Endpoint> endpoint = parseEndpoint(text);
    if (!endpoint.has_value())
        return false;
    in_addr address{};
    return inet_pton(AF_INET, endpoint.value().ip.c_str(), &address) == 1;
}

TextRule endpointRule()
{
    return {isEndpoint, "an IPv4 number and a port, \"10.0.0.1:7001\""};
}

Endpoint endpoint(TomlTable &table, std::string_view key)
{
    const std::string text = table.text(key, Presence::Required, endpointRule());
    const Result<Endpoint> parsed = parseEndpoint(text);
    return parsed.has_value() ? parsed.value() : Endpoint{};
}

void parseEndpoints(TomlTable &file, Settings &settings)
{
    auto table = file.table("endpoints", Presence::Required);
    if (!table)
        return;
    settings.callers = endpoint(*table, "callers");
    settings.targetCalls = endpoint(*table, "target_calls");
    settings.links = endpoint(*table, "links");
    settings.admin = endpoint(*table, "admin");
    if (table->has("ready"))
        settings.ready = endpoint(*table, "ready");
    table->rejectUnknownKeys();
}

void parseBacking(TomlTable &file, Settings &settings)
{
    const bool hasStore = file.has("store");
    settings.backing = hasStore ? Settings::Backing::Store : Settings::Backing::Log;
    auto table = file.table(hasStore ? "store" : "log", Presence::Required);
    if (!table)
        return;
    (hasStore ? settings.store : settings.log) = endpoint(*table, "endpoint");
    table->rejectUnknownKeys();
}

void parseTarget(TomlTable &file, Settings &settings)
{
    auto table = file.table("target", Presence::Optional);
    if (!table)
        return;
    settings.targetService = table->text("service", Presence::Optional, identifierRule());
    if (table->has("endpoint"))
        settings.target = endpoint(*table, "endpoint");
    settings.targetLease
            = Milliseconds(table->integer("lease_ms", settings.targetLease.count(), leaseRange));
    table->rejectUnknownKeys();
}

void parseMesh(TomlTable &file, Settings &settings)
{
    auto table = file.table("mesh", Presence::Optional);
    if (!table)
        return;
    for (const std::string &peer : table->texts("peers", endpointRule()))
        settings.peers.push_back(parseEndpoint(peer).value());
    table->rejectUnknownKeys();
}

std::optional<double> numberIn(std::string_view text)
{
    double value = 0.0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0.0)
        return std::nullopt;
    return value;
}

/// A number that is not negative, written as a text, since templates put whole and broken numbers
/// in the same place.
double number(TomlTable &table, std::string_view key)
{
    const TextRule rule{[](std::string_view text) { return numberIn(text).has_value(); },
                        "a number from 0 on as a text, \"0.2\""};
    return numberIn(table.text(key, Presence::Required, rule)).value_or(0.0);
}

Milliseconds secondsOf(double seconds)
{
    constexpr double millisecondsPerSecond = 1000.0;
    return Milliseconds(static_cast<std::int64_t>(seconds * millisecondsPerSecond));
}

void parseStopGrace(TomlTable &limits, Settings &settings)
{
    constexpr std::string_view key = "stop_grace_s";
    if (!limits.has(key))
        return;
    const double grace = number(limits, key);
    if (limits.has("drain_timeout_ms"))
        limits.reject(key, "expected this or drain_timeout_ms, not both");
    if (grace > longestStopGrace)
        limits.reject(key, "expected at most 3600 seconds");
    else
        settings.drainTimeout = std::max(secondsOf(grace) - exitPeriod, Milliseconds(0));
}

void parseLimits(TomlTable &file, Settings &settings)
{
    auto table = file.table("limits", Presence::Optional);
    if (!table)
        return;
    settings.maximumBodySize = static_cast<std::size_t>(
            table->integer("maximum_body_bytes",
                           static_cast<std::int64_t>(settings.maximumBodySize), bodySizeRange));
    settings.maximumBytesHeld = static_cast<std::size_t>(
            table->integer("maximum_held_bytes",
                           static_cast<std::int64_t>(settings.maximumBytesHeld), heldBytesRange));
    if (table->has("memory_mb"))
        settings.memory = static_cast<std::size_t>(table->integer("memory_mb", 0, memoryRange))
                          * bytesPerMegabyte;
    settings.drainTimeout = Milliseconds(
            table->integer("drain_timeout_ms", settings.drainTimeout.count(), drainTimeoutRange));
    parseStopGrace(*table, settings);
    if (table->has("maximum_descriptors"))
        settings.maximumDescriptors = static_cast<std::size_t>(
                table->integer("maximum_descriptors", 0, descriptorRange));
    if (settings.maximumBytesHeld < settings.maximumBodySize)
        table->reject("maximum_held_bytes", "expected at least maximum_body_bytes");
    table->rejectUnknownKeys();
}

void parseRetries(TomlTable &file, Settings &settings)
{
    auto table = file.table("retries", Presence::Optional);
    if (!table)
        return;
    Settings::RetryBound bound;
    bound.ratio = number(*table, "ratio");
    bound.constant = number(*table, "constant");
    bound.window = secondsOf(number(*table, "window_s"));
    const TextRule planningRule{[](std::string_view text) {
                                    return text.empty() || text == "calls" || text == "trees";
                                },
                                "\"calls\" or \"trees\""};
    if (table->text("planning", Presence::Optional, planningRule) == "trees")
        bound.planning = RetryPlanning::Trees;
    settings.retryBound = bound;
    table->rejectUnknownKeys();
}

void parseQuotas(TomlTable &file, Settings &settings)
{
    auto table = file.table("quotas", Presence::Optional);
    if (!table)
        return;
    Settings::QuotaBound bound;
    bound.window = secondsOf(number(*table, "window_s"));
    bound.overage = number(*table, "overage");
    bound.slack = number(*table, "slack");
    settings.quotaBound = bound;
    table->rejectUnknownKeys();
}

void parsePolicies(TomlTable &file, Settings &settings)
{
    auto table = file.table("policies", Presence::Optional);
    if (!table)
        return;
    if (table->has("choice"))
        settings.choicePolicy = table->text("choice", Presence::Optional, identifierRule());
    if (table->has("admission"))
        settings.admissionPolicy = table->text("admission", Presence::Optional, identifierRule());
    table->rejectUnknownKeys();
}

void parseLogging(TomlTable &file, Settings &settings)
{
    auto table = file.table("logging", Presence::Optional);
    if (!table)
        return;
    settings.logDirectory = table->text("directory", Presence::Optional, plainTextRule());
    table->rejectUnknownKeys();
}

} // namespace

std::optional<std::size_t> memoryFromMegabytes(std::string_view text)
{
    std::int64_t megabytes = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), megabytes);
    const bool isNumber = error == std::errc() && end == text.data() + text.size();
    if (!isNumber || megabytes < memoryRange.least || megabytes > memoryRange.most)
        return std::nullopt;
    return static_cast<std::size_t>(megabytes) * bytesPerMegabyte;
}

Result<Settings> parseSettings(std::string_view text, std::string_view fileName)
{
    TomlMistakes mistakes(fileName);
    auto file = TomlTable::parse(text, mistakes);
    if (!file)
        return mistakes.error();
    Settings settings;
    settings.nodeId = file->text("node_id", Presence::Required, identifierRule());
    settings.dataCentre = file->text("data_centre", Presence::Required, identifierRule());
    settings.region = file->text("region", Presence::Required, identifierRule());
    parseEndpoints(*file, settings);
    if (file->has("dialect"))
        settings.dialect = file->text("dialect", Presence::Optional, identifierRule());
    parseBacking(*file, settings);
    parseTarget(*file, settings);
    parseMesh(*file, settings);
    parseLimits(*file, settings);
    parseRetries(*file, settings);
    parseQuotas(*file, settings);
    parsePolicies(*file, settings);
    parseLogging(*file, settings);
    file->rejectUnknownKeys();
    if (!mistakes.isEmpty())
        return mistakes.error();
    return settings;
}

} // namespace chive
