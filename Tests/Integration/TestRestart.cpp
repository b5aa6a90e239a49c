#include <Harness/Mesh.h>
#include <Integration/ReleaseNotes.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace chive;

namespace {

RunningMember &addLedger(Mesh &mesh, const std::string &name, const std::string &dataCentre,
                         const std::vector<Endpoint> &peers)
{
    MemberSpec spec;
    spec.name = name;
    spec.service = "ledger";
    spec.dataCentre = dataCentre;
    spec.peers = peers;
    return mesh.add(spec);
}

} // namespace

TEST_CASE("The mesh comes back by itself")
{
    Mesh mesh;
    Caller &caller = mesh.caller();

    SUBCASE("after a start with the log down")
    {
        RunningMember &first = addLedger(mesh, "ledger-0", "north", {});
        addLedger(mesh, "ledger-1", "south", {});
        REQUIRE(caller.waitUntil([&] {
            return caller.get(first.callers, "/ledger/read/x").execution() == Execution::NotRun;
        }));
        caller.wait(Milliseconds(1000));
        CHECK(mesh.executions().empty());
        mesh.startLog();
        mesh.publish("first", "", releaseNote("first", {"ledger"}));
        for (RunningMember &member : mesh.members())
            CHECK(mesh.waitUntilAnswered(member, "/ledger/read/x"));
    }

    SUBCASE("after faults in a mesh that served")
    {
        mesh.startLog();
        mesh.publish("first", "", releaseNote("first", {"ledger"}));
        RunningMember &first = addLedger(mesh, "ledger-0", "north", {});
        RunningMember &second = addLedger(mesh, "ledger-1", "north", {first.links});
        RunningMember &third = addLedger(mesh, "ledger-2", "south", {first.links});
        for (RunningMember &member : mesh.members())
            REQUIRE(mesh.waitUntilAnswered(member, "/ledger/read/x"));

        SUBCASE("a node restarted while the log is down learns from its peers")
        {
            caller.control(mesh.log(), {{"outage", "refuse"}});
            second.node.kill();
            mesh.startNode(second);
            CHECK(mesh.waitUntilAnswered(second, "/ledger/read/x"));
        }

        SUBCASE("a whole data centre paused and back")
        {
            for (Process *process :
                 {&first.node, &first.targetProcess, &second.node, &second.targetProcess})
                process->freeze();
            CHECK(mesh.waitUntilAnswered(third, "/ledger/read/x"));
            caller.wait(Milliseconds(5000));
            CHECK(mesh.waitUntilAnswered(third, "/ledger/read/x"));
            for (Process *process :
                 {&first.node, &first.targetProcess, &second.node, &second.targetProcess})
                process->thaw();
            for (RunningMember &member : mesh.members())
                CHECK(mesh.waitUntilAnswered(member, "/ledger/read/x"));
            // Without its own target, only the data centre that was paused can answer.
            third.targetProcess.kill();
            const auto before = Mesh::executions(first).size() + Mesh::executions(second).size();
            CHECK(mesh.waitUntilAnswered(third, "/ledger/read/x"));
            CHECK(Mesh::executions(first).size() + Mesh::executions(second).size() > before);
        }

        SUBCASE("everything restarted at once")
        {
            for (RunningMember &member : mesh.members()) {
                member.node.kill();
                member.targetProcess.kill();
            }
            for (RunningMember &member : mesh.members()) {
                mesh.startNode(member);
                mesh.startTarget(member);
            }
            for (RunningMember &member : mesh.members())
                CHECK(mesh.waitUntilAnswered(member, "/ledger/read/x"));
        }
    }
}
