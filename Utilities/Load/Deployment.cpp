#include <Load/Deployment.h>

#include <LibNotes/NotesRecord.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <set>

namespace chive::load {

namespace {

constexpr std::uint16_t portsPerNode = 5;
constexpr std::size_t maximumAnswer = 64 * 1024 * 1024;
constexpr Milliseconds requestTimeout{2'000};
constexpr Milliseconds readyTimeout{30'000};
constexpr Milliseconds readyPause{100};
constexpr std::size_t answersForReady = 2; ///< In a row, from each service at each node.

/// The endpoints of one node and its target; the log and the control come first.
struct NodePorts
{
    std::uint16_t first = 0;

    [[nodiscard]] static Endpoint at(std::uint16_t port) { return {"127.0.0.1", port}; }
    [[nodiscard]] Endpoint callers() const { return at(first); }
    [[nodiscard]] Endpoint targetCalls() const { return at(first + 1); }
    [[nodiscard]] Endpoint links() const { return at(first + 2); }
    [[nodiscard]] Endpoint admin() const { return at(first + 3); }
    [[nodiscard]] Endpoint target() const { return at(first + 4); }
};

NodePorts portsOf(std::uint16_t firstPort, std::size_t index)
{
    return {static_cast<std::uint16_t>(firstPort + 2 + portsPerNode * index)};
}

std::string settingsOf(const Trace &trace, const DeploymentOptions &options, std::size_t index,
                       std::uint16_t firstPort)
{
    const NodePorts ports = portsOf(firstPort, index);
    std::string text;
    text += "node_id = \"node-" + std::to_string(index) + "\"\n";
    text += "data_centre = \"" + trace.targets[index].dataCentre + "\"\n";
    text += "region = \"here\"\n\n[endpoints]\n";
    text += "callers = \"" + chive::format(ports.callers()) + "\"\n";
    text += "target_calls = \"" + chive::format(ports.targetCalls()) + "\"\n";
    text += "links = \"" + chive::format(ports.links()) + "\"\n";
    text += "admin = \"" + chive::format(ports.admin()) + "\"\n\n[log]\n";
    text += "endpoint = \"" + chive::format(NodePorts::at(firstPort)) + "\"\n\n[policies]\n";
    text += "choice = \"" + options.choice + "\"\n";
    text += "admission = \"" + options.admission + "\"\n";
    return text;
}

std::string noteOf(const Trace &trace, const DeploymentOptions &options)
{
    std::string text = "id = \"" + trace.name + "\"\nbuilds_on = \"\"\nauthor = \"load\"\n";
    for (const TraceService &service : trace.services) {
        text += "\n[[added]]\nservice = \"" + service.name + "\"\n";
        text += "slots = " + std::to_string(service.slots) + '\n';
        text += "connections = " + std::to_string(service.connections) + '\n';
        text += "long_share_percent = " + std::to_string(service.longSharePercent) + '\n';
        for (const TraceKind &kind : service.kinds) {
            text += "\n[[added.kinds]]\nname = \"" + kind.name + "\"\nmethod = \"\"\n";
            text += "path_prefix = \"/" + kind.name + "\"\n";
            text += "importance = \"" + kind.importance + "\"\n";
            text += "repetition = \"" + kind.repetition + "\"\n";
            text += "duration = \"" + kind.duration + "\"\n";
            text += "deadline_ms = " + std::to_string(kind.deadline.count()) + '\n';
            text += "retries = " + std::to_string(options.routerRetries) + '\n';
            text += "nested_calls = " + std::to_string(options.nestedCalls) + '\n';
        }
    }
    return text;
}

std::string write(const std::filesystem::path &file, const std::string &text)
{
    std::ofstream(file) << text;
    return file.string();
}

/// Sends one request and waits for its response.
HttpClient::Outcome fetch(EventLoop &loop, const Endpoint &server, const HttpRequest &request)
{
    HttpClient client(loop, server, maximumAnswer);
    HttpClient::Outcome outcome = HttpFailure{};
    client.send(request, requestTimeout, [&](HttpClient::Outcome result) {
        outcome = std::move(result);
        loop.stop();
    });
    loop.run();
    return outcome;
}

void pause(EventLoop &loop)
{
    const Timer timer = loop.after(readyPause, [&loop] { loop.stop(); });
    loop.run();
}

bool isWhole(const HttpClient::Outcome &outcome)
{
    return outcome.has_value() && outcome.value().status == 200;
}

/// Waits until every node gets answers from every service.
Result<void> waitUntilReady(EventLoop &loop, const Trace &trace,
                            const std::vector<Endpoint> &entries)
{
    const SystemClock clock;
    const TimePoint limit = clock.now() + readyTimeout;
    for (const Endpoint &entry : entries) {
        for (const TraceService &service : trace.services) {
            const HttpRequest request{"GET",
                                      "/" + service.name + "/" + service.kinds.front().name,
                                      {{"Chive-Request-Id", "ready"}, {"Idempotency-Key", "ready"}},
                                      nullptr};
            for (std::size_t answers = 0; answers < answersForReady;) {
                if (isWhole(fetch(loop, entry, request))) {
                    ++answers;
                    continue;
                }
                answers = 0;
                if (clock.now() > limit)
                    return Error{Error::Kind::Unavailable,
                                 "no answer from " + service.name + " at " + chive::format(entry)};
                pause(loop);
            }
        }
    }
    return outcome::success();
}

Result<void> publish(EventLoop &loop, const Endpoint &log, const std::string &record)
{
    const SystemClock clock;
    const TimePoint limit = clock.now() + readyTimeout;
    const HttpRequest probe{"GET", "/streams/notes/records?from=0&limit=1", {}, nullptr};
    while (!isWhole(fetch(loop, log, probe))) {
        if (clock.now() > limit)
            return Error{Error::Kind::Unavailable, "the log stand-in does not answer"};
        pause(loop);
    }
    const HttpClient::Outcome appended
            = fetch(loop, log, {"POST", "/streams/notes/records", {}, makeBody(record)});
    if (!appended.has_value() || appended.value().status != 201)
        return Error{Error::Kind::Unavailable, "the release note could not be published"};
    return outcome::success();
}

} // namespace

DeploymentOptions policyDeployment()
{
    return {"policy"};
}

DeploymentOptions baselineDeployment()
{
    // The allowance is made so large that it does not bind.
    return {"baseline", "request-counting", "none", 100, 100'000, 4};
}

Result<Deployment> Deployment::start(EventLoop &loop, const Trace &trace,
                                     const DeploymentOptions &options, const DeploymentPlace &place)
{
    std::filesystem::create_directories(place.directory);
    const auto inDirectory = [&](const std::string &name) { return place.directory / name; };
    Deployment deployment;
    const auto startProcess = [&](const std::vector<std::string> &command,
                                  const std::string &name) -> Result<void> {
        CHIVE_TRY(process, ChildProcess::start(command, inDirectory(name + ".out").string()));
        deployment.processes_.push_back(std::move(process));
        return outcome::success();
    };

    const std::string log = chive::format(NodePorts::at(place.firstPort));
    CHIVE_TRY(startProcess({(place.programs / "Utilities/StandIns/chiverouter-standins").string(),
                            "log", "--listen=" + log},
                           "log"));
    const NoteRecord note{trace.name, "", "load", noteOf(trace, options)};
    CHIVE_TRY(publish(loop, NodePorts::at(place.firstPort), encodeNoteRecord(note)));

    for (std::size_t i = 0; i < trace.targets.size(); ++i) {
        const std::string name = "node-" + std::to_string(i);
        const std::string settings = write(inDirectory(name + ".toml"),
                                           settingsOf(trace, options, i, place.firstPort));
        CHIVE_TRY(startProcess({(place.programs / "Services/ChiveRouter/chiverouter").string(),
                                "node", "--settings=" + settings},
                               name));
        deployment.entries_.push_back(portsOf(place.firstPort, i).callers());
    }

    Trace header = trace;
    header.calls.clear();
    const std::string file = write(inDirectory("targets.jsonl"), format(header));
    CHIVE_TRY(
            startProcess({(place.programs / "Utilities/Load/chiverouter-load").string(), "targets",
                          "--trace=" + file, "--first-port=" + std::to_string(place.firstPort),
                          "--attempts=" + std::to_string(options.targetAttempts)},
                         "targets"));
    deployment.control_ = NodePorts::at(place.firstPort + 1);
    CHIVE_TRY(waitUntilReady(loop, trace, deployment.entries_));
    return deployment;
}

Result<void> Deployment::beginReplay(EventLoop &loop) const
{
    if (!isWhole(fetch(loop, control_, {"POST", "/begin", {}, nullptr})))
        return Error{Error::Kind::Unavailable, "the targets do not answer"};
    return outcome::success();
}

Result<RunTotals> Deployment::totals(EventLoop &loop) const
{
    const HttpClient::Outcome report = fetch(loop, control_, {"GET", "/totals", {}, nullptr});
    if (!isWhole(report))
        return Error{Error::Kind::Unavailable, "the targets do not report"};
    RunTotals totals;
    const auto json = nlohmann::json::parse(bytesOf(report.value().body));
    for (const auto &[requestId, total] : json.items())
        totals[requestId] = {total.at("runs"), total.at("busy")};
    return totals;
}

Result<void> runPlacedTargets(const Trace &trace, std::uint16_t firstPort,
                              std::uint32_t targetAttempts)
{
    std::vector<FakeTarget::Options> options;
    for (std::size_t i = 0; i < trace.targets.size(); ++i) {
        const NodePorts ports = portsOf(firstPort, i);
        options.push_back({i, ports.target(), ports.targetCalls(), targetAttempts});
    }
    return runTargets(trace, NodePorts::at(firstPort + 1), options);
}

} // namespace chive::load
