#include <Harness/Mesh.h>
#include <Integration/ReleaseNotes.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace chive;

namespace {

constexpr int targetCount = 4;
constexpr int attemptsOfCaller = 12;
constexpr int mostCrashes = 2;

} // namespace

TEST_CASE("A request that crashes its target is stopped after two targets")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", {"ledger"}));
    std::vector<RunningMember *> members;
    for (int i = 0; i < targetCount; ++i) {
        MemberSpec spec;
        spec.name = "ledger-" + std::to_string(i);
        spec.service = "ledger";
        members.push_back(&mesh.add(spec));
    }
    Caller &caller = mesh.caller();
    for (RunningMember *member : members) {
        REQUIRE(mesh.waitUntilAnswered(*member, "/ledger/read/ready"));
        caller.control(member->target, {{"crash_marker", "poison"}});
    }

    int refusedAsQuarantined = 0;
    for (int attempt = 0; attempt < attemptsOfCaller; ++attempt) {
        const RunningMember &entry = *members[attempt % targetCount];
        const CallResult result = caller.get(entry.callers, "/ledger/read/poison");
        REQUIRE(result.isWhole);
        refusedAsQuarantined += result.reason() == "quarantined" ? 1 : 0;
        caller.wait(Milliseconds(200));
        for (RunningMember *member : members) {
            if (member->targetProcess.isRunning())
                continue;
            mesh.startTarget(*member);
            REQUIRE(caller.waitUntil(
                    [&] { return caller.get(member->target, "/health").isWhole; }));
            caller.control(member->target, {{"crash_marker", "poison"}});
        }
    }

    int crashes = 0;
    for (const RunRecord &record : mesh.executions())
        crashes += record.path == "/read/poison" ? 1 : 0;
    MESSAGE("crashes: ", crashes, " refused as quarantined: ", refusedAsQuarantined);
    CHECK(crashes >= 1);
    CHECK(crashes <= mostCrashes);
    CHECK(refusedAsQuarantined > 0);
    for (RunningMember *member : members)
        CHECK(mesh.waitUntilAnswered(*member, "/ledger/read/innocent"));
}
