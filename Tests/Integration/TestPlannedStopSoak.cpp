#include <Harness/KeptConnections.h>
#include <Harness/Mesh.h>
#include <LibCore/Identifier.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace chive;

namespace {

constexpr std::string_view note = R"(
id = "first"
builds_on = ""
author = "test"

[[added]]
service = "orders"
slots = 32
connections = 200

[[added.kinds]]
name = "read"
method = "GET"
path_prefix = "/read/"
importance = "high"
repetition = "idempotent"
duration = "short"
deadline_ms = 5000
retries = 2
nested_calls = 8

[[added.kinds]]
name = "write"
method = "POST"
path_prefix = "/write/"
importance = "high"
repetition = "guarded"
duration = "short"
deadline_ms = 5000
retries = 2
nested_calls = 8

[[added.kinds]]
name = "entry"
method = "POST"
path_prefix = "/entry/"
importance = "high"
repetition = "at-most-once"
duration = "short"
deadline_ms = 5000
retries = 2
nested_calls = 8

[[added]]
service = "prices"
slots = 64
connections = 200

[[added.kinds]]
name = "read"
method = "GET"
path_prefix = "/read/"
importance = "high"
repetition = "idempotent"
duration = "short"
deadline_ms = 5000
retries = 2
nested_calls = 8
)";

