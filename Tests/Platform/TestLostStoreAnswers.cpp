#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>
#include <Platform/StoreStandIn.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

using namespace chive;

namespace {

const Endpoint storeEndpoint{"127.0.0.1", 22'013};
constexpr std::string_view configuration = "keyed.op";
constexpr std::string_view directory = "keyed.nodes";
/// `contactS` of the sites: so long after the store's return nodes must know what it holds.
constexpr Milliseconds contact{3'000};
constexpr Milliseconds outage{1'500};
/// Nodes do not check the store in the first seconds.
constexpr Milliseconds startOfChecks{4'000};

Settings settings()
{
    Settings settings;
    settings.nodeId = "node-1";
    settings.dialect = "platform";
    settings.backing = Settings::Backing::Store;
    settings.store = storeEndpoint;
    return settings;
}

std::string record(int version)
{
    return nlohmann::json{{"version", version},
                          {"services", nlohmann::json::array()},
                          {"virtualHosts", nlohmann::json::array()}}
            .dump();
}

/// The tasks of a lone node that read the store, and the store.
struct Node
{
    SystemClock clock;
    Kernel kernel{settings(), clock};
    StoreStandIn store{kernel.loop(), storeEndpoint};
    std::vector<std::unique_ptr<Task>> tasks;
    std::uint64_t version = 0;  ///< In force.
    std::string directoryValue; ///< The one read last.

    Node()
    {
        for (const std::string_view name : {"store", "configuration"})
            tasks.push_back(Registry<TaskPlugin>::find(name)->create(kernel));
        kernel.bus().subscribe<CatalogueChanged>(
                [this](const CatalogueChanged &changed) { version = changed.catalogue->version; });
        kernel.bus().subscribe<StoreRead>([this](const StoreRead &read) {
            if (read.topic == StoreTopic::Directory && !read.entries.empty())
                directoryValue = read.entries.back().value;
        });
    }

    void start()
    {
        for (const auto &task : tasks)
            task->start();
    }

    void wait(Milliseconds time)
    {
        const Timer timer = kernel.loop().after(time, [this] { kernel.loop().stop(); });
        kernel.loop().run();
    }

    template<typename Condition>
    bool waitUntil(Milliseconds limit, Condition condition)
    {
        constexpr Milliseconds step{20};
        for (Milliseconds waited{0}; waited < limit && !condition(); waited += step)
            wait(step);
        return condition();
    }

    [[nodiscard]] bool getsVersion(std::uint64_t expected)
    {
        return waitUntil(contact, [&] { return version == expected; });
    }
};

} // namespace

TEST_CASE("A configuration whose report the store lost in an outage is in force soon after it")
{
    Node node;
    node.store.write(configuration, "config", record(1));

    SUBCASE("when nodes were waiting for it")
    {
        node.start();
        REQUIRE(node.getsVersion(1));
        node.wait(startOfChecks);
        node.store.loseAnswers();
        node.store.write(configuration, "config", record(2));
        node.wait(outage);
        CHECK(node.version == 1);
        node.store.returnAnswers();
        CHECK(node.getsVersion(2));

        SUBCASE("and later ones are reported as before")
        {
            node.store.write(configuration, "config", record(3));
            CHECK(node.waitUntil(Milliseconds(500), [&] { return node.version == 3; }));
        }

        SUBCASE("again and again")
        {
            for (int version = 3; version < 6; ++version) {
                CAPTURE(version);
                node.store.loseAnswers();
                node.store.write(configuration, "config", record(version));
                node.wait(outage);
                node.store.returnAnswers();
                CHECK(node.getsVersion(version));
            }
        }
    }

    SUBCASE("when a node was reading it for the first time")
    {
        node.store.loseAnswers();
        node.start();
        node.wait(outage);
        node.store.returnAnswers();
        CHECK(node.getsVersion(1));
    }

    SUBCASE("when a node was reading it again after a failure")
    {
        node.start();
        REQUIRE(node.getsVersion(1));
        node.wait(Milliseconds(100)); // Until its long poll is open.
        node.store.restore(node.store.copy(), StoreStandIn::Polls::Broken);
        node.store.loseAnswers();
        node.store.write(configuration, "config", record(2));
        node.wait(outage);
        node.store.returnAnswers();
        CHECK(node.getsVersion(2));
    }
}

TEST_CASE("A node that learns that its waiting read lost a report reads the other topics again")
{
    Node node;
    node.store.write(configuration, "config", record(1));
    node.store.write(directory, "a", "1");
    node.start();
    node.kernel.bus().post(FollowTopic{StoreTopic::Directory});
    REQUIRE(node.getsVersion(1));
    node.wait(startOfChecks);
    node.store.loseAnswers();
    node.store.write(directory, "a", "2");
    node.store.write(configuration, "config", record(2));
    node.wait(outage);
    node.store.returnAnswers();
    CHECK(node.getsVersion(2));
    CHECK(node.waitUntil(contact, [&] { return node.directoryValue == "2"; }));
}

TEST_CASE("A check that finds no change leaves the waiting read alone")
{
    Node node;
    node.store.write(configuration, "config", record(1));
    node.kernel.bus().post(FollowTopic{StoreTopic::Configuration});
    REQUIRE(node.getsVersion(1));
    node.wait(Milliseconds(100)); // Until its long poll is open.
    const std::size_t callsBefore = node.store.calls();
    node.kernel.bus().post(CheckStore{StoreTopic::Configuration});
    node.wait(Milliseconds(200));
    CHECK(node.store.calls() == callsBefore + 1);
    node.store.write(configuration, "config", record(2));
    CHECK(node.waitUntil(Milliseconds(500), [&] { return node.version == 2; }));
}
