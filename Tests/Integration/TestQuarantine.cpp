#include <Harness/Mesh.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace chive;

namespace {

constexpr std::string_view ledgerNote = R"(
id = "first"
builds_on = ""
author = "test"

[[added]]
service = "ledger"
slots = 16
connections = 200

[[added.kinds]]
name = "unit-read"
method = "GET"
path_prefix = "/units/"
importance = "normal"
repetition = "idempotent"
duration = "short"
deadline_ms = 5000
retries = 2
nested_calls = 8
)";

constexpr std::string_view killer = "/ledger/units/killer";

std::size_t runsOf(const Mesh &mesh, std::string_view path)
{
    std::size_t count = 0;
    for (const RunRecord &record : mesh.executions())
        count += record.path.find(path) != std::string::npos ? 1 : 0;
    return count;
}

void armTarget(Caller &caller, const RunningMember &member)
{
    REQUIRE(caller.waitUntil([&] { return caller.get(member.target, "/health").isWhole; }));
    caller.control(member.target, {{"crash_marker", "killer"}});
}

bool isAnswered(Caller &caller, const RunningMember &entry, const std::string &path)
{
    const CallResult result = caller.get(entry.callers, path);
    return result.isAnswer() && result.status() == 200;
}

} // namespace

TEST_CASE("A request that crashes its targets is stopped after two, and those beside it are not")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", ledgerNote);
    Caller &caller = mesh.caller();
    MemberSpec entrySpec;
    entrySpec.name = "entry";
    entrySpec.service = "ledger";
    entrySpec.hasTarget = false;
    RunningMember &entry = mesh.add(entrySpec);
    for (const char *name : {"ledger-1", "ledger-2", "ledger-3", "ledger-4"}) {
        MemberSpec spec;
        spec.name = name;
        spec.service = "ledger";
        spec.slots = 16;
        armTarget(caller, mesh.add(spec));
    }
    REQUIRE(mesh.waitUntilAnswered(entry, "/ledger/units/0"));
    // All four targets are known once each has run something.
    REQUIRE(caller.waitUntil([&] {
        isAnswered(caller, entry, "/ledger/units/0");
        for (const RunningMember &member : mesh.members()) {
            if (member.spec.hasTarget && Mesh::executions(member).empty())
                return false;
        }
        return true;
    }));

    // Innocent requests run beside it when the first target crashes.
    std::size_t ended = 0;
    constexpr std::size_t innocents = 24;
    for (std::size_t number = 0; number < innocents; ++number) {
        const std::string path
                = "/ledger/units/innocent-" + std::to_string(number) + "?service_ms=700";
        caller.start(entry.callers, {"GET", path, {}, nullptr},
                     [&](const CallResult &) { ++ended; });
    }
    caller.wait(Milliseconds(200));

    // Its caller sends it again and again.
    std::size_t quarantined = 0;
    for (int attempt = 0; attempt < 40; ++attempt) {
        const CallResult result = caller.get(entry.callers, std::string(killer));
        CHECK_FALSE(result.isAnswer());
        quarantined += result.reason() == "quarantined" ? 1 : 0;
        caller.wait(Milliseconds(100));
    }
    CHECK(runsOf(mesh, "/units/killer") <= 2);
    CHECK(quarantined > 0);

    // The targets that crashed start again, and what ran beside it runs well.
    for (RunningMember &member : mesh.members()) {
        if (!member.spec.hasTarget || member.targetProcess.isRunning())
            continue;
        mesh.startTarget(member);
        armTarget(caller, member);
    }
    REQUIRE(caller.waitUntil([&] { return ended == innocents; }));
    for (std::size_t number = 0; number < innocents; ++number) {
        const std::string path
                = "/ledger/units/innocent-" + std::to_string(number) + "?service_ms=700";
        CHECK(caller.waitUntil([&] { return isAnswered(caller, entry, path); }));
    }
    caller.get(entry.callers, std::string(killer));
    CHECK(runsOf(mesh, "/units/killer") <= 2);
}
