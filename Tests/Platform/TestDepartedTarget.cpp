#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>
#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>
#include <Platform/StoreStandIn.h>

#include <doctest/doctest.h>

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

Settings settings()
{
    Settings settings;
    settings.nodeId = "node-1";
    settings.dialect = "platform";
    settings.backing = Settings::Backing::Store;
    settings.store = storeEndpoint;
    settings.targetCalls = nodeEndpoint;
    return settings;
}

/// One process of the node, with the tasks that know its target and the store.
struct Node
{
    SystemClock clock;
    Kernel kernel{settings(), clock};
    StoreStandIn store{kernel.loop(), storeEndpoint};
    HttpClient target{kernel.loop(), nodeEndpoint, bodyLimit};
    std::unique_ptr<HttpServer> health;
    std::vector<std::unique_ptr<Task>> tasks;
    std::string usedService; ///< Empty while the node uses no target.

    explicit Node(const StoreStandIn::Topics &topics = {}, int healthStatus = 200)
    {
        store.restore(topics, StoreStandIn::Polls::Broken);
        auto server = HttpServer::listen(
                kernel.loop(), targetEndpoint, bodyLimit,
                [healthStatus](const HttpRequest &, const auto &exchange) {
                    exchange->respond(
                            {healthStatus, {{"X-Chiverouter-Instance-Id", "i-1"}}, nullptr});
                });
        REQUIRE(server.has_value());
        health = std::move(server.value());
        kernel.bus().subscribe<TargetPressure>(
                [this](const TargetPressure &pressure) { usedService = pressure.service; });
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

    int sendHeartbeat(int sequence)
    {
        return send("heartbeat",
                    R"({"address":"127.0.0.1:22033","born":1700000000000,"info":{"service":"s",)"
                    R"("version":"v1","zone":"a","slots":4},"status":{"state":"ready","sequence":)"
                            + std::to_string(sequence) + R"(,"coldLeftS":0}})");
    }
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

    constexpr int leaving = 503;
    Node restarted(kept, leaving);

    SUBCASE("by a heartbeat that it sent before it left and that comes late")
    {
        restarted.sendHeartbeat(16);
        restarted.runFor(timeLimit);
        CHECK(restarted.usedService.empty());
    }
}