constexpr std::size_t connectionsPerNode = 24;
constexpr Milliseconds tick{10};
constexpr std::size_t requestsPerTick = 2;
constexpr Milliseconds settleLimit{30'000};
constexpr std::size_t keptKeys = 32;

std::size_t numberFromEnvironment(const char *name, std::size_t otherwise)
{
    const char *text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/// A request and how it ended.
struct Sent
{
    std::string node;
    std::string path;       ///< As the target sees it.
    Milliseconds sentAt{0}; ///< Since the begin of the soak.
    Milliseconds endedAt{0};
    KeptResult result;
};

/// A node that is stopped and started again and again, and the connections of its callers.
struct Server
{
    RunningMember *member = nullptr;
    std::unique_ptr<KeptConnections> connections;
    bool isStopping = false;
    TimePoint startAt;
};

/// Callers that use open connections until the process is gone, while nodes stop and start.
class Soak
{
public:
    explicit Soak(Mesh &mesh)
        : mesh_(mesh)
        , begin_(SystemClock().now())
    {
        for (RunningMember &member : mesh.members()) {
            Server &server = servers_.emplace_back();
            server.member = &member;
            server.connections
                    = std::make_unique<KeptConnections>(mesh.caller().loop(), member.callers);
        }
    }

    void run(Milliseconds duration)
    {
        begin_ = SystemClock().now();
        const TimePoint end = begin_ + duration;
        TimePoint nextStop = begin_ + draw(500, 1500);
        while (SystemClock().now() < end) {
            for (Server &server : servers_)
                restartIfEnded(server);
            if (SystemClock().now() >= nextStop) {
                stopSeries();
                nextStop = SystemClock().now() + draw(300, 2500);
            }
            for (std::size_t i = 0; i < requestsPerTick; ++i)
                sendOne();
            mesh_.caller().wait(tick);
        }
        const auto isSettled = [&] {
            return std::ranges::all_of(servers_, [](const Server &server) {
                return server.connections->inFlight() == 0;
            });
        };
        CHECK(mesh_.caller().waitUntil(isSettled, settleLimit));
    }

    /// One line for each broken promise.
    [[nodiscard]] std::vector<std::string> failures() const
    {
        // Calls that a target makes bear the id of the request that it runs, on another path.
        std::map<std::pair<std::string, std::string>, std::size_t> runsById;
        std::map<std::string, std::size_t> runsByKey;
        for (const RunRecord &record : mesh_.executions()) {
            ++runsById[{record.requestId, record.path}];
            if (!record.key.empty())
                ++runsByKey[record.key];
        }
        std::vector<std::string> failures;
        for (const auto &[id, sent] : sent_) {
            const auto found = runsById.find({id, sent.path});
            const std::size_t runs = found == runsById.end() ? 0 : found->second;
            const CallResult &call = sent.result.call;
            const bool hasEnded = call.isAnswer() || call.execution().has_value();
            if (!hasEnded && runs > 0)
                failures.push_back("ran, but got no answer: " + describe(sent));
            else if (!hasEnded && sent.result.wasRead)
                failures.push_back("was read, but got no answer: " + describe(sent));
            if (call.execution() == Execution::NotRun && runs > 0)
                failures.push_back("refused as not run, but ran: " + describe(sent));
            if (!sent.path.starts_with("/read/") && runs > 1)
                failures.push_back("ran more than once: " + describe(sent));
        }
        for (const auto &[key, runs] : runsByKey) {
            if (runs > 1)
                failures.push_back("key " + key + " ran more than once");
        }
        return failures;
    }

    [[nodiscard]] std::string summary() const
    {
        const auto count = [&](const auto &condition) {
            return std::to_string(std::ranges::count_if(
                    sent_, [&](const auto &entry) { return condition(entry.second.result); }));
        };
        return "requests: " + std::to_string(sent_.size()) + " answered: "
               + count([](const KeptResult &result) { return result.call.isAnswer(); })
               + " not run: " + count([](const KeptResult &result) {
                     return result.call.execution() == Execution::NotRun;
                 })
               + " may have run: " + count([](const KeptResult &result) {
                     return result.call.execution() == Execution::MayHaveRun;
                 })
               + " crossed a close: " + count([](const KeptResult &result) {
                     return !result.call.isWhole && !result.wasRead;
                 })
               + " stops: " + std::to_string(stops_) + " ended: " + std::to_string(ends_)
               + " not drained: " + std::to_string(undrained_);
    }

    [[nodiscard]] std::size_t stops() const { return stops_; }
    [[nodiscard]] std::size_t answered() const
    {
        return std::ranges::count_if(
                sent_, [](const auto &entry) { return entry.second.result.call.isAnswer(); });
    }

private:
    Milliseconds draw(std::int64_t least, std::int64_t most)
    {
        return Milliseconds(std::uniform_int_distribution<std::int64_t>(least, most)(random_));
    }

    [[nodiscard]] std::size_t drawBelow(std::size_t end)
    {
        return std::uniform_int_distribution<std::size_t>(0, end - 1)(random_);
    }

    [[nodiscard]] Milliseconds elapsed() const
    {
        return std::chrono::duration_cast<Milliseconds>(SystemClock().now() - begin_);
    }

    void restartIfEnded(Server &server)
    {
        if (!server.isStopping)
            return;
        if (server.startAt == TimePoint()) {
            if (server.member->node.isRunning())
                return;
            ++ends_;
            undrained_ += server.member->node.waitForEnd(Milliseconds(0)) == 0 ? 0 : 1;
            server.startAt = SystemClock().now() + draw(0, 1500);
        }
        if (SystemClock().now() < server.startAt)
            return;
        mesh_.startNode(*server.member);
        server.isStopping = false;
        server.startAt = TimePoint();
    }

    /// Stops one node or several at once, but never all.
    void stopSeries()
    {
        const std::size_t wanted = 1 + drawBelow(std::max<std::size_t>(servers_.size() / 2, 1));
        for (std::size_t i = 0; i < wanted; ++i) {
            const auto running = std::ranges::count_if(
                    servers_, [](const Server &server) { return !server.isStopping; });
            Server &server = servers_[drawBelow(servers_.size())];
            if (server.isStopping || running < 2)
                continue;
            server.member->node.terminate();
            server.isStopping = true;
            ++stops_;
        }
    }

    void sendOne()
    {
        Server &server = servers_[drawBelow(servers_.size())];
        if (server.connections->idle() < connectionsPerNode)
            server.connections->open(connectionsPerNode - server.connections->idle());
        const std::string id = randomIdentifier();
        HttpRequest request{"GET", "/read/", {{"Chive-Request-Id", id}}, nullptr};
        const std::size_t kind = drawBelow(3);
        if (kind > 0) {
            request.method = "POST";
            request.target = kind == 1 ? "/write/" : "/entry/";
            request.body = makeBody("x");
        }
        if (kind == 2)
            request.headers.emplace_back("Idempotency-Key", drawKey());
        const Milliseconds serviceTime = drawBelow(20) == 0 ? draw(1000, 6000) : draw(5, 300);
        request.target += "x?service_ms=" + std::to_string(serviceTime.count());
        Sent &sent = sent_[id];
        sent.node = server.member->spec.name;
        sent.path = request.target;
        request.target = "/orders" + request.target;
        sent.sentAt = elapsed();
        const bool isSent = server.connections->send(request, [this, id](KeptResult result) {
            Sent &ended = sent_.at(id);
            ended.endedAt = elapsed();
            ended.result = std::move(result);
        });
        if (!isSent)
            sent_.erase(id);
    }

    /// A new key, or one that was sent before.
    std::string drawKey()
    {
        if (!keys_.empty() && drawBelow(4) == 0)
            return keys_[drawBelow(keys_.size())];
        keys_.push_back(randomIdentifier());
        if (keys_.size() > keptKeys)
            keys_.pop_front();
        return keys_.back();
    }

    static std::string describe(const Sent &sent)
    {
        return sent.path + " sent to " + sent.node + " at " + std::to_string(sent.sentAt.count())
               + " ms, ended at " + std::to_string(sent.endedAt.count()) + " ms: "
               + sent.result.call.failure.message + std::string(sent.result.call.reason());
    }

    Mesh &mesh_;
    std::mt19937_64 random_{testSeed()};
    std::vector<Server> servers_;
    TimePoint begin_;
    std::map<std::string, Sent> sent_; ///< By request id.
    std::deque<std::string> keys_;
    std::size_t stops_ = 0;
    std::size_t ends_ = 0;
    std::size_t undrained_ = 0; ///< Processes that ended before they were drained.
};

} // namespace

/// CHIVE_SOAK_SECONDS and CHIVE_SOAK_NODES make it longer and larger.
TEST_CASE("Requests are lost or repeated while nodes stop and start again and again")
{
    const std::size_t nodes = numberFromEnvironment("CHIVE_SOAK_NODES", 4);
    const Milliseconds duration(1000 * numberFromEnvironment("CHIVE_SOAK_SECONDS", 25));
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", note);
    std::vector<Endpoint> peers;
    for (std::size_t i = 0; i < nodes; ++i) {
        MemberSpec spec;
        spec.name = "node-" + std::to_string(i);
        spec.service = i % 4 == 3 ? "prices" : "orders";
        if (spec.service == "orders" && i % 2 == 0)
            spec.calls = {"prices/read/x"};
        spec.slots = 32;
        spec.serviceTime = Milliseconds(20);
        spec.hasReady = i % 2 == 0;
        spec.drainTimeout = Milliseconds(i % 3 == 0 ? 3'000 : 5'200);
        spec.peers = peers;
        peers = {mesh.add(spec).links};
    }
    for (RunningMember &member : mesh.members())
        REQUIRE(mesh.waitUntilAnswered(member, "/orders/read/ready?service_ms=1"));

    Soak soak(mesh);
    soak.run(duration);
    MESSAGE(soak.summary());
    const std::vector<std::string> failures = soak.failures();
    for (const std::string &failure : failures)
        MESSAGE(failure);
    CHECK(failures.empty());
    CHECK(soak.stops() > 3);
    CHECK(soak.answered() > 100);
}
