#include <Harness/Mesh.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace chive;

namespace {

constexpr std::string_view note = R"(
id = "once"
builds_on = ""
author = "test"

[[added]]
service = "ledger"

[[added.kinds]]
name = "entry"
method = "POST"
path_prefix = "/entries/"
importance = "high"
repetition = "at-most-once"
duration = "short"
deadline_ms = 2000
retries = 2
nested_calls = 4

[[added.kinds]]
name = "lookup"
method = "GET"
path_prefix = "/"
importance = "normal"
repetition = "idempotent"
duration = "short"
deadline_ms = 2000
retries = 2
nested_calls = 4
)";

constexpr Milliseconds settleLimit{60'000};
constexpr Milliseconds repeatDelay{150};
constexpr std::size_t maximumAttempts = 12;

/// What a caller was told about one key.
struct KeyHistory
{
    std::size_t attempts = 0;
    std::size_t notRun = 0;
    std::size_t mayHaveRun = 0;
    std::size_t hasRun = 0;
    std::size_t broken = 0; ///< No whole response came.
    std::set<std::string> answers;

    [[nodiscard]] bool isSettled() const
    {
        return !answers.empty() || hasRun > 0 || attempts >= maximumAttempts;
    }
};

/// Callers that send entries again, through another node each time, until they know the outcome.
class StubbornCallers
{
public:
    explicit StubbornCallers(Mesh &mesh)
        : mesh_(mesh)
    {
        for (const RunningMember &member : mesh.members())
            entries_.push_back(member.callers);
    }

    void send(const std::string &key)
    {
        KeyHistory &history = histories_[key];
        const Endpoint &entry = entries_[(next_++) % entries_.size()];
        HttpRequest request{"POST", "/ledger/entries/" + key + "?service_ms=200", {}, nullptr};
        request.headers.emplace_back("Idempotency-Key", key);
        request.body = makeBody("entry " + key);
        ++history.attempts;
        mesh_.caller().start(entry, request, [this, key](const CallResult &result) {
            note(histories_[key], result);
            if (!histories_[key].isSettled())
                again_.push_back(
                        mesh_.caller().loop().after(repeatDelay, [this, key] { send(key); }));
        });
    }

    void sendMany(const std::string &prefix, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            send(prefix + std::to_string(i));
    }

    /// One key after the other, so that whatever happens next meets calls in every state.
    void sendSpread(const std::string &prefix, std::size_t count, Milliseconds duration)
    {
        toBeSent_ += count;
        for (std::size_t i = 0; i < count; ++i) {
            const Milliseconds delay = duration * static_cast<Milliseconds::rep>(i)
                                       / static_cast<Milliseconds::rep>(count);
            again_.push_back(
                    mesh_.caller().loop().after(delay, [this, key = prefix + std::to_string(i)] {
                        --toBeSent_;
                        send(key);
                    }));
        }
    }

    /// Keys that were not answered at the first attempt.
    [[nodiscard]] std::size_t disturbed() const
    {
        std::size_t disturbed = 0;
        for (const auto &[key, history] : histories_)
            disturbed += history.attempts > 1 ? 1 : 0;
        return disturbed;
    }

    bool settle()
    {
        return mesh_.caller().waitUntil(
                [this] {
                    if (mesh_.caller().inFlight() != 0 || toBeSent_ != 0)
                        return false;
                    for (const auto &[key, history] : histories_) {
                        if (!history.isSettled())
                            return false;
                    }
                    return true;
                },
                settleLimit);
    }

    [[nodiscard]] const std::map<std::string, KeyHistory> &histories() const { return histories_; }

private:
    static void note(KeyHistory &history, const CallResult &result)
    {
        const auto execution = result.execution();
        if (result.isAnswer())
            history.answers.insert(std::string(bytesOf(result.response.body)));
        else if (!result.isWhole || !execution.has_value())
            ++history.broken;
        else if (*execution == Execution::NotRun)
            ++history.notRun;
        else if (*execution == Execution::MayHaveRun)
            ++history.mayHaveRun;
        else
            ++history.hasRun;
    }

    Mesh &mesh_;
    std::vector<Endpoint> entries_;
    std::size_t next_ = 0;
    std::size_t toBeSent_ = 0;
    std::map<std::string, KeyHistory> histories_;
    std::vector<Timer> again_;
};

struct LedgerMesh
{
    Mesh mesh;
    std::vector<RunningMember *> members;

    explicit LedgerMesh(const std::vector<std::string> &logArguments = {})
    {
        mesh.startLog(logArguments);
        for (const char *name : {"ledger-1", "ledger-2", "ledger-3"}) {
            MemberSpec spec;
            spec.name = name;
            spec.service = "ledger";
            spec.slots = 64;
            members.push_back(&mesh.add(spec));
        }
        mesh.publish("once", "", note);
        for (const RunningMember *member : members)
            REQUIRE(mesh.waitUntilAnswered(*member, "/ledger/ready"));
    }

    /// A new VM in the place of an old one, which kept nothing.
    void replace(RunningMember &member)
    {
        member.node.kill();
        member.targetProcess.kill();
        mesh.startNode(member);
        mesh.startTarget(member);
    }

    std::map<std::string, std::size_t> runsByKey() const
    {
        std::map<std::string, std::size_t> runs;
        for (const RunRecord &record : mesh.executions()) {
            if (!record.key.empty())
                ++runs[record.key];
        }
        return runs;
    }

    /// Judges what callers were told by what the targets ran.
    void judge(const StubbornCallers &callers)
    {
        const auto runs = runsByKey();
        std::size_t twice = 0;
        std::size_t untrue = 0;
        std::size_t answered = 0;
        std::size_t unknown = 0;
        for (const auto &[key, history] : callers.histories()) {
            const auto found = runs.find(key);
            const std::size_t count = found == runs.end() ? 0 : found->second;
            twice += count > 1 ? 1 : 0;
            const bool isSaidNeverRun = history.notRun == history.attempts;
            const bool isSaidRun = !history.answers.empty() || history.hasRun > 0;
            untrue += isSaidNeverRun && count > 0 ? 1 : 0;
            untrue += isSaidRun && count == 0 ? 1 : 0;
            untrue += history.answers.size() > 1 ? 1 : 0;
            answered += history.answers.empty() ? 0 : 1;
            unknown += isSaidRun || isSaidNeverRun ? 0 : 1;
        }
        MESSAGE("keys ", callers.histories().size(), " run ", runs.size(), " answered ", answered,
                " disturbed ", callers.disturbed(), " unknown ", unknown, " run twice ", twice,
                " untrue ", untrue);
        CHECK(twice == 0);
        CHECK(untrue == 0);
        CHECK(answered > 0);
    }
};

} // namespace

