#include <Harness/Mesh.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <map>

using namespace chive;

namespace {

constexpr Milliseconds commandLimit{20'000};

/// Runs `status --json` at a node; whether each member was reached, by its id.
std::map<std::string, bool> reachedFrom(Mesh &mesh, const RunningMember &member)
{
    static int count = 0;
    const std::string output = mesh.workspace().pathOf("status-" + std::to_string(++count));
    Process command(CHIVE_NODE_PROGRAM, {"status", "--json", "--settings=" + member.settingsFile},
                    output);
    REQUIRE(command.waitForEnd(commandLimit) == 0);
    std::map<std::string, bool> reached;
    const auto report = nlohmann::json::parse(std::ifstream(output));
    for (const auto &entry : report.at("mesh"))
        reached[entry.at("node_id")] = entry.at("reached");
    return reached;
}

} // namespace

TEST_CASE("One node is enough to ask for the state of the mesh")
{
    Mesh mesh;
    mesh.startLog();
    for (const char *name : {"a", "b", "c"}) {
        MemberSpec spec;
        spec.name = name;
        spec.hasTarget = false;
        mesh.add(spec);
    }
    const std::map<std::string, bool> all{{"a", true}, {"b", true}, {"c", true}};
    RunningMember &asked = mesh.members().front();
    Caller &caller = mesh.caller();
    REQUIRE(caller.waitUntil([&] { return caller.get(asked.admin, "/healthz").status() == 200; }));
    REQUIRE(caller.waitUntil([&] { return reachedFrom(mesh, asked) == all; }));

    SUBCASE("a member that does not answer is shown as not reached")
    {
        mesh.members().back().node.freeze();
        const std::map<std::string, bool> reached = reachedFrom(mesh, asked);
        CHECK(reached.at("b"));
        CHECK_FALSE(reached.at("c"));
    }
}
