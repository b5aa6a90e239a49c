#include <Harness/Mesh.h>
#include <Integration/ReleaseNotes.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace chive;

namespace {

constexpr int uploadCount = 6;
constexpr std::size_t uploadSize = 4 * 1024 * 1024;
/// New work must have stopped this long after the announcement.
constexpr Milliseconds fewSeconds{3000};

} // namespace

TEST_CASE("A planned stop cuts no request in flight")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", {"photos"}));
    std::vector<RunningMember *> members;
    for (int i = 0; i < 3; ++i) {
        MemberSpec spec;
        spec.name = "photos-" + std::to_string(i);
        spec.service = "photos";
        spec.slots = 16;
        members.push_back(&mesh.add(spec));
    }
    for (RunningMember *member : members)
        REQUIRE(mesh.waitUntilAnswered(*member, "/photos/read/ready"));
    Caller &caller = mesh.caller();
    RunningMember &leaving = *members[0];
    int answered = 0;
    const auto upload = [&](const Endpoint &server, int count, const std::string &query) {
        for (int i = 0; i < count; ++i) {
            caller.start(server,
                         {"POST",
                          "/photos/upload/" + std::to_string(i) + query,
                          {},
                          makeBody(std::string(uploadSize / 4, 'x'))},
                         [&](const CallResult &result) {
                             CAPTURE(result.failure.message);
                             CAPTURE(std::string(result.reason()));
                             CHECK(result.status() == 200);
                             answered += result.status() == 200 ? 1 : 0;
                         });
        }
    };

    SUBCASE("of a node whose uploads run at targets, its own included")
    {
        upload(leaving.callers, uploadCount, "?service_ms=3000");
        upload(members[1]->callers, uploadCount, "?service_ms=3000");
        REQUIRE(caller.waitUntil([&] { return mesh.executions().size() >= uploadCount * 2 + 3; }));
        leaving.node.terminate();
        REQUIRE(caller.waitUntil([&] { return caller.inFlight() == 0; }));
        CHECK(answered == 2 * uploadCount);
        CHECK(leaving.node.waitForEnd(Milliseconds(20'000)) == 0);
    }

    SUBCASE("of a node that is still receiving uploads from callers")
    {
        const Endpoint slowWay = mesh.addProxy("slow-way", leaving.callers);
        caller.control(mesh.controlOf(slowWay), {{"jitter_ms", 5000}});
        upload(slowWay, uploadCount, "?service_ms=100");
        caller.wait(Milliseconds(1000));
        leaving.node.terminate();
        REQUIRE(caller.waitUntil([&] { return caller.inFlight() == 0; }));
        CHECK(answered == uploadCount);
        CHECK(leaving.node.waitForEnd(Milliseconds(20'000)) == 0);
    }

    SUBCASE("of a target, which gets no new work after a few seconds")
    {
        upload(members[1]->callers, uploadCount, "?service_ms=3000");
        REQUIRE(caller.waitUntil([&] { return mesh.executions().size() >= uploadCount + 3; }));
        caller.control(leaving.target, {{"draining", true}});
        const WallTime announced = SystemClock().wallNow();
        const auto isOver = [&] { return SystemClock().wallNow() > announced + 2 * fewSeconds; };
        int served = 0;
        while (!isOver()) {
            for (RunningMember *member : members)
                served += caller.get(member->callers, "/photos/read/x").status() == 200 ? 1 : 0;
            caller.wait(Milliseconds(20));
        }
        CHECK(caller.waitUntil([&] { return caller.inFlight() == 0; }));
        CHECK(answered == uploadCount);
        CHECK(served > 0);
        int late = 0;
        for (const RunRecord &record : Mesh::executions(leaving))
            late += record.started > announced + fewSeconds ? 1 : 0;
        CHECK(late == 0);
    }
}
