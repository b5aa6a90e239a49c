#include <LibCustomers/KeyDigest.h>
#include <LibHttp/HttpClient.h>
#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace chive;

namespace {

const Endpoint callers{"127.0.0.1", 22'041};
constexpr std::size_t bodyLimit = 64 * 1024;
constexpr Milliseconds timeLimit{2'000};

Settings settings()
{
    Settings settings;
    settings.nodeId = "node-1";
    settings.dialect = "platform";
    settings.callers = callers;
    settings.targetService = "ledger";
    return settings;
}

std::shared_ptr<const Catalogue> catalogueWith(std::uint64_t version,
                                               const std::vector<std::string> &keys)
{
    Route route;
    route.name = route.kind.name = "closed";
    route.pathPrefix = "/x/";
    route.shares = {{"ledger", 1.0}};
    auto catalogue = std::make_shared<Catalogue>();
    catalogue->version = version;
    catalogue->routes["a.example"] = {route};
    Customer &north = catalogue->customers["north"];
    north.name = "north";
    for (const std::string &key : keys)
        north.keys.push_back(keyDigest(key));
    return catalogue;
}

/// The entry task of a node and one connection of a caller, which stays open. The mesh answers
/// every call.
struct Node
{
    SystemClock clock;
    Kernel kernel{settings(), clock};
    std::unique_ptr<Task> entry = Registry<TaskPlugin>::find("entry")->create(kernel);
    HttpClient caller{kernel.loop(), callers, bodyLimit};
    std::vector<std::shared_ptr<const Call>> routed;

    Node()
    {
        caller.trustServer();
        kernel.bus().subscribe<RouteCall>([this](const RouteCall &message) {
            routed.push_back(message.call);
            CallOutcome outcome;
            outcome.result = Answer{};
            kernel.bus().post(CallRouted{message.token, outcome});
        });
        entry->start();
    }

    template<typename Message>
    void post(Message message)
    {
        kernel.bus().post(std::move(message));
        const Timer timer = kernel.loop().after(Milliseconds(10), [this] { kernel.loop().stop(); });
        kernel.loop().run();
    }

    /// The status of the response.
    int send(const std::string &key, const std::string &requestId = "id-1")
    {
        HttpRequest request{"GET",
                            "/x/1",
                            {{"Host", "a.example"}, {"X-Chiverouter-Attempt-Id", requestId}},
                            nullptr};
        if (!key.empty())
            request.headers.emplace_back("Authorization", "Bearer " + key);
        std::optional<int> status;
        caller.send(request, timeLimit, [&](const HttpClient::Outcome &outcome) {
            status = outcome.has_value() ? outcome.value().status : 0;
            kernel.loop().stop();
        });
        kernel.loop().run();
        return status.value_or(0);
    }
};

} // namespace

TEST_CASE("A key that is withdrawn is refused on connections that are open")
{
    Node node;
    CHECK(node.send("n1") == 503);
    node.post(CatalogueChanged{catalogueWith(1, {"n1", "n2"})});
    CHECK(node.send("n1") == 200);
    node.post(CatalogueChanged{catalogueWith(2, {"n2"})});
    CHECK(node.send("n1") == 401);
    CHECK(node.send("n2") == 200);

    SUBCASE("as is a value with control bytes, which is an error of HTTP without customers")
    {
        CHECK(node.send("n2\x01") == 401);
        CHECK(node.send("n2") == 200);
        auto without = std::make_shared<Catalogue>(*catalogueWith(3, {}));
        without->customers.clear();
        node.post(CatalogueChanged{without});
        CHECK(node.send("n2\x01") == 400);
    }
    SUBCASE("and not accepted again if the record of the version is replaced")
    {
        node.post(CatalogueChanged{catalogueWith(2, {"n1", "n2"})});
        CHECK(node.send("n1") == 401);
        node.post(CatalogueChanged{catalogueWith(3, {"n1", "n2"})});
        CHECK(node.send("n1") == 200);
    }
    SUBCASE("and neither accepted nor called unknown while a peer has a newer version")
    {
        node.post(NewerConfigurationKnown{3});
        CHECK(node.send("n1") == 503);
        CHECK(node.send("n2") == 200);
        node.post(CatalogueChanged{catalogueWith(3, {"n2"})});
        CHECK(node.send("n1") == 401);
    }
}

TEST_CASE("A call of the local target needs no key and belongs to its root's customer")
{
    Node node;
    node.post(CatalogueChanged{catalogueWith(1, {"n1"})});
    REQUIRE(node.send("n1", "root") == 200);
    CHECK(node.send("", "root.1") == 401);

    SUBCASE("while the call that makes it runs")
    {
        node.post(RunStarted{node.routed.back()});
        REQUIRE(node.send("", "root.1") == 200);
        CHECK(node.routed.back()->customer == "north");
        CHECK(node.routed.back()->isNested);
        CHECK(node.send("", "other.1") == 401);
        node.post(RunEnded{"root"});
        CHECK(node.send("", "root.1") == 401);
    }
    SUBCASE("and afterwards if only targets send its kind")
    {
        auto mesh = std::make_shared<MeshPressure>();
        mesh->nestedKinds.insert("closed");
        node.post(PressureChanged{mesh});
        REQUIRE(node.send("", "root.1") == 200);
        CHECK(node.routed.back()->customer.empty());
        CHECK(node.routed.back()->isNested);

        SUBCASE("but a request whose id names no other call is a caller's")
        {
            CHECK(node.send("", "root") == 401);
        }
        SUBCASE("and so is one with a key")
        {
            REQUIRE(node.send("n1", "root.1") == 200);
            CHECK_FALSE(node.routed.back()->isNested);
            CHECK(node.routed.back()->customer == "north");
        }
    }
}
