#pragma once

#include <Harness/Caller.h>
#include <Harness/Process.h>
#include <Harness/Workspace.h>
#include <LibCore/Clock.h>
#include <LibSettings/Settings.h>
#include <StandIns/Executions.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// A node and the target beside it, as a test wants them.
struct MemberSpec
{
    std::string name; ///< Also the node's id.
    std::string service;
    std::string dataCentre = "north";
    std::string region = "central";
    std::uint32_t slots = 8;
    Milliseconds serviceTime{1};
    std::vector<std::string> calls; ///< "SERVICE/PATH", made by each run of the target.
    bool isTargetProxied = false;   ///< A fault proxy between node and target.
    bool isLogProxied = false;      ///< A fault proxy between node and log.
    std::vector<Endpoint> peers;    ///< Settings `mesh.peers`.
    Milliseconds drainTimeout{30'000};
    std::string moreSettings;           ///< TOML appended to the node's settings.
    bool hasTarget = true;              ///< False for a node that only takes callers' requests.
    bool hasReady = false;              ///< The node answers readiness checks.
    std::size_t maximumDescriptors = 0; ///< Limit of the node's process; 0: that of the test.
};

/// A running node and its target, with the endpoints to reach and to disturb them.
struct RunningMember
{
    MemberSpec spec;
    Endpoint callers;
    Endpoint targetCalls;
    Endpoint links;
    Endpoint admin;
    Endpoint ready;       ///< Where the node answers readiness checks, if it does.
    Endpoint target;      ///< Where the target listens; its /control is here.
    Endpoint targetProxy; ///< /control of the proxy before the target.
    Endpoint logProxy;    ///< /control of the proxy before the log.
    std::string settingsFile;
    std::vector<std::string> executionFiles; ///< One for each start of the target.
    Process targetProxyProcess;
    Process logProxyProcess;
    Process node;
    Process targetProcess;
};

/// A log, nodes and targets as real processes on loopback.
class Mesh
{
public:
    Mesh();

    [[nodiscard]] Caller &caller() { return caller_; }
    [[nodiscard]] const Workspace &workspace() const { return workspace_; }
    [[nodiscard]] const Endpoint &log() const { return logEndpoint_; }
    [[nodiscard]] Process &logProcess() { return log_; }
    void startLog(const std::vector<std::string> &moreArguments = {});

    /// Starts a member; references stay valid.
    RunningMember &add(MemberSpec spec);
    void startNode(RunningMember &member);
    void startTarget(RunningMember &member);
    [[nodiscard]] std::list<RunningMember> &members() { return members_; }

    /// Starts a fault proxy before any server; returns where it listens.
    [[nodiscard]] Endpoint addProxy(const std::string &name, const Endpoint &server);
    /// The /control endpoint of a proxy from `addProxy`.
    [[nodiscard]] Endpoint controlOf(const Endpoint &proxy) const;

    /// Starts the latency probe.
    [[nodiscard]] static Process startProbe(const std::vector<std::string> &arguments,
                                            const std::string &outputFile);

    /// Appends a release note to the log stream `notes`.
    void publish(std::string_view id, std::string_view buildsOn, std::string_view toml);

    /// Waits until `GET path` at this node is answered by a target; false when it is not in time.
    bool waitUntilAnswered(const RunningMember &member, const std::string &path,
                           Milliseconds limit = Milliseconds(20'000));

    /// What the targets of a member began since its first start, crashes and restarts included.
    [[nodiscard]] static std::vector<RunRecord> executions(const RunningMember &member);
    /// The same of all members.
    [[nodiscard]] std::vector<RunRecord> executions() const;

private:
    Process startProxy(const std::string &name, const Endpoint &listen, const Endpoint &server,
                       const Endpoint &control);

    Workspace workspace_;
    Caller caller_;
    Endpoint logEndpoint_;
    Process log_;
    std::list<RunningMember> members_;
    struct FreeProxy
    {
        Endpoint listen;
        Endpoint control;
        Process process;
    };
    std::list<FreeProxy> proxies_;
};

} // namespace chive
