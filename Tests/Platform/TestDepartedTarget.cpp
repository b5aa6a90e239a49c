#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>
#include <LibKernel/Kernel.h>
#include <LibKernel/Socket.h>
#include <LibNode/Messages.h>
#include <Platform/StoreStandIn.h>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace chive;

namespace {

const Endpoint storeEndpoint{"127.0.0.1", 22'031};
const Endpoint nodeEndpoint{"127.0.0.1", 22'032};
const Endpoint targetEndpoint{"127.0.0.1", 22'033};
constexpr std::size_t bodyLimit = 64 * 1024;
/// Longer than a target may take to be used after its first heartbeat.
constexpr Milliseconds timeLimit{1'000};
constexpr Milliseconds shortLease{500};
/// Responses of a target's health check.
constexpr int serving = 200;
constexpr int leaving = 503;

Settings settings(Milliseconds lease)
{
    Settings settings;
    settings.targetLease = lease;
    settings.nodeId = "node-1";
    settings.dialect = "platform";
    settings.backing = Settings::Backing::Store;
    settings.store = storeEndpoint;
    settings.targetCalls = nodeEndpoint;
    return settings;
}

struct Heartbeat
{
    int sequence = 1;
    std::string state = "ready";
    std::string startedAt = "1700000000000";
};

/// One process of the node, with the tasks that know its target and the store.
struct Node
{
    SystemClock clock;
    Kernel kernel;
    StoreStandIn store{kernel.loop(), storeEndpoint};
    HttpClient target{kernel.loop(), nodeEndpoint, bodyLimit};
    int healthStatus = serving;
    std::unique_ptr<HttpServer> health;
    std::vector<std::unique_ptr<Task>> tasks;
    std::string usedService; ///< Empty while the node uses no target.
    std::vector<CallOutcome> outcomes;

    explicit Node(const StoreStandIn::Topics &topics = {}, int initialHealthStatus = serving,
                  Milliseconds lease = Settings().targetLease)
        : kernel(settings(lease), clock)
        , healthStatus(initialHealthStatus)
    {
        store.restore(topics, StoreStandIn::Polls::Broken);
        auto server = HttpServer::listen(
                kernel.loop(), targetEndpoint, bodyLimit,
                [this](const HttpRequest &, const auto &exchange) {
                    exchange->respond(
                            {healthStatus, {{"X-Chiverouter-Instance-Id", "i-1"}}, nullptr});
                });
        REQUIRE(server.has_value());
        health = std::move(server.value());
        kernel.bus().subscribe<TargetPressure>(
                [this](const TargetPressure &pressure) { usedService = pressure.service; });
        kernel.bus().subscribe<CallRan>(
                [this](const CallRan &ran) { outcomes.push_back(ran.outcome); });
        for (const char *name : {"target", "store"}) {
            tasks.push_back(Registry<TaskPlugin>::find(name)->create(kernel));
            tasks.back()->start();
        }
        auto catalogue = std::make_shared<Catalogue>();
        catalogue->version = 1;
        catalogue->services["s"].name = "s";
        kernel.bus().post(CatalogueChanged{std::move(catalogue)});
        runFor(Milliseconds(100));
    }

    void runFor(Milliseconds time)
    {
        const Timer timer = kernel.loop().after(time, [this] { kernel.loop().stop(); });
        kernel.loop().run();
    }

    /// The status of the node's response.
    int send(const std::string &call, const std::string &body)
    {
        std::optional<int> status;
        target.send({"POST", "/chiverouter/instances/i-1/" + call, {}, makeBody(body)}, timeLimit,
                    [&](const HttpClient::Outcome &outcome) {
                        status = outcome.has_value() ? outcome.value().status : 0;
                        kernel.loop().stop();
                    });
        kernel.loop().run();
        return status.value_or(0);
    }

    int send(const Heartbeat &heartbeat)
    {
        return send("heartbeat", R"({"address":"127.0.0.1:22033","born":)" + heartbeat.startedAt
                                         + R"(,"info":{"service":"s","version":"v1","zone":"a",)"
                                           R"("slots":4},"status":{"state":")"
                                         + heartbeat.state + R"(","sequence":)"
                                         + std::to_string(heartbeat.sequence)
                                         + R"(,"coldLeftS":0}})");
    }

    int sendHeartbeat(int sequence) { return send(Heartbeat{sequence}); }

    /// Asks for one run on the target.
    void runCall()
    {
        auto call = std::make_shared<Call>();
        call->requestId = "r-1";
        call->service = "s";
        call->method = "GET";
        call->path = "/work";
        call->repetition = Repetition::Idempotent;
        call->deadline = clock.now() + Milliseconds(20'000);
        kernel.bus().post(RunCall{nextToken(), std::move(call)});
    }
};

/// Listens where the target did and accepts nothing, with its queue of connections full, so that
/// further ones open only after `acceptAll`.
class FullListener
{
public:
    explicit FullListener(const Endpoint &endpoint)
        : address_(addressOf(endpoint))
        , listening_(socket(AF_INET, SOCK_STREAM, 0))
    {
        const int on = 1;
        setsockopt(listening_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        REQUIRE(bind(listening_, reinterpret_cast<const sockaddr *>(&address_), sizeof address_)
                == 0);
        REQUIRE(listen(listening_, 0) == 0);
        REQUIRE(fcntl(listening_, F_SETFL, O_NONBLOCK) == 0);
        for (int &filler : fillers_) {
            filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            connect(filler, reinterpret_cast<const sockaddr *>(&address_), sizeof address_);
        }
    }
    ~FullListener()
    {
        for (const int filler : fillers_)
            close(filler);
        for (const int accepted : accepted_)
            close(accepted);
        close(listening_);
    }
    FullListener(const FullListener &) = delete;
    FullListener &operator=(const FullListener &) = delete;

    void acceptAll()
    {
        for (;;) {
            const int accepted = accept(listening_, nullptr, nullptr);
            if (accepted < 0)
                return;
            accepted_.push_back(accepted);
        }
    }

    /// Whether a request has arrived on any connection.
    [[nodiscard]] bool hasRequest() const
    {
        return std::ranges::any_of(accepted_, [](int accepted) {
            char byte = 0;
            return recv(accepted, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
        });
    }

private:
    sockaddr_in address_;
    int listening_;
    std::array<int, 4> fillers_{};
    std::vector<int> accepted_;
};

} // namespace

TEST_CASE("A target that has left is used again after a restart of its node")
{
    StoreStandIn::Topics kept;
    {
        Node node;
        REQUIRE(node.sendHeartbeat(15) == 200);
        node.runFor(timeLimit);
        REQUIRE(node.usedService == "s");
        REQUIRE(node.send("deregister", "") == 200);
        node.runFor(timeLimit);

        SUBCASE("not while the process lives")
        {
            node.sendHeartbeat(16);
            node.runFor(timeLimit);
            CHECK(node.usedService.empty());
        }
        kept = node.store.copy();
    }

    Node restarted(kept, leaving);

    SUBCASE("by a heartbeat that it sent before it left and that comes late")
    {
        restarted.sendHeartbeat(16);
        restarted.runFor(timeLimit);
        CHECK(restarted.usedService.empty());
    }
}

TEST_CASE("A target that has left is used again while its node lives")
{
    Node node({}, serving, shortLease);

    SUBCASE("by a late heartbeat, after the node held no target when it heard the departure")
    {
        REQUIRE(node.send("deregister", "") == 200);
        node.healthStatus = leaving;
        node.sendHeartbeat(16);
        node.runFor(shortLease / 2);
        CHECK(node.usedService.empty());
    }
    SUBCASE("by a late heartbeat")
    {
        REQUIRE(node.sendHeartbeat(15) == 200);
        node.runFor(shortLease / 2);
        REQUIRE(node.usedService == "s");

        SUBCASE("after its lease ended before it said that it leaves")
        {
            node.runFor(timeLimit);
            REQUIRE(node.usedService.empty());
            REQUIRE(node.send("deregister", "") == 200);
            node.healthStatus = leaving;
        }
        SUBCASE("after it deregistered and its lease ended")
        {
            REQUIRE(node.send("deregister", "") == 200);
            node.healthStatus = leaving;
            node.runFor(timeLimit);
        }
        SUBCASE("after it said that it drains and its lease ended")
        {
            REQUIRE(node.send(Heartbeat{18, "draining"}) == 200);
            node.healthStatus = leaving;
            node.runFor(timeLimit);
        }
        SUBCASE("also where its health check does not show that it leaves")
        {
            REQUIRE(node.send(Heartbeat{18, "draining"}) == 200);
            node.runFor(timeLimit);
        }
        node.sendHeartbeat(16);
        node.runFor(shortLease / 2);
        CHECK(node.usedService.empty());
    }
}

TEST_CASE("A target that says that it leaves is still used when its clock was stepped back")
{
    Node node;
    REQUIRE(node.sendHeartbeat(15) == 200);
    node.runFor(timeLimit);
    REQUIRE(node.usedService == "s");

    const Heartbeat afterRestart{2, "draining", "1699999998000"};
    const bool isAcknowledged = node.send(afterRestart) == 200;
    node.runFor(timeLimit);
    CHECK((node.usedService.empty() || !isAcknowledged));
}

TEST_CASE("A request whose connection opens late reaches a target that has left")
{
    Node node;
    REQUIRE(node.sendHeartbeat(15) == 200);
    node.runFor(timeLimit);
    node.health.reset();
    FullListener busy(targetEndpoint);
    node.runCall();
    node.runFor(timeLimit);
    REQUIRE(node.outcomes.empty());

    SUBCASE("while it does not leave, the request arrives")
    {
        busy.acceptAll();
        for (int second = 0; second < 8 && !busy.hasRequest(); ++second) {
            node.runFor(timeLimit);
            busy.acceptAll();
        }
        CHECK(busy.hasRequest());
    }
    SUBCASE("once it has left, the request is refused as not run")
    {
        REQUIRE(node.send("deregister", "") == 200);
        for (int second = 0; second < 8; ++second) {
            busy.acceptAll();
            node.runFor(timeLimit);
        }
        CHECK_FALSE(busy.hasRequest());
        REQUIRE(node.outcomes.size() == 1);
        const auto &result = node.outcomes.front().result;
        REQUIRE_FALSE(result.has_value());
        CHECK(result.error().execution == Execution::NotRun);
        CHECK(result.error().reason == Reason::Leaving);
    }
}
