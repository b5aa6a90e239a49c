#include <ChiveRouter/NodeStatus.h>
#include <ChiveRouter/Usage.h>

#include <nlohmann/json.hpp>

#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

namespace chive {

namespace {

using nlohmann::json;

/// Older than this, what a node has in force may no longer be what the mesh has.
constexpr std::int64_t staleAfterMs = 60'000;

/// The value at a JSON pointer as text; "-" when it is missing.
std::string textAt(const json &object, const char *pointer)
{
    const json::json_pointer path(pointer);
    if (!object.contains(path))
        return "-";
    const json &value = object.at(path);
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::int64_t numberAt(const json &object, const char *pointer)
{
    const json::json_pointer path(pointer);
    if (!object.contains(path) || !object.at(path).is_number_integer())
        return -1;
    return object.at(path).get<std::int64_t>();
}

std::string ageText(std::int64_t milliseconds)
{
    if (milliseconds < 0)
        return "never";
    return std::to_string(milliseconds / 1'000) + " s";
}

/// Retries that the node may make now towards each service.
void printRetryBudget(const json &status)
{
    const json::json_pointer path("/router/retry_budget");
    std::cout << "Retries left  ";
    if (status.contains(path)) {
        for (const auto &[service, tokens] : status.at(path).items())
            std::cout << ' ' << service << ' ' << tokens.dump();
    }
    std::cout << '\n';
}

/// What the asked node's own probes say of a member: "late", "suspect" and the like.
std::string suspicionOf(const json &status, const std::string &nodeId)
{
    for (const json &member : status.value("members", json::array())) {
        if (textAt(member, "/node_id") != nodeId)
            continue;
        const std::string state = textAt(member, "/state");
        std::string text = state == "alive" ? "" : state;
        if (textAt(member, "/late") == "true")
            text += text.empty() ? "LATE" : ", LATE";
        return text;
    }
    return {};
}

void printNode(const json &status)
{
    std::cout << "Release note   " << textAt(status, "/notes/head") << " (version "
              << textAt(status, "/notes/version") << ", offset " << textAt(status, "/notes/offset")
              << ")\n"
              << "  in force for " << ageText(numberAt(status, "/notes/in_force_ms"))
              << ", confirmed " << ageText(numberAt(status, "/notes/confirmed_ms_ago"))
              << " ago, from " << textAt(status, "/notes/source") << '\n'
              << "Log            "
              << (textAt(status, "/log/reachable") == "true" ? "reachable" : "NOT REACHABLE")
              << ", " << textAt(status, "/notes/lag_records") << " records to read\n"
              << "Target         " << textAt(status, "/target/service") << ", limit "
              << textAt(status, "/target/limit") << " of " << textAt(status, "/target/slots")
              << " slots, " << textAt(status, "/target/in_flight") << " in flight, "
              << textAt(status, "/target/queued") << " queued, admits "
              << textAt(status, "/target/admitted") << " and above\n"
              << "Routing        " << textAt(status, "/router/calls") << " calls under way\n";
    printRetryBudget(status);
    std::cout << '\n';
}

void printMeshHead()
{
    std::cout << std::left << std::setw(20) << "NODE" << std::setw(16) << "SERVICE" << std::setw(14)
              << "DATA CENTRE" << std::setw(12) << "IN FLIGHT" << std::setw(8) << "LIMIT"
              << std::setw(10) << "ADMITS" << std::setw(26) << "NOTE"
              << "REMARKS\n";
}

std::string joined(const std::vector<std::string> &remarks)
{
    std::string text;
    for (const std::string &remark : remarks)
        text += (text.empty() ? "" : ", ") + remark;
    return text.empty() ? "ok" : text;
}

std::string remarksOn(const json &member, const json &status)
{
    std::vector<std::string> remarks;
    const std::string suspicion = suspicionOf(status, textAt(member, "/node_id"));
    if (!suspicion.empty())
        remarks.push_back(suspicion);
    if (!member.value("reached", false)) {
        remarks.emplace_back("UNREACHABLE");
        return joined(remarks);
    }
    const json &report = member.at("report");
    const std::string head = textAt(status, "/notes/head");
    if (textAt(report, "/notes/head") != head)
        remarks.emplace_back("OTHER NOTE");
    const std::int64_t confirmed = numberAt(report, "/notes/confirmed_ms_ago");
    if (confirmed < 0 || confirmed > staleAfterMs)
        remarks.emplace_back("NOTE NOT CONFIRMED");
    if (textAt(report, "/notes/misses_records") == "true")
        remarks.emplace_back("MISSES RECORDS");
    if (textAt(report, "/log_reachable") != "true")
        remarks.emplace_back("NO LOG");
    if (textAt(report, "/target/present") == "false")
        remarks.emplace_back("NO TARGET");
    if (textAt(report, "/target/draining") == "true")
        remarks.emplace_back("leaving");
    return joined(remarks);
}

void printMember(const json &member, const json &status)
{
    std::cout << std::left << std::setw(20) << textAt(member, "/node_id") << std::setw(16)
              << textAt(member, "/service") << std::setw(14) << textAt(member, "/data_centre")
              << std::setw(12) << textAt(member, "/report/target/in_flight") << std::setw(8)
              << textAt(member, "/report/target/limit") << std::setw(10)
              << textAt(member, "/report/target/admitted") << std::setw(26)
              << textAt(member, "/report/notes/head") << remarksOn(member, status) << '\n';
}

ExitCode runStatus(ParsedArguments &arguments)
{
    const std::optional<Settings> settings = readSettings(arguments["--settings"].asString());
    if (!settings)
        return ExitCode::InvalidInput;
    Result<json> status = fetchJson(settings->admin, "/status");
    Result<json> mesh = fetchJson(settings->admin, "/mesh");
    if (!status.has_value()) {
        std::cerr << status.error().message << '\n';
        return ExitCode::Unavailable;
    }
    const json members
            = mesh.has_value() ? mesh.value().value("members", json::array()) : json::array();
    if (arguments["--json"].asBool()) {
        std::cout << json{{"node", status.value()}, {"mesh", members}}.dump(2) << '\n';
        return ExitCode::Ok;
    }
    std::cout << "Node " << settings->nodeId << " in " << settings->dataCentre << "\n\n";
    printNode(status.value());
    if (!mesh.has_value()) {
        std::cerr << mesh.error().message << '\n';
        return ExitCode::Unavailable;
    }
    printMeshHead();
    for (const json &member : members)
        printMember(member, status.value());
    return ExitCode::Ok;
}

const Registration<CommandPlugin> registration{CommandPlugin{
        "status",
        "shows the state of a node and, through it, of the mesh",
        "Shows the state of a node and, through it, of the mesh.\n\n"
        "Usage:\n"
        "  chiverouter status --settings=FILE [--json]\n"
        "  chiverouter status (-h | --help)\n\n"
        "Options:\n"
        "  --settings=FILE  The settings of the node to ask (TOML).\n"
        "  --json           Everything, for programs.\n",
        [](const CommandPlugin &command, std::span<const std::string> arguments) {
            return withArguments(command, arguments, runStatus);
        },
}};

} // namespace

} // namespace chive
