#include <Harness/Mesh.h>
#include <Harness/Ports.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace chive;

TEST_CASE("The harness runs processes and reads what their targets ran")
{
    Mesh mesh;
    Caller &caller = mesh.caller();
    MemberSpec spec;
    spec.name = "ledger-1";
    spec.service = "ledger";
    spec.isTargetProxied = true;
    RunningMember &member = mesh.add(spec);
    REQUIRE(caller.waitUntil([&] { return caller.get(member.target, "/health").isWhole; }));
    REQUIRE(caller.get(member.target, "/a").status() == 200);

    SUBCASE("which survives a kill of the target")
    {
        caller.start(member.target, {"GET", "/b?service_ms=60000", {}, nullptr},
                     [](const CallResult &result) { CHECK_FALSE(result.isWhole); });
        REQUIRE(caller.waitUntil([&] { return Mesh::executions(member).size() == 2; }));
        member.targetProcess.kill();
        REQUIRE(caller.waitUntil([&] { return caller.inFlight() == 0; }));
        mesh.startTarget(member);
        REQUIRE(caller.waitUntil([&] { return caller.get(member.target, "/c").isWhole; }));
        const auto records = Mesh::executions(member);
        REQUIRE(records.size() == 3);
        CHECK(records[0].end == RunEnd::Answered);
        CHECK(records[1].end == RunEnd::Running);
        CHECK(records[2].path == "/c");
    }

    SUBCASE("and freezes and thaws them")
    {
        member.targetProcess.freeze();
        bool isAnswered = false;
        caller.start(member.target, {"GET", "/b", {}, nullptr},
                     [&](const CallResult &result) { isAnswered = result.isWhole; });
        caller.wait(Milliseconds(100));
        CHECK_FALSE(isAnswered);
        member.targetProcess.thaw();
        CHECK(caller.waitUntil([&] { return isAnswered; }));
    }

    SUBCASE("and stands proxies before them")
    {
        CHECK(caller.control(member.targetProxy, {{"cut_all", true}}).at("connections") == 0);
    }
}
