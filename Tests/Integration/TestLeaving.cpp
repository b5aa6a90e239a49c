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
deadline_ms = 20000
retries = 2
nested_calls = 8
)";

constexpr Milliseconds allowedForNews{2'000};

MemberSpec ledger(const std::string &name)
{
    MemberSpec spec;
    spec.name = name;
    spec.service = "ledger";
    spec.slots = 16;
    spec.serviceTime = Milliseconds(20);
    return spec;
}

/// Keeps a light load on the mesh and counts what is neither an answer nor a truthful refusal.
struct Load
{
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t broken = 0;

    void sendFor(Caller &caller, const Endpoint &entry, Milliseconds duration)
    {
        const TimePoint end = SystemClock().now() + duration;
        while (SystemClock().now() < end) {
            caller.start(entry, {"GET", "/ledger/units/1", {}, nullptr},
                         [this](const CallResult &result) { count(result); });
            caller.wait(Milliseconds(10));
        }
    }

    void count(const CallResult &result)
    {
        if (result.isAnswer() && result.status() == 200)
            ++answered;
        else if (result.execution() == Execution::NotRun)
            ++refused;
        else
            ++broken;
    }
};

std::size_t begunAfter(const RunningMember &member, WallTime time)
{
    std::size_t count = 0;
    for (const RunRecord &record : Mesh::executions(member))
        count += record.started > time ? 1 : 0;
    return count;
}

bool isPlacedOn(const RunningMember &member, std::string_view path)
{
    for (const RunRecord &record : Mesh::executions(member)) {
        if (record.path.find(path) != std::string::npos)
            return true;
    }
    return false;
}

/// What one node holds of another, as its status says.
std::string stateOf(Caller &caller, const RunningMember &observer, std::string_view nodeId)
{
    const CallResult status = caller.get(observer.admin, "/status");
    if (status.status() != 200)
        return {};
    const nlohmann::json report = status.json();
    for (const auto &member : report.at("members")) {
        if (member.at("node_id").get<std::string>() == nodeId)
            return member.at("state").get<std::string>();
    }
    return {};
}

} // namespace

TEST_CASE("A target that leaves takes no new work after two seconds and loses none")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", ledgerNote);
    Caller &caller = mesh.caller();
    MemberSpec entrySpec = ledger("entry");
    entrySpec.hasTarget = false;
    RunningMember &entry = mesh.add(entrySpec);
    MemberSpec leaverSpec = ledger("ledger-1");
    leaverSpec.isLogProxied = true;
    RunningMember &leaver = mesh.add(leaverSpec);
    mesh.add(ledger("ledger-2"));
    mesh.add(ledger("ledger-3"));
    REQUIRE(mesh.waitUntilAnswered(entry, "/ledger/units/0"));
    Load load;
    REQUIRE(caller.waitUntil([&] {
        load.sendFor(caller, entry.callers, Milliseconds(100));
        return isPlacedOn(leaver, "/units/1");
    }));

    Load longWork;
    REQUIRE(caller.waitUntil([&] {
        caller.start(entry.callers, {"GET", "/ledger/units/long?service_ms=4000", {}, nullptr},
                     [&](const CallResult &result) { longWork.count(result); });
        caller.wait(Milliseconds(50));
        return isPlacedOn(leaver, "/units/long");
    }));

    SUBCASE("when its node is asked to stop")
    {
        const WallTime stopped = SystemClock().wallNow();
        leaver.node.terminate();
        load.sendFor(caller, entry.callers, Milliseconds(6'000));
        CHECK(begunAfter(leaver, stopped + allowedForNews) == 0);
        CHECK(leaver.node.waitForEnd(Milliseconds(20'000)) == 0);
    }

    SUBCASE("when its node is asked to stop and cannot reach the log")
    {
        caller.control(leaver.logProxy, {{"refuse", true}, {"cut_all", true}});
        const WallTime stopped = SystemClock().wallNow();
        leaver.node.terminate();
        const auto isKnown = [&] { return stateOf(caller, entry, "ledger-1") == "leaving"; };
        CHECK(caller.waitUntil(isKnown, allowedForNews));
        load.sendFor(caller, entry.callers, Milliseconds(6'000));
        CHECK(begunAfter(leaver, stopped + allowedForNews) == 0);
        CHECK(leaver.node.waitForEnd(Milliseconds(20'000)) == 0);
    }

    SUBCASE("when the target says that it drains")
    {
        const WallTime stopped = SystemClock().wallNow();
        caller.control(leaver.target, {{"draining", true}});
        load.sendFor(caller, entry.callers, Milliseconds(6'000));
        CHECK(begunAfter(leaver, stopped + allowedForNews) == 0);
    }

    CHECK(caller.waitUntil([&] { return caller.inFlight() == 0; }));
    CHECK(longWork.broken == 0);
    CHECK(longWork.answered > 0);
    CHECK(load.broken == 0);
    CHECK(load.answered > 100);
}
