#include <Harness/Mesh.h>
#include <Integration/ReleaseNotes.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace chive;

namespace {

constexpr int targetCount = 3;
constexpr int callsPerFault = 40;
constexpr std::size_t bodySize = 20'000;

/// How every call of the test ended, by its unique path below the service.
using Results = std::map<std::string, CallResult>;

std::map<std::string, int> countRuns(const Mesh &mesh)
{
    std::map<std::string, int> runs;
    for (const RunRecord &record : mesh.executions())
        ++runs[record.path];
    return runs;
}

/// Keeps calls coming at an even pace: guarded ones with a body, and idempotent ones.
class Load
{
public:
    Load(Mesh &mesh, const RunningMember &entry)
        : mesh_(mesh)
        , entry_(entry)
        , random_(testSeed())
    {}

    void send(int count)
    {
        for (int i = 0; i < count; ++i) {
            sendOne();
            mesh_.caller().wait(Milliseconds(5));
        }
    }

    [[nodiscard]] const Results &results() const { return results_; }

private:
    void sendOne()
    {
        const bool isWrite = random_() % 3 != 0;
        const std::string path = (isWrite ? "/write/" : "/read/") + std::to_string(next_++)
                                 + "?service_ms=" + std::to_string(random_() % 40);
        HttpRequest request{isWrite ? "POST" : "GET", "/ledger" + path, {}, nullptr};
        if (isWrite)
            request.body = makeBody(std::string(bodySize, 'x'));
        mesh_.caller().start(entry_.callers, request, [this, path](CallResult result) {
            results_[path] = std::move(result);
        });
    }

    Mesh &mesh_;
    const RunningMember &entry_;
    std::mt19937_64 random_;
    int next_ = 0;
    Results results_;
};

} // namespace

TEST_CASE("A refusal that says not-run is held against what the targets ran")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", {"ledger"}));
    MemberSpec entrySpec;
    entrySpec.name = "entry";
    entrySpec.hasTarget = false;
    RunningMember &entry = mesh.add(entrySpec);
    std::vector<RunningMember *> targets;
    for (int i = 0; i < targetCount; ++i) {
        MemberSpec spec;
        spec.name = "ledger-" + std::to_string(i);
        spec.service = "ledger";
        spec.slots = 4;
        spec.isTargetProxied = true;
        targets.push_back(&mesh.add(spec));
    }
    for (RunningMember *member : targets)
        REQUIRE(mesh.waitUntilAnswered(*member, "/ledger/read/ready"));
    REQUIRE(mesh.waitUntilAnswered(entry, "/ledger/read/ready"));
    Caller &caller = mesh.caller();
    Load load(mesh, entry);

    // Requests cut on their way to the target, at its first bytes and in the middle of the body.
    for (const int bytes : {0, 100, 10'000}) {
        caller.control(targets[0]->targetProxy,
                       {{"connections_to_cut", 5}, {"up", {{"cut_after", bytes}}}});
        load.send(callsPerFault);
    }
    // Answers swallowed after the effect, and cut in the middle.
    for (const int bytes : {0, 100}) {
        caller.control(targets[1]->targetProxy,
                       {{"connections_to_cut", 5}, {"down", {{"cut_after", bytes}}}});
        load.send(callsPerFault);
    }
    // No connections to one target, and all of another cut at once.
    caller.control(targets[0]->targetProxy, {{"refuse", true}, {"cut_all", true}});
    caller.control(targets[2]->targetProxy, {{"cut_all", true}});
    load.send(callsPerFault);
    caller.control(targets[0]->targetProxy, {{"refuse", false}});
    // A target killed with requests on it; a node killed; a node paused for longer than a lease.
    targets[1]->targetProcess.kill();
    load.send(callsPerFault);
    mesh.startTarget(*targets[1]);
    targets[0]->node.kill();
    load.send(callsPerFault);
    mesh.startNode(*targets[0]);
    targets[2]->node.freeze();
    load.send(callsPerFault);
    caller.wait(Milliseconds(3500));
    targets[2]->node.thaw();
    load.send(callsPerFault);
    // Every target gone: nothing may run, and nothing may be said to have run.
    for (RunningMember *member : targets)
        member->targetProcess.kill();
    load.send(callsPerFault);
    // Nobody listens where the targets were announced; then their leases have ended.
    for (RunningMember *member : targets)
        member->targetProxyProcess.kill();
    load.send(callsPerFault);
    caller.wait(Milliseconds(4000));
    load.send(callsPerFault);

    REQUIRE(caller.waitUntil([&] { return caller.inFlight() == 0; }));
    // Work that a refused call left behind would begin by now.
    caller.wait(Milliseconds(1000));
    const auto runs = countRuns(mesh);
    std::map<std::string, int> counted;
    int refusedAsNotRun = 0;
    for (const auto &ended : load.results()) {
        const std::string &path = ended.first;
        const CallResult &result = ended.second;
        CAPTURE(path);
        CAPTURE(std::string(result.reason()));
        const auto found = runs.find(path);
        const int count = found == runs.end() ? 0 : found->second;
        REQUIRE(result.isWhole);
        REQUIRE(result.execution().has_value());
        ++counted[std::string(nameOf(*result.execution())) + " " + std::string(result.reason())];
        if (result.execution() == Execution::NotRun) {
            ++refusedAsNotRun;
            CHECK(count == 0);
        }
        if (result.isAnswer())
            CHECK(count >= 1);
        if (path.starts_with("/write/"))
            CHECK(count <= 1);
    }
    for (const auto &[what, count] : counted)
        MESSAGE(what, ": ", count);
    CHECK(counted["has-run "] > 0);
    CHECK(counted["may-have-run target-failed"] > 0);
    // The last round alone can get nothing else.
    CHECK(refusedAsNotRun >= callsPerFault);
}