TEST_CASE("A kind that runs at most once")
{
    constexpr std::size_t count = 60;

    SUBCASE("runs once when the caller repeats it through every node")
    {
        LedgerMesh ledger;
        StubbornCallers callers(ledger.mesh);
        for (int repeat = 0; repeat < 3; ++repeat)
            callers.sendMany("a", count);
        REQUIRE(callers.settle());
        ledger.judge(callers);
        CHECK(ledger.runsByKey().size() == count);
    }

    SUBCASE("never runs twice while nodes and targets are killed and replaced")
    {
        LedgerMesh ledger;
        StubbornCallers callers(ledger.mesh);
        callers.sendSpread("a", 3 * count, Milliseconds(2'000));
        ledger.mesh.caller().wait(Milliseconds(500));
        ledger.replace(*ledger.members[0]);
        ledger.mesh.caller().wait(Milliseconds(500));
        ledger.members[1]->targetProcess.kill();
        ledger.mesh.caller().wait(Milliseconds(500));
        ledger.mesh.startTarget(*ledger.members[1]);
        ledger.members[2]->node.kill();
        ledger.mesh.caller().wait(Milliseconds(500));
        ledger.mesh.startNode(*ledger.members[2]);
        REQUIRE(callers.settle());
        ledger.judge(callers);
        CHECK(callers.disturbed() > 0);
    }

    SUBCASE("never runs twice when its holder is paused past every deadline and goes on")
    {
        LedgerMesh ledger;
        StubbornCallers callers(ledger.mesh);
        callers.sendSpread("a", 3 * count, Milliseconds(1'500));
        ledger.mesh.caller().wait(Milliseconds(500));
        ledger.members[0]->node.freeze();
        ledger.mesh.caller().wait(Milliseconds(6'000));
        ledger.members[0]->node.thaw();
        REQUIRE(callers.settle());
        ledger.judge(callers);
        CHECK(callers.disturbed() > 0);
    }

    SUBCASE("never runs twice when answers of the log are lost and appends with them")
    {
        LedgerMesh ledger;
        StubbornCallers callers(ledger.mesh);
        callers.sendSpread("a", 3 * count, Milliseconds(1'500));
        callers.sendSpread("a", 3 * count, Milliseconds(1'600));
        for (int round = 0; round < 4; ++round) {
            ledger.mesh.caller().control(ledger.mesh.log(), {{"lose_answers", 6}});
            ledger.mesh.caller().wait(Milliseconds(200));
            ledger.mesh.caller().control(ledger.mesh.log(), {{"drop_appends", 6}});
            ledger.mesh.caller().wait(Milliseconds(200));
        }
        REQUIRE(callers.settle());
        ledger.judge(callers);
    }

    SUBCASE("never runs twice on a node that starts after retention has passed")
    {
        LedgerMesh ledger({"--retention-ms=6000"});
        StubbornCallers first(ledger.mesh);
        first.sendMany("a", count);
        REQUIRE(first.settle());
        ledger.mesh.caller().wait(Milliseconds(9'000));
        for (RunningMember *member : ledger.members) {
            ledger.replace(*member);
            ledger.mesh.caller().wait(Milliseconds(2'500));
        }
        StubbornCallers again(ledger.mesh);
        again.sendMany("a", count);
        again.sendMany("b", count);
        REQUIRE(again.settle());
        ledger.judge(again);
    }
}

TEST_CASE("While the log is down, work that runs at most once")
{
    constexpr std::size_t count = 40;
    LedgerMesh ledger;
    StubbornCallers known(ledger.mesh);
    known.sendMany("known", count);
    REQUIRE(known.settle());
    ledger.mesh.caller().wait(Milliseconds(500));

    SUBCASE("is held when the outage is shorter than its deadline")
    {
        ledger.mesh.caller().control(ledger.mesh.log(), {{"outage", "refuse"}});
        StubbornCallers callers(ledger.mesh);
        callers.sendMany("new", count);
        ledger.mesh.caller().wait(Milliseconds(500));
        ledger.mesh.caller().control(ledger.mesh.log(), {{"outage", "off"}});
        REQUIRE(callers.settle());
        ledger.judge(callers);
        std::size_t refused = 0;
        for (const auto &[key, history] : callers.histories())
            refused += history.notRun > 0 ? 1 : 0;
        MESSAGE("refused at least once: ", refused, " of ", count);
        CHECK(refused == 0);
    }

    SUBCASE("is held while the log is slow, or hangs for less than its deadline")
    {
        ledger.mesh.caller().control(ledger.mesh.log(), {{"delay_ms", 300}});
        StubbornCallers slow(ledger.mesh);
        slow.sendMany("slow", count);
        REQUIRE(slow.settle());
        ledger.judge(slow);
        ledger.mesh.caller().control(ledger.mesh.log(), {{"delay_ms", 0}, {"outage", "hang"}});
        StubbornCallers hung(ledger.mesh);
        hung.sendMany("hung", count);
        ledger.mesh.caller().wait(Milliseconds(800));
        ledger.mesh.caller().control(ledger.mesh.log(), {{"outage", "off"}});
        REQUIRE(hung.settle());
        ledger.judge(hung);
        MESSAGE("not granted at once: slow ", slow.disturbed(), " hung ", hung.disturbed());
    }

    SUBCASE("holds no slot that other work needs")
    {
        ledger.mesh.caller().control(ledger.mesh.log(), {{"outage", "refuse"}});
        StubbornCallers callers(ledger.mesh);
        callers.sendMany("new", 400);
        ledger.mesh.caller().wait(Milliseconds(300));
        std::size_t answered = 0;
        for (std::size_t i = 0; i < count; ++i) {
            const Endpoint &entry = ledger.members[i % ledger.members.size()]->callers;
            answered += ledger.mesh.caller().get(entry, "/ledger/units/7").isAnswer() ? 1 : 0;
        }
        MESSAGE("lookups answered: ", answered, " of ", count);
        CHECK(answered == count);
        ledger.mesh.caller().control(ledger.mesh.log(), {{"outage", "off"}});
        REQUIRE(callers.settle());
        ledger.judge(callers);
    }

    SUBCASE("is refused as not run when the outage is longer, but known keys are answered")
    {
        ledger.mesh.caller().control(ledger.mesh.log(), {{"outage", "refuse"}});
        StubbornCallers repeats(ledger.mesh);
        repeats.sendMany("known", count);
        REQUIRE(repeats.settle());
        ledger.judge(repeats);
        StubbornCallers callers(ledger.mesh);
        callers.sendMany("new", count);
        ledger.mesh.caller().wait(Milliseconds(4'000));
        std::size_t refused = 0;
        for (const auto &[key, history] : callers.histories())
            refused += history.notRun > 0 ? 1 : 0;
        MESSAGE("refused at least once: ", refused, " of ", count);
        CHECK(ledger.runsByKey().size() == count);
        ledger.mesh.caller().control(ledger.mesh.log(), {{"outage", "off"}});
        REQUIRE(callers.settle());
        ledger.judge(callers);
    }
}
