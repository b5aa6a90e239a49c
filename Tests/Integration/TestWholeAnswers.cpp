#include <Harness/Mesh.h>
#include <Integration/ReleaseNotes.h>
#include <LibCore/Identifier.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace chive;

namespace {

constexpr int callsPerFault = 40;
constexpr Milliseconds evenPace{3};
constexpr int largestAnswer = 200'000; // bytes

struct Sent
{
    std::string requestId;
    std::string path;
    CallResult result;
};

/// Whether the answer is whole and belongs to this very request.
bool isOwnWholeAnswer(const Sent &sent)
{
    const auto body = sent.result.json();
    return sent.result.header("Answer-Digest") == digest(bytesOf(sent.result.response.body))
           && body.value("path", "") == sent.path && body.value("request_id", "") == sent.requestId
           && sent.result.header("Chive-Request-Id") == sent.requestId;
}

} // namespace

TEST_CASE("Every caller gets the whole answer to its own request, or a refusal")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", {"ledger"}));
    MemberSpec entrySpec;
    entrySpec.name = "entry";
    entrySpec.hasTarget = false;
    RunningMember &entry = mesh.add(entrySpec);
    std::vector<RunningMember *> targets;
    for (int i = 0; i < 2; ++i) {
        MemberSpec spec;
        spec.name = "ledger-" + std::to_string(i);
        spec.service = "ledger";
        spec.slots = 4;
        spec.isTargetProxied = true;
        targets.push_back(&mesh.add(spec));
    }
    for (RunningMember *member : targets)
        REQUIRE(mesh.waitUntilAnswered(*member, "/ledger/read/ready"));
    REQUIRE(mesh.waitUntilAnswered(entry, "/ledger/read/ready"));

    Caller &caller = mesh.caller();
    std::mt19937_64 random(testSeed());
    std::map<int, Sent> calls;
    const auto send = [&](Milliseconds pause) {
        for (int i = 0; i < callsPerFault; ++i) {
            const int number = static_cast<int>(calls.size());
            Sent &sent = calls[number];
            sent.requestId = "request-" + std::to_string(number);
            const bool isWrite = number % 2 == 0;
            sent.path = (isWrite ? "/write/" : "/read/") + std::to_string(number)
                        + "?answer_bytes=" + std::to_string(random() % largestAnswer)
                        + "&service_ms=" + std::to_string(random() % 30);
            caller.start(entry.callers,
                         {isWrite ? "POST" : "GET",
                          "/ledger" + sent.path,
                          {{"Chive-Request-Id", sent.requestId}},
                          nullptr},
                         [&sent](CallResult result) { sent.result = std::move(result); });
            if (pause > Milliseconds::zero())
                caller.wait(pause);
        }
    };

    // Late and out of order: a slow way to one target, and answers held back by the other.
    caller.control(targets[0]->targetProxy,
                   {{"delay_ms", 5}, {"jitter_ms", 20}, {"loss_percent", 3}});
    caller.control(targets[1]->target, {{"answer_delay_ms", 40}});
    send(evenPace);
    caller.control(targets[1]->target, {{"answer_delay_ms", 0}});
    const std::vector<std::string> faults{"truncate_answers", "answers_without_length",
                                          "swallow_answers"};
    for (const std::string &fault : faults) {
        for (RunningMember *member : targets)
            caller.control(member->target, {{fault, 8}});
        send(evenPace);
    }
    // Sent twice, while the next request waits for the connection.
    caller.control(targets[0]->targetProxy,
                   {{"delay_ms", 0}, {"jitter_ms", 0}, {"loss_percent", 0}});
    for (RunningMember *member : targets)
        caller.control(member->target, {{"repeat_answers", callsPerFault}});
    send(Milliseconds(0));
    REQUIRE(caller.waitUntil([&] { return caller.inFlight() == 0; }));
    for (RunningMember *member : targets)
        caller.control(member->target, {{"repeat_answers", 0}});
    // Cut by the network within the answer.
    caller.control(targets[1]->targetProxy,
                   {{"connections_to_cut", 10}, {"down", {{"cut_after", 500}}}});
    send(evenPace);
    REQUIRE(caller.waitUntil([&] { return caller.inFlight() == 0; }));

    int answers = 0;
    int refusals = 0;
    for (const auto &entryOfCall : calls) {
        const Sent &sent = entryOfCall.second;
        CAPTURE(sent.path);
        REQUIRE(sent.result.isWhole);
        if (sent.result.isAnswer()) {
            ++answers;
            CHECK(isOwnWholeAnswer(sent));
        } else {
            ++refusals;
            CHECK(sent.result.execution().has_value());
            CHECK(sent.result.status() >= 400);
            CHECK(sent.result.json().value("request_id", "") == sent.requestId);
        }
    }
    MESSAGE("answers: ", answers, " refusals: ", refusals);
    CHECK(answers > callsPerFault);
    CHECK(refusals > 0);
}
