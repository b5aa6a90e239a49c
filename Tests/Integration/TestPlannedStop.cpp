#include <Harness/KeptConnections.h>
#include <Harness/Mesh.h>
#include <Integration/ReleaseNotes.h>
#include <LibCore/Identifier.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <sys/stat.h>
#include <unistd.h>
#include <vector>

using namespace chive;

namespace {

constexpr int uploadCount = 6;
constexpr std::size_t uploadSize = 4 * 1024 * 1024;
/// New work must have stopped this long after the announcement.
constexpr Milliseconds fewSeconds{3000};

constexpr Milliseconds shortDrainTimeout{5'000};
constexpr std::size_t keptConnections = 400;
constexpr Milliseconds pace{20};
/// Far more than the sockets on both sides hold.
constexpr std::size_t largeAnswer = 7 * 1024 * 1024;

/// A process that still runs this long after SIGTERM is killed.
constexpr Milliseconds grace{6'000};
/// What the settings make of that grace time.
constexpr Milliseconds graceDrainTimeout{5'600};
constexpr Milliseconds lastSecond{graceDrainTimeout - Milliseconds(1'000)};
/// The runs of requests that come later are never cut short.
constexpr Milliseconds callerNotice{3'000};
constexpr Milliseconds calmPace{30};
/// A node with nothing in flight ends about a second later.
constexpr Milliseconds beforeDrainEnds{2'000};
constexpr int startCount = 8;
constexpr Milliseconds startDelayStep{5};
/// More than 128 descriptors hold, and the queue of new connections holds the rest.
constexpr std::size_t connectionsOverLimit = 200;
constexpr std::size_t manyConnections = 3'000;

MemberSpec photos(const std::string &name)
{
    MemberSpec spec;
    spec.name = name;
    spec.service = "photos";
    spec.slots = 64;
    spec.drainTimeout = shortDrainTimeout;
    return spec;
}

std::set<std::string> idsOf(const std::vector<RunRecord> &records)
{
    std::set<std::string> ids;
    for (const RunRecord &record : records)
        ids.insert(record.requestId);
    return ids;
}

/// Callers that use the connections that they have open to a node until its process is gone.
class KeptCallers
{
public:
    KeptCallers(Mesh &mesh, const Endpoint &entry, std::size_t kept = keptConnections)
        : mesh_(mesh)
        , connections_(mesh.caller().loop(), entry)
    {
        REQUIRE(connections_.open(kept) == kept);
        for (std::size_t i = 0; i < kept; ++i) {
            send({"GET", "/photos/read/first?service_ms=1", {}, nullptr});
            mesh_.caller().wait(Milliseconds(1));
        }
        REQUIRE(finish());
        sent_.clear();
    }

    /// Sends at an even pace.
    void sendUntilGone(Process &node, const HttpRequest &request)
    {
        sendUntilGone(node, std::span(&request, 1), pace);
    }

    /// Sends the requests in turn.
    void sendUntilGone(Process &node, std::span<const HttpRequest> requests, Milliseconds interval)
    {
        begin_ = SystemClock().now();
        for (std::size_t i = 0; node.isRunning() && send(requests[i % requests.size()]); ++i)
            mesh_.caller().wait(interval);
        CHECK(finish());
        node.waitForEnd(Milliseconds(20'000));
    }

    /// Opens a connection for each request.
    void sendOnNewConnectionsUntilGone(Process &node, const HttpRequest &request,
                                       Milliseconds interval)
    {
        begin_ = SystemClock().now();
        while (node.isRunning()) {
            if (connections_.open(1) == 1)
                send(request);
            mesh_.caller().wait(interval);
        }
        CHECK(finish());
    }

    [[nodiscard]] std::size_t count() const { return sent_.size(); }

    /// Requests sent since then that the node read.
    [[nodiscard]] std::size_t countSince(Milliseconds sinceStop) const
    {
        return std::ranges::count_if(sent_, [&](const auto &entry) {
            return entry.second.sentAt >= sinceStop && entry.second.result.wasRead;
        });
    }

    /// Requests sent since then that got the target's own answer.
    [[nodiscard]] std::size_t answeredSince(Milliseconds sinceStop) const
    {
        return std::ranges::count_if(sent_, [&](const auto &entry) {
            return entry.second.sentAt >= sinceStop && entry.second.result.call.isAnswer();
        });
    }

    /// Requests sent since then that the node gave up because it stopped.
    [[nodiscard]] std::string givenUpSince(Milliseconds sinceStop) const
    {
        std::set<std::string> ids;
        for (const auto &[id, sent] : sent_) {
            if (sent.sentAt >= sinceStop)
                ids.insert(id);
        }
        return describe([&](const std::string &id, const KeptResult &result) {
            return ids.contains(id) && result.call.execution() == Execution::MayHaveRun;
        });
    }

    /// Requests that ran more than once.
    [[nodiscard]] std::string repeated() const
    {
        std::map<std::string, std::size_t> runs;
        for (const RunRecord &record : mesh_.executions())
            ++runs[record.requestId];
        return describe([&](const std::string &id, const KeptResult &) {
            const auto found = runs.find(id);
            return found != runs.end() && found->second > 1;
        });
    }

    /// Requests that got the target's own answer.
    [[nodiscard]] std::size_t answered() const
    {
        return std::ranges::count_if(
                sent_, [](const auto &entry) { return entry.second.result.call.isAnswer(); });
    }

    /// Requests that the node read, or that ran, and that ended without an answer or a verdict.
    [[nodiscard]] std::string lost() const
    {
        const std::set<std::string> ran = idsOf(mesh_.executions());
        return describe([&](const std::string &id, const KeptResult &result) {
            const bool hasEnded = result.call.isAnswer() || result.call.execution().has_value();
            return !hasEnded && (result.wasRead || ran.contains(id));
        });
    }

    /// Requests that ran although the verdict says that they did not.
    [[nodiscard]] std::string refusedButRun() const
    {
        const std::set<std::string> ran = idsOf(mesh_.executions());
        return describe([&](const std::string &id, const KeptResult &result) {
            return result.call.execution() == Execution::NotRun && ran.contains(id);
        });
    }

private:
    struct Sent
    {
        Milliseconds sentAt{0}; ///< Since the stop.
        KeptResult result;
    };

    bool send(HttpRequest request)
    {
        const std::string id = randomIdentifier();
        const auto sentAt = std::chrono::duration_cast<Milliseconds>(SystemClock().now() - begin_);
        request.headers.emplace_back("Chive-Request-Id", id);
        const bool isSent = connections_.send(
                request, [this, id](KeptResult result) { sent_[id].result = std::move(result); });
        if (isSent)
            sent_[id].sentAt = sentAt;
        return isSent;
    }

    bool finish()
    {
        return mesh_.caller().waitUntil([this] { return connections_.inFlight() == 0; });
    }

    /// Empty when no request meets the condition.
    template<typename Condition>
    [[nodiscard]] std::string describe(const Condition &condition) const
    {
        std::multiset<Milliseconds> times;
        for (const auto &[id, sent] : sent_) {
            if (condition(id, sent.result))
                times.insert(sent.sentAt);
        }
        if (times.empty())
            return {};
        return std::to_string(times.size()) + " of " + std::to_string(sent_.size())
               + " requests, sent " + std::to_string(times.begin()->count()) + " to "
               + std::to_string(times.rbegin()->count()) + " ms after the stop";
    }

    Mesh &mesh_;
    KeptConnections connections_;
    TimePoint begin_ = SystemClock().now();
    std::map<std::string, Sent> sent_; ///< By request id.
};

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

TEST_CASE("Requests on kept connections are lost at a planned stop")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", {"photos"}));
    MemberSpec spec = photos("photos-0");
    const auto stop = [&](Endpoint RunningMember::*entry) {
        RunningMember &leaving = mesh.add(spec);
        RunningMember &staying = mesh.add(photos("photos-1"));
        for (RunningMember *member : {&leaving, &staying})
            REQUIRE(mesh.waitUntilAnswered(*member, "/photos/read/ready"));
        KeptCallers callers(mesh, leaving.*entry);

        SUBCASE("that take a second")
        {
            leaving.node.terminate();
            callers.sendUntilGone(leaving.node,
                                  {"GET", "/photos/read/x?service_ms=1000", {}, nullptr});
            CHECK(callers.answered() > 0);
            CHECK(leaving.node.waitForEnd(Milliseconds(0)) == 0);
        }

        SUBCASE("that cannot be repeated and take longer than the stop")
        {
            leaving.node.terminate();
            callers.sendUntilGone(leaving.node,
                                  {"POST", "/photos/upload/x?service_ms=20000", {}, makeBody("x")});
        }

        CHECK(callers.count() > 50);
        CHECK(callers.lost() == "");
        CHECK(callers.refusedButRun() == "");
    };

    SUBCASE("sent by callers that cannot check readiness")
    {
        stop(&RunningMember::callers);
    }

    SUBCASE("sent by callers that check readiness")
    {
        spec.hasReady = true;
        stop(&RunningMember::callers);
    }

    SUBCASE("sent by the target of the node")
    {
        stop(&RunningMember::targetCalls);
    }
}

TEST_CASE("Requests that come late in a calm planned stop are cut without an answer")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", {"photos"}));
    MemberSpec spec = photos("photos-0");
    spec.drainTimeout = graceDrainTimeout;
    const auto stop = [&] {
        RunningMember &leaving = mesh.add(spec);
        RunningMember &staying = mesh.add(photos("photos-1"));
        for (RunningMember *member : {&leaving, &staying})
            REQUIRE(mesh.waitUntilAnswered(*member, "/photos/read/ready"));
        KeptCallers callers(mesh, leaving.callers);
        // The drain lasts to its end: the first of these runs does.
        const std::array<HttpRequest, 3> requests{
                HttpRequest{"POST", "/photos/upload/x?service_ms=20000", {}, makeBody("x")},
                HttpRequest{"POST", "/photos/write/x?service_ms=900", {}, makeBody("x")},
                HttpRequest{"POST",
                            "/photos/write/x?service_ms=1",
                            {{"Chive-Deadline-Ms", "400"}},
                            makeBody("x")}};

        SUBCASE("when some of them run long")
        {
            leaving.node.terminate();
            callers.sendUntilGone(leaving.node, requests, calmPace);
            CHECK(callers.countSince(lastSecond) > 0);
        }

        SUBCASE("when one long run holds the node until the end")
        {
            mesh.caller().start(leaving.callers, requests[0], [](const CallResult &) {});
            REQUIRE(mesh.caller().waitUntil([&] {
                return std::ranges::any_of(mesh.executions(), [](const RunRecord &record) {
                    return record.path.find("/upload/") != std::string::npos;
                });
            }));
            leaving.node.terminate();
            callers.sendUntilGone(leaving.node, std::span(requests).subspan(1), calmPace);
            CHECK(callers.countSince(lastSecond) > 0);
            CHECK(callers.answeredSince(callerNotice) > 0);
        }

        CHECK(callers.lost() == "");
        CHECK(callers.refusedButRun() == "");
        CHECK(callers.repeated() == "");
        CHECK(callers.givenUpSince(callerNotice) == "");
    };

    SUBCASE("at a node whose callers cannot check readiness")
    {
        stop();
    }

    SUBCASE("at a node whose callers check readiness")
    {
        spec.hasReady = true;
        stop();
    }
}

TEST_CASE("Requests that cross the end of a drained process are read and dropped")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", {"photos"}));
    const HttpRequest request{"POST", "/photos/write/x?service_ms=1", {}, makeBody("x")};
    MemberSpec spec = photos("photos-0");
    spec.drainTimeout = graceDrainTimeout;
    spec.hasReady = true;
    RunningMember &leaving = mesh.add(spec);
    REQUIRE(mesh.waitUntilAnswered(leaving, "/photos/read/ready"));
    const auto check = [&](const KeptCallers &callers) {
        CHECK(leaving.node.waitForEnd(Milliseconds(20'000)) == 0);
        CHECK(callers.count() > 20);
        CHECK(callers.lost() == "");
        CHECK(callers.refusedButRun() == "");
    };

    SUBCASE("on open connections")
    {
        KeptCallers callers(mesh, leaving.callers);
        leaving.node.terminate();
        mesh.caller().wait(beforeDrainEnds);
        callers.sendUntilGone(leaving.node, std::span(&request, 1), Milliseconds(1));
        check(callers);
    }

    SUBCASE("on new connections")
    {
        KeptCallers callers(mesh, leaving.callers, 0);
        leaving.node.terminate();
        mesh.caller().wait(beforeDrainEnds);
        callers.sendOnNewConnectionsUntilGone(leaving.node, request, Milliseconds(1));
        check(callers);
    }
}

TEST_CASE("A process outlives the grace time of its planned stop")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", {"photos"}));
    Caller &caller = mesh.caller();
    MemberSpec spec = photos("photos-0");
    spec.drainTimeout = graceDrainTimeout;
    spec.hasReady = true;
    RunningMember &leaving = mesh.add(spec);
    REQUIRE(mesh.waitUntilAnswered(leaving, "/photos/read/ready"));
    KeptConnections connections(caller.loop(), leaving.callers);
    std::vector<CallResult> held;
    const auto hold = [&] {
        caller.start(leaving.callers,
                     {"POST", "/photos/upload/held?service_ms=20000", {}, makeBody("x")},
                     [&](CallResult result) { held.push_back(std::move(result)); });
        REQUIRE(caller.waitUntil([&] {
            return std::ranges::any_of(Mesh::executions(leaving), [](const RunRecord &record) {
                return record.path.find("/held") != std::string::npos;
            });
        }));
    };
    TimePoint stoppedAt;
    const auto stop = [&] {
        leaving.node.watchEnd();
        stoppedAt = SystemClock().now();
        leaving.node.terminate();
    };
    const auto sinceStop = [&] {
        return std::chrono::duration_cast<Milliseconds>(SystemClock().now() - stoppedAt);
    };

    // The node runs from a shell: $0 is the program, $1 the settings and $2 the argument.
    const auto restart = [&](const std::string &script, const std::string &argument) {
        leaving.node.kill();
        leaving.node = Process("/bin/sh",
                               {"-c", script, CHIVE_NODE_PROGRAM, leaving.settingsFile, argument},
                               mesh.workspace().pathOf("restarted-node.log"));
    };

    SUBCASE("with thousands of open connections")
    {
        REQUIRE(connections.open(manyConnections) == manyConnections);
        hold();
        stop();
    }

    SUBCASE("when it was frozen as the signal came")
    {
        hold();
        caller.wait(Milliseconds(300));
        leaving.node.freeze();
        stop();
        caller.wait(Milliseconds(2'500));
        leaving.node.thaw();
    }

    SUBCASE("when it has no descriptors left")
    {
        restart("ulimit -n 128; exec \"$0\" node --settings=\"$1\"", "");
        REQUIRE(mesh.waitUntilAnswered(leaving, "/photos/read/again"));
        hold();
        REQUIRE(connections.open(connectionsOverLimit) == connectionsOverLimit);
        caller.wait(Milliseconds(500));
        stop();
    }

    SUBCASE("when nobody reads what it writes")
    {
        const std::string output = mesh.workspace().pathOf("output");
        REQUIRE(mkfifo(output.c_str(), S_IRUSR | S_IWUSR) == 0);
        const int reader = open(output.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
        REQUIRE(reader != -1);
        const std::string filler(4096, '\n');
        while (write(reader, filler.data(), filler.size()) > 0) {
        }
        restart("exec \"$0\" node --settings=\"$1\" 2> \"$2\"", output);
        caller.wait(Milliseconds(2'000));
        stop();
    }

    SUBCASE("when the signal comes while it starts")
    {
        std::vector<RunningMember *> starting;
        for (int i = 0; i < startCount; ++i) {
            MemberSpec other = photos("starting-" + std::to_string(i));
            other.hasTarget = false;
            starting.push_back(&mesh.add(other));
            caller.wait(startDelayStep * i);
            starting.back()->node.terminate();
        }
        stop();
        for (RunningMember *member : starting)
            CHECK(member->node.waitForEnd(grace).has_value());
    }

    SUBCASE("when it is frozen during the stop, again and again")
    {
        hold();
        stop();
        for (int i = 0; i < 3; ++i) {
            caller.wait(Milliseconds(500));
            leaving.node.freeze();
            caller.wait(Milliseconds(500));
            leaving.node.thaw();
        }
    }

    while (leaving.node.isRunning() && sinceStop() < 2 * grace)
        caller.wait(Milliseconds(10));
    CAPTURE(sinceStop().count());
    const auto endedAt = leaving.node.endedAt();
    REQUIRE(endedAt.has_value());
    const auto took = std::chrono::duration_cast<Milliseconds>(*endedAt - stoppedAt);
    CHECK(took.count() < grace.count());
    REQUIRE(caller.waitUntil([&] { return caller.inFlight() == 0; }));
    for (const CallResult &result : held) {
        CAPTURE(result.failure.message);
        CAPTURE(result.status());
        CAPTURE(result.took.count());
        CHECK(result.reason() == "leaving");
    }
}

TEST_CASE("Work that outlasts a planned stop ends with the link or connection")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", {"photos", "albums"}));
    Caller &caller = mesh.caller();
    MemberSpec entrySpec;
    entrySpec.name = "entry";
    entrySpec.hasTarget = false;
    RunningMember &entry = mesh.add(entrySpec);
    MemberSpec albums = photos("albums-0");
    albums.service = "albums";
    RunningMember &nested = mesh.add(albums);
    MemberSpec spec = photos("photos-0");
    const auto resultsOfStop = [&](const std::string &path) {
        RunningMember &leaving = mesh.add(spec);
        REQUIRE(mesh.waitUntilAnswered(nested, "/albums/read/ready"));

        const RunningMember *server = nullptr;
        SUBCASE("for a caller of its node")
        {
            server = &leaving;
        }
        SUBCASE("for a caller of another node")
        {
            server = &entry;
        }
        std::vector<CallResult> results;
        REQUIRE(caller.waitUntil([&] {
            caller.start(server->callers, {"POST", path, {}, makeBody("x")},
                         [&](CallResult result) { results.push_back(std::move(result)); });
            caller.wait(Milliseconds(200));
            return !Mesh::executions(leaving).empty();
        }));
        results.clear(); // Refusals from before the target was known.
        leaving.node.terminate();
        REQUIRE(caller.waitUntil([&] { return caller.inFlight() == 0; }));
        REQUIRE(!results.empty());
        leaving.node.waitForEnd(Milliseconds(20'000));
        return results;
    };

    SUBCASE("of a target that works")
    {
        for (const CallResult &result : resultsOfStop("/photos/upload/x?service_ms=20000")) {
            CAPTURE(result.failure.message);
            CHECK(result.isWhole);
            CHECK(result.reason() == "leaving");
            CHECK(result.execution() == Execution::MayHaveRun);
        }
    }

    SUBCASE("of a target that waits for a call of its own, which ends in time for its answer")
    {
        spec.calls = {"albums/read/x?service_ms=4500"};
        for (const CallResult &result : resultsOfStop("/photos/upload/x?service_ms=3000")) {
            CAPTURE(result.failure.message);
            CHECK(result.isAnswer());
        }
    }
}

TEST_CASE("A response that is read slowly is cut at a planned stop")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", {"photos"}));
    Caller &caller = mesh.caller();
    MemberSpec spec = photos("photos-0");
    spec.drainTimeout = 4 * shortDrainTimeout;
    const auto stop = [&] {
        RunningMember &leaving = mesh.add(spec);
        REQUIRE(mesh.waitUntilAnswered(leaving, "/photos/read/ready"));
        KeptConnections connections(caller.loop(), leaving.callers);
        connections.setReceiveBuffer(4096);
        REQUIRE(connections.open(1) == 1);
        std::optional<KeptResult> result;
        const std::string path = "/photos/read/large?answer_bytes=" + std::to_string(largeAnswer);
        REQUIRE(connections.send({"GET", path, {}, nullptr},
                                 [&](KeptResult ended) { result = std::move(ended); }));
        connections.pauseReading();
        REQUIRE(caller.waitUntil([&] {
            const auto records = Mesh::executions(leaving);
            return records.back().path.find("/large") != std::string::npos
                   && records.back().end == RunEnd::Answered;
        }));
        caller.wait(Milliseconds(500));
        leaving.node.terminate();
        caller.wait(shortDrainTimeout);
        connections.resumeReading();
        REQUIRE(caller.waitUntil([&] { return result.has_value(); }));
        CAPTURE(result->call.failure.message);
        CHECK(result->call.isAnswer());
        CHECK(result->call.header("Answer-Digest") == digest(bytesOf(result->call.response.body)));
        CHECK(leaving.node.waitForEnd(Milliseconds(20'000)) == 0);
    };

    SUBCASE("by a caller that cannot check readiness")
    {
        stop();
    }

    SUBCASE("by a caller that checks readiness")
    {
        spec.hasReady = true;
        stop();
    }
}
