#include <Harness/Mesh.h>

#include <Harness/Ports.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include <fstream>
#include <map>
#include <sstream>
#include <utility>

namespace chive {

namespace {

constexpr Milliseconds startLimit{10'000};

/// Lowers the limit that child processes inherit while it is in scope; 0 leaves it as it is.
class ChildDescriptorLimit
{
public:
    explicit ChildDescriptorLimit(std::size_t most)
    {
        getrlimit(RLIMIT_NOFILE, &previous_);
        if (most == 0)
            return;
        const rlimit lowered{most, previous_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~ChildDescriptorLimit() { setrlimit(RLIMIT_NOFILE, &previous_); }
    ChildDescriptorLimit(const ChildDescriptorLimit &) = delete;
    ChildDescriptorLimit &operator=(const ChildDescriptorLimit &) = delete;

private:
    rlimit previous_{};
};

std::string joined(const std::vector<std::string> &parts)
{
    std::string text;
    for (const std::string &part : parts)
        text += (text.empty() ? "" : ",") + part;
    return text;
}

std::string settingsText(const RunningMember &member, const Endpoint &log)
{
    std::ostringstream text;
    const MemberSpec &spec = member.spec;
    text << "node_id = \"" << spec.name << "\"\ndata_centre = \"" << spec.dataCentre
         << "\"\nregion = \"" << spec.region << "\"\n\n[endpoints]\ncallers = \""
         << format(member.callers) << "\"\ntarget_calls = \"" << format(member.targetCalls)
         << "\"\nlinks = \"" << format(member.links) << "\"\nadmin = \"" << format(member.admin)
         << "\"\n";
    if (spec.hasReady)
        text << "ready = \"" << format(member.ready) << "\"\n";
    text << "\n[log]\nendpoint = \"" << format(log) << "\"\n\n[mesh]\npeers = [";
    for (const Endpoint &peer : spec.peers)
        text << '"' << format(peer) << "\", ";
    text << "]\n\n[limits]\ndrain_timeout_ms = " << spec.drainTimeout.count() << "\n"
         << spec.moreSettings;
    return text.str();
}

/// The last state of each run in one file; a line that a crash cut short is passed over.
std::vector<RunRecord> readRecords(const std::string &file)
{
    std::map<std::uint64_t, RunRecord> bySequence;
    std::ifstream stream(file);
    for (std::string line; std::getline(stream, line);) {
        const auto json = nlohmann::json::parse(line, nullptr, false);
        if (!json.is_object())
            continue;
        RunRecord record = parseRunRecord(json);
        const std::uint64_t sequence = record.sequence;
        bySequence[sequence] = std::move(record);
    }
    std::vector<RunRecord> records;
    for (auto &[sequence, record] : bySequence)
        records.push_back(std::move(record));
    return records;
}

} // namespace

Mesh::Mesh()
    : logEndpoint_(freeEndpoint())
{}

void Mesh::startLog(const std::vector<std::string> &moreArguments)
{
    std::vector<std::string> arguments{"log", "--listen=" + format(logEndpoint_)};
    arguments.insert(arguments.end(), moreArguments.begin(), moreArguments.end());
    log_ = Process(CHIVE_STAND_IN_PROGRAM, arguments, workspace_.pathOf("log.log"));
    REQUIRE(caller_.waitUntil([this] { return caller_.get(logEndpoint_, "/control").isWhole; },
                              startLimit));
}

RunningMember &Mesh::add(MemberSpec spec)
{
    RunningMember &member = members_.emplace_back();
    member.spec = std::move(spec);
    member.callers = freeEndpoint();
    member.targetCalls = freeEndpoint();
    member.links = freeEndpoint();
    member.admin = freeEndpoint();
    member.ready = freeEndpoint();
    member.target = freeEndpoint();
    Endpoint log = logEndpoint_;
    if (member.spec.isLogProxied) {
        log = freeEndpoint();
        member.logProxy = freeEndpoint();
        member.logProxyProcess
                = startProxy(member.spec.name + "-log-proxy", log, logEndpoint_, member.logProxy);
    }
    member.settingsFile = workspace_.write(member.spec.name + ".toml", settingsText(member, log));
    startNode(member);
    if (member.spec.hasTarget)
        startTarget(member);
    return member;
}

void Mesh::startNode(RunningMember &member)
{
    const ChildDescriptorLimit limit(member.spec.maximumDescriptors);
    member.node = Process(CHIVE_NODE_PROGRAM, {"node", "--settings=" + member.settingsFile},
                          workspace_.pathOf(member.spec.name + "-node.log"));
}

void Mesh::startTarget(RunningMember &member)
{
    const MemberSpec &spec = member.spec;
    member.executionFiles.push_back(workspace_.pathOf(
            spec.name + "-" + std::to_string(member.executionFiles.size()) + ".jsonl"));
    std::vector<std::string> arguments{"target",
                                       "--service=" + spec.service,
                                       "--listen=" + format(member.target),
                                       "--node=" + format(member.targetCalls),
                                       "--slots=" + std::to_string(spec.slots),
                                       "--service-time-ms="
                                               + std::to_string(spec.serviceTime.count()),
                                       "--seed=" + std::to_string(testSeed()),
                                       "--executions=" + member.executionFiles.back()};
    if (!spec.calls.empty())
        arguments.push_back("--calls=" + joined(spec.calls));
    if (spec.isTargetProxied) {
        const Endpoint announced = freeEndpoint();
        member.targetProxy = freeEndpoint();
        member.targetProxyProcess = startProxy(spec.name + "-target-proxy", announced,
                                               member.target, member.targetProxy);
        arguments.push_back("--announce=" + format(announced));
    }
    member.targetProcess = Process(CHIVE_STAND_IN_PROGRAM, arguments,
                                   workspace_.pathOf(spec.name + "-target.log"));
}

Process Mesh::startProxy(const std::string &name, const Endpoint &listen, const Endpoint &server,
                         const Endpoint &control)
{
    Process process(CHIVE_PROXY_PROGRAM,
                    {"--listen=" + format(listen), "--to=" + format(server),
                     "--control=" + format(control), "--seed=" + std::to_string(testSeed())},
                    workspace_.pathOf(name + ".log"));
    REQUIRE(caller_.waitUntil([&] { return caller_.get(control, "/control").isWhole; },
                              startLimit));
    return process;
}

Endpoint Mesh::addProxy(const std::string &name, const Endpoint &server)
{
    FreeProxy &proxy = proxies_.emplace_back();
    proxy.listen = freeEndpoint();
    proxy.control = freeEndpoint();
    proxy.process = startProxy(name, proxy.listen, server, proxy.control);
    return proxy.listen;
}

Endpoint Mesh::controlOf(const Endpoint &proxy) const
{
    for (const FreeProxy &one : proxies_) {
        if (one.listen == proxy)
            return one.control;
    }
    FAIL("no such proxy");
    return {};
}

Process Mesh::startProbe(const std::vector<std::string> &arguments, const std::string &outputFile)
{
    return {CHIVE_PROBE_PROGRAM, arguments, outputFile};
}

void Mesh::publish(std::string_view id, std::string_view buildsOn, std::string_view toml)
{
    const nlohmann::json record = {{"type", "note"},
                                   {"id", id},
                                   {"builds_on", buildsOn},
                                   {"author", "test"},
                                   {"toml", toml}};
    const CallResult result = caller_.call(
            logEndpoint_, {"POST", "/streams/notes/records", {}, makeBody(record.dump())});
    REQUIRE(result.status() == 201);
}

bool Mesh::waitUntilAnswered(const RunningMember &member, const std::string &path,
                             Milliseconds limit)
{
    return caller_.waitUntil([&] { return caller_.get(member.callers, path).isAnswer(); }, limit);
}

std::vector<RunRecord> Mesh::executions(const RunningMember &member)
{
    std::vector<RunRecord> all;
    for (const std::string &file : member.executionFiles) {
        auto records = readRecords(file);
        all.insert(all.end(), records.begin(), records.end());
    }
    return all;
}

std::vector<RunRecord> Mesh::executions() const
{
    std::vector<RunRecord> all;
    for (const RunningMember &member : members_) {
        auto records = executions(member);
        all.insert(all.end(), records.begin(), records.end());
    }
    return all;
}

} // namespace chive
