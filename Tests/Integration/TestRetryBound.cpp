#include <Harness/Mesh.h>
#include <Integration/ReleaseNotes.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace chive;

namespace {

constexpr int retries = 4;
constexpr int nestedCalls = 40;
/// The caller's request itself, its nested calls and all repetitions.
constexpr int mostRunsPerRequest = 1 + nestedCalls + retries;
constexpr int requestCount = 12;
constexpr int attemptsOfCaller = 4;
constexpr int attemptsOfTarget = 4;
const std::vector<std::string> chain{"a", "b", "c", "d", "e"};

} // namespace

TEST_CASE("Runs for one request stay bounded over a deep chain of calls whose end fails")
{
    std::string callHeader;
    SUBCASE("with targets that copy the Chive-Call header")
    {
        callHeader = "copy";
    }
    SUBCASE("with targets that drop it")
    {
        callHeader = "drop";
    }
    SUBCASE("with targets that forge it")
    {
        callHeader = "forge";
    }
    SUBCASE("with targets that repeat an old one")
    {
        callHeader = "repeat";
    }
    CAPTURE(callHeader);
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", chain, retries, nestedCalls));
    std::vector<RunningMember *> members;
    for (std::size_t depth = 0; depth < chain.size(); ++depth) {
        for (const char *which : {"1", "2"}) {
            MemberSpec spec;
            spec.name = chain[depth] + which;
            spec.service = chain[depth];
            spec.slots = 64;
            spec.serviceTime = Milliseconds(2);
            if (depth + 1 < chain.size()) {
                const std::string next = chain[depth + 1];
                spec.calls = {next + "/read/left", next + "/read/right"};
            }
            members.push_back(&mesh.add(spec));
        }
    }
    for (RunningMember *member : members)
        REQUIRE(mesh.waitUntilAnswered(*member, "/e/read/ready"));
    REQUIRE(mesh.waitUntilAnswered(*members[0], "/a/read/ready"));
    Caller &caller = mesh.caller();
    for (RunningMember *member : members) {
        caller.control(member->target,
                       {{"call_header", callHeader}, {"nested_attempts", attemptsOfTarget}});
        if (member->spec.service == chain.back())
            caller.control(member->target, {{"fail_status", 503}, {"slow_factor", 10}});
    }
    const std::size_t runsBefore = mesh.executions().size();

    int sent = 0;
    for (int attempt = 0; attempt < attemptsOfCaller; ++attempt) {
        for (int request = 0; request < requestCount; ++request) {
            const std::string id
                    = "storm-" + std::to_string(request) + "-" + std::to_string(attempt);
            caller.start(members[0]->callers,
                         {"GET", "/a/read/" + id, {{"Chive-Request-Id", id}}, nullptr},
                         [](const CallResult &result) { CHECK(result.status() != 200); });
            ++sent;
        }
        REQUIRE(caller.waitUntil([&] { return caller.inFlight() == 0; }));
    }
    caller.wait(Milliseconds(500));

    const auto records = mesh.executions();
    std::map<std::string, int> runsOfRequest;
    int most = 0;
    for (const RunRecord &record : records) {
        if (record.requestId.starts_with("storm-"))
            most = std::max(most, ++runsOfRequest[record.requestId]);
    }
    const std::size_t total = records.size() - runsBefore;
    MESSAGE(callHeader, ": requests ", sent, ", runs ", total, ", most for one request ", most);
    CHECK(total >= static_cast<std::size_t>(sent));
    CHECK(total <= static_cast<std::size_t>(sent) * mostRunsPerRequest);
    if (callHeader == "copy")
        CHECK(most <= mostRunsPerRequest);
}
