#include <Harness/KeptConnections.h>
#include <Harness/Mesh.h>
#include <Integration/ReleaseNotes.h>
#include <LibCore/Identifier.h>

#include <doctest/doctest.h>

#include <fstream>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

using namespace chive;

namespace {

constexpr std::size_t descriptors = 256;
constexpr std::size_t moreCallers = 400;
constexpr std::size_t lateCallers = 10;
/// Far less than the deadline of the requests.
constexpr Milliseconds answerLimit{2'000};
/// Callers give up a server that accepts no more.
constexpr Milliseconds connectLimit{1'000};
/// Nothing is in flight, so the notice that callers get decides.
constexpr Milliseconds stopLimit{5'000};

HttpRequest read(const std::string &serviceTime = "1")
{
    return {"GET",
            "/photos/read/first?service_ms=" + serviceTime,
            {{"Chive-Request-Id", randomIdentifier()}},
            nullptr};
}

std::size_t countLines(const std::string &file, std::string_view text)
{
    std::size_t count = 0;
    std::ifstream stream(file);
    for (std::string line; std::getline(stream, line);)
        count += line.find(text) != std::string::npos ? 1 : 0;
    return count;
}

} // namespace

TEST_CASE("Idle connections of callers do not use up the descriptors of a node")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", {"photos"}));
    MemberSpec spec;
    spec.name = "photos-0";
    spec.service = "photos";
    spec.hasReady = true;
    spec.maximumDescriptors = descriptors;
    RunningMember &member = mesh.add(spec);
    REQUIRE(mesh.waitUntilAnswered(member, "/photos/read/ready"));
    Caller &caller = mesh.caller();

    std::vector<std::unique_ptr<KeptConnections>> callers;
    std::size_t answered = 0;
    const auto sendFromNewCaller = [&] {
        KeptConnections &connection = *callers.emplace_back(
                std::make_unique<KeptConnections>(caller.loop(), member.callers));
        connection.limitConnecting(connectLimit);
        if (connection.open(1) == 0)
            return;
        connection.send(read(), [&](const KeptResult &result) {
            answered += result.call.isAnswer() ? 1 : 0;
        });
        caller.waitUntil([&] { return connection.inFlight() == 0; }, answerLimit);
    };
    for (std::size_t i = 0; i < moreCallers; ++i) {
        sendFromNewCaller();
        if (answered < callers.size())
            break;
    }

    SUBCASE("each of more callers than it has descriptors gets its answer")
    {
        CHECK(answered == moreCallers);
    }

    SUBCASE("it still answers calls of its target and readiness checks")
    {
        const CallResult nested = caller.call(member.targetCalls, read(), answerLimit);
        CHECK(nested.isAnswer());
        CHECK(caller.call(member.ready, {"GET", "/ready", {}, nullptr}, answerLimit).status()
              == 200);
    }

    SUBCASE("the log does not grow with the attempts to accept")
    {
        caller.wait(answerLimit);
        const std::string log = mesh.workspace().pathOf("photos-0-node.log");
        CHECK(countLines(log, "accept") <= 1);
    }

    SUBCASE("a planned stop ends in time")
    {
        member.node.terminate();
        CHECK(member.node.waitForEnd(stopLimit) == 0);
    }
}

TEST_CASE("Callers beyond the requests that a node can hold are refused, not left waiting")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", {"photos"}));
    MemberSpec photos;
    photos.name = "photos-0";
    photos.service = "photos";
    photos.slots = 400;
    mesh.add(photos);
    MemberSpec spec;
    spec.name = "entry";
    spec.hasTarget = false;
    spec.maximumDescriptors = descriptors;
    RunningMember &entry = mesh.add(spec);
    REQUIRE(mesh.waitUntilAnswered(entry, "/photos/read/ready"));
    Caller &caller = mesh.caller();

    KeptConnections waiting(caller.loop(), entry.callers);
    waiting.limitConnecting(connectLimit);
    for (std::size_t i = 0; i < descriptors; ++i) {
        if (waiting.open(1) == 0)
            break;
        waiting.send(read("4000"), [](const KeptResult &) {});
        caller.wait(Milliseconds(1));
    }
    std::size_t ended = 0;
    KeptConnections late(caller.loop(), entry.callers);
    late.limitConnecting(connectLimit);
    for (std::size_t i = 0; i < lateCallers; ++i) {
        if (late.open(1) == 0)
            break;
        late.send(read("1"), [&](const KeptResult &result) {
            ended += result.call.isAnswer() || result.call.execution() == Execution::NotRun ? 1 : 0;
        });
    }
    caller.waitUntil([&] { return ended == lateCallers; }, answerLimit);
    CHECK(ended == lateCallers);
}
