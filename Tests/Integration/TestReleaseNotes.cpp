#include <Harness/Mesh.h>

#include <LibNotes/Notes.h>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

using namespace chive;
using test::adding;
using test::noteText;
using test::withdrawing;

namespace {

/// An accepted note is in force everywhere within this time.
constexpr Milliseconds inForceLimit{7'000};
constexpr Milliseconds publishLimit{60'000};

constexpr int accepted = 0;
constexpr int rejected = 3;
constexpr int unavailable = 5;

/// Nodes without targets in two data centres, and operators who publish at their log.
class Deployment
{
public:
    explicit Deployment(const std::vector<std::string> &logArguments = {})
    {
        mesh.startLog(logArguments);
        for (int number = 1; number <= 4; ++number) {
            MemberSpec spec;
            spec.name = "node-" + std::to_string(number);
            spec.dataCentre = number % 2 == 0 ? "north" : "south";
            spec.hasTarget = false;
            spec.drainTimeout = Milliseconds(0);
            spec.isLogProxied = number == 4;
            if (number > 1)
                spec.peers = {mesh.members().front().links};
            mesh.add(spec);
        }
    }

    RunningMember &member(std::size_t index) { return *std::next(mesh.members().begin(), index); }

    /// Starts an operator's publish command.
    Process publish(std::string_view id, std::string_view buildsOn, std::string_view changes)
    {
        const std::string name = std::string(id) + "-" + std::to_string(++published_);
        const std::string file
                = mesh.workspace().write(name + ".toml", noteText(id, buildsOn, changes));
        return {CHIVE_NODE_PROGRAM,
                {"publish", file, "--settings=" + mesh.members().front().settingsFile},
                mesh.workspace().pathOf(name + ".log")};
    }

    int publishAndWait(std::string_view id, std::string_view buildsOn, std::string_view changes)
    {
        Process process = publish(id, buildsOn, changes);
        return process.waitForEnd(publishLimit).value_or(-1);
    }

    /// What the node has in force; checks that it never goes back.
    nlohmann::json notesOf(const RunningMember &member)
    {
        const CallResult result = mesh.caller().get(member.admin, "/status");
        if (result.status() != 200)
            return {};
        nlohmann::json notes = result.json().at("notes");
        const auto version = notes.at("version").get<std::uint64_t>();
        CHECK(version >= versions_[member.spec.name]);
        versions_[member.spec.name] = version;
        return notes;
    }

    bool hasInForce(const RunningMember &member, std::string_view head)
    {
        const nlohmann::json notes = notesOf(member);
        return notes.is_object() && notes.at("head") == head;
    }

    bool isEverywhereInTime(std::string_view head)
    {
        return mesh.caller().waitUntil(
                [&] {
                    return std::ranges::all_of(mesh.members(), [&](const RunningMember &member) {
                        return hasInForce(member, head);
                    });
                },
                inForceLimit);
    }

    /// The machine of the node is replaced: the new process knows nothing.
    void replace(RunningMember &member)
    {
        member.node.kill();
        versions_[member.spec.name] = 0;
        mesh.startNode(member);
    }

    void control(const nlohmann::json &order) { mesh.caller().control(mesh.log(), order); }

    Mesh mesh;

private:
    std::map<std::string, std::uint64_t> versions_;
    int published_ = 0;
};

} // namespace

TEST_CASE("An accepted release note is in force everywhere and never reverts")
{
    Deployment deployment;
    REQUIRE(deployment.publishAndWait("first", "", adding("ledger")) == accepted);
    REQUIRE(deployment.isEverywhereInTime("first"));

    SUBCASE("of two operators who publish at once, one is told to build on the other")
    {
        Process left = deployment.publish("left", "first", adding("photos"));
        Process right = deployment.publish("right", "first", adding("faxes"));
        const int leftEnd = left.waitForEnd(publishLimit).value_or(-1);
        const int rightEnd = right.waitForEnd(publishLimit).value_or(-1);
        CHECK(std::min(leftEnd, rightEnd) == accepted);
        CHECK(std::max(leftEnd, rightEnd) == rejected);
        CHECK(deployment.isEverywhereInTime(leftEnd == accepted ? "left" : "right"));
    }

    SUBCASE("a lost answer to the append leads to one note, published again or not")
    {
        deployment.control({{"lose_answers", 1}});
        CHECK(deployment.publishAndWait("second", "first", adding("photos")) == accepted);
        CHECK(deployment.publishAndWait("second", "first", adding("photos")) == accepted);
        CHECK(deployment.isEverywhereInTime("second"));
        CHECK(deployment.notesOf(deployment.member(0)).at("version") == 2);
    }

    SUBCASE("while the log is down")
    {
        deployment.control({{"outage", "refuse"}});

        SUBCASE("a publisher is told that nothing happened")
        {
            CHECK(deployment.publishAndWait("second", "first", adding("photos")) == unavailable);
        }

        SUBCASE("replaced nodes learn from their peers what is in force")
        {
            deployment.replace(deployment.member(1));
            deployment.replace(deployment.member(2));
            CHECK(deployment.isEverywhereInTime("first"));
        }

        deployment.control({{"outage", "off"}});
        CHECK(deployment.publishAndWait("second", "first", adding("photos")) == accepted);
        CHECK(deployment.isEverywhereInTime("second"));
    }

    SUBCASE("a node that cannot reach the log is told by its peers")
    {
        RunningMember &cutOff = deployment.member(3);
        deployment.mesh.caller().control(cutOff.logProxy,
                                         {{"refuse", true}, {"up", {{"discard", true}}}});
        CHECK(deployment.publishAndWait("second", "first", adding("photos")) == accepted);
        CHECK(deployment.isEverywhereInTime("second"));
    }

    SUBCASE("a node that was paused meanwhile catches up")
    {
        RunningMember &paused = deployment.member(2);
        paused.node.freeze();
        CHECK(deployment.publishAndWait("second", "first", adding("photos")) == accepted);
        CHECK(deployment.publishAndWait("third", "second", withdrawing("photos")) == accepted);
        paused.node.thaw();
        CHECK(deployment.isEverywhereInTime("third"));
    }
}

TEST_CASE("What is in force outlives its records")
{
    Deployment deployment({"--retention-ms=3000"});
    Caller &caller = deployment.mesh.caller();
    REQUIRE(deployment.publishAndWait("first", "", adding("ledger")) == accepted);
    REQUIRE(deployment.isEverywhereInTime("first"));
    REQUIRE(caller.waitUntil([&] {
        const CallResult page
                = caller.get(deployment.mesh.log(), "/streams/notes/records?from=0&limit=1");
        return page.status() == 200 && page.json().at("first") > 0;
    }));

    SUBCASE("for nodes that are replaced one after the other")
    {
        for (RunningMember &member : deployment.mesh.members()) {
            deployment.replace(member);
            CHECK(deployment.isEverywhereInTime("first"));
        }
    }

    SUBCASE("for operators who go on from it")
    {
        // Between the expiry of one snapshot and the next a publisher is told to try again.
        CHECK(caller.waitUntil([&] {
            return deployment.publishAndWait("second", "first", adding("photos")) == accepted;
        }));
        CHECK(deployment.isEverywhereInTime("second"));
    }
}
