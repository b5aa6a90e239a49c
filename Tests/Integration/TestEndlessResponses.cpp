#include <Harness/Mesh.h>
#include <Integration/ReleaseNotes.h>

#include <doctest/doctest.h>

#include <cstddef>
#include <string>

using namespace chive;

namespace {

/// Of the smallest machines of the users' deployments.
constexpr std::size_t memory = 160'000'000;
constexpr int leastFailure = 500;

/// The limits of the deployed nodes on such a machine.
const std::string limits = "maximum_body_bytes = 67108864\n"
                           "maximum_held_bytes = 100663296\n"
                           "memory_mb = 160\n";

} // namespace

TEST_CASE("A node outlives a target that sends responses without end")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", {"vault"}));
    MemberSpec entrySpec;
    entrySpec.name = "entry";
    entrySpec.hasTarget = false;
    entrySpec.moreSettings = limits;
    RunningMember &entry = mesh.add(entrySpec);
    MemberSpec spec;
    spec.name = "vault";
    spec.hasTarget = false;
    spec.moreSettings = limits;
    RunningMember &vault = mesh.add(spec);
    const std::string executions = mesh.workspace().pathOf("vault.jsonl");
    const Process target(CHIVE_STAND_IN_PROGRAM,
                         {"cutting-target", "--service=vault", "--listen=" + format(vault.target),
                          "--node=" + format(vault.targetCalls), "--slots=64", "--connections=200",
                          "--executions=" + executions},
                         mesh.workspace().pathOf("vault-target.log"));
    REQUIRE(mesh.waitUntilAnswered(vault, "/vault/read/ready"));
    REQUIRE(mesh.waitUntilAnswered(entry, "/vault/read/ready"));

    for (const std::string kind : {"chunks", "head", "response"}) {
        for (const int atOnce : {2, 60}) {
            CAPTURE(kind);
            CAPTURE(atOnce);
            int ended = 0;
            for (int i = 0; i < atOnce; ++i) {
                const std::string path = "/vault/write/" + std::to_string(i) + "?endless=" + kind;
                mesh.caller().start(entry.callers, {"POST", path, {}, nullptr},
                                    [&](const CallResult &result) {
                                        ++ended;
                                        CHECK(result.status() >= leastFailure);
                                        CHECK(result.execution() == Execution::MayHaveRun);
                                    });
            }
            int answered = 0;
            int sent = 0;
            CHECK(mesh.caller().waitUntil([&] {
                answered
                        += mesh.caller().get(entry.callers, "/vault/read/sound").isAnswer() ? 1 : 0;
                ++sent;
                return ended == atOnce;
            }));
            CHECK(answered == sent);
        }
    }
    CHECK(vault.node.isRunning());
    CHECK(vault.node.peakMemory() > 0);
    CHECK(vault.node.peakMemory() <= memory);
    CHECK(entry.node.peakMemory() <= memory);
}
