#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>
#include <Platform/StoreStandIn.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

using namespace chive;

namespace {

const Endpoint storeEndpoint{"127.0.0.1", 22011};
constexpr std::string_view directory = "keyed.nodes";
constexpr std::string_view configuration = "keyed.op";
/// Longer than the interval between two reads of the directory.
constexpr Milliseconds timeLimit{4'000};

Settings settings()
{
    Settings settings;
    settings.nodeId = "node-1";
    settings.dialect = "platform";
    settings.backing = Settings::Backing::Store;
    settings.store = storeEndpoint;
    return settings;
}

/// A node's tasks that use the store, and the store.
struct Node
{
    SystemClock clock;
    Kernel kernel{settings(), clock};
    StoreStandIn store{kernel.loop(), storeEndpoint};
    std::vector<std::unique_ptr<Task>> tasks;
    std::map<StoreTopic, std::map<std::string, std::string>> seen;
    std::vector<std::shared_ptr<const Catalogue>> catalogues; ///< In the order of taking effect.

    explicit Node(std::initializer_list<std::string_view> names)
    {
        for (const std::string_view name : names) {
            const TaskPlugin *plugin = Registry<TaskPlugin>::find(name);
            REQUIRE(plugin != nullptr);
            tasks.push_back(plugin->create(kernel));
        }
        kernel.bus().subscribe<CatalogueChanged>([this](const CatalogueChanged &changed) {
            catalogues.push_back(changed.catalogue);
        });
        kernel.bus().subscribe<StoreRead>([this](const StoreRead &read) {
            auto &values = seen[read.topic];
            if (read.kind == StoreReadKind::Whole)
                values.clear();
            for (const StoreEntry &entry : read.entries)
                values.insert_or_assign(entry.key, entry.value);
        });
    }

    void wait(Milliseconds time)
    {
        const Timer timer = kernel.loop().after(time, [this] { kernel.loop().stop(); });
        kernel.loop().run();
    }

    template<typename Condition>
    bool waitUntil(Condition condition)
    {
        constexpr Milliseconds step{20};
        for (Milliseconds waited{0}; waited < timeLimit && !condition(); waited += step)
            wait(step);
        return condition();
    }

    /// Whether all values in the store's topic are reported in time.
    bool hasSeen(StoreTopic topic, std::string_view name)
    {
        return waitUntil([&] {
            return std::ranges::all_of(store.newest(name), [&](const auto &entry) {
                const auto found = seen[topic].find(entry.first);
                return found != seen[topic].end() && found->second == entry.second;
            });
        });
    }
};

} // namespace

TEST_CASE("A follower misses no value written after the store came back from an older copy")
{
    Node node({"store"});
    node.store.write(directory, "a", "1");
    node.store.write(configuration, "config", "1");
    const StoreStandIn::Topics copy = node.store.copy();
    node.store.write(directory, "b", "1");
    node.store.write(configuration, "config", "2");

    SUBCASE("when no call was open, and the offsets have passed the one to read from")
    {
        node.kernel.bus().post(FollowTopic{StoreTopic::Directory});
        REQUIRE(node.hasSeen(StoreTopic::Directory, directory));
        node.store.restore(copy, StoreStandIn::Polls::Broken);
        for (const char *key : {"c", "d", "e"})
            node.store.write(directory, key, "1");
        CHECK(node.hasSeen(StoreTopic::Directory, directory));
    }

    SUBCASE("when both topics are followed")
    {
        node.kernel.bus().post(FollowTopic{StoreTopic::Configuration});
        REQUIRE(node.hasSeen(StoreTopic::Configuration, configuration));
        node.wait(Milliseconds(100)); // Until its long poll is open.
        node.kernel.bus().post(FollowTopic{StoreTopic::Directory});
        REQUIRE(node.hasSeen(StoreTopic::Directory, directory));

        SUBCASE("and the long poll of one stays open")
        {
            node.store.restore(copy, StoreStandIn::Polls::Kept);
            node.store.write(configuration, "config", "3");
            CHECK(node.hasSeen(StoreTopic::Configuration, configuration));
        }

        SUBCASE("and it is restored again and again")
        {
            for (const std::string value : {"3", "4", "5"}) {
                CAPTURE(value);
                node.store.restore(copy, StoreStandIn::Polls::Broken);
                for (const char *key : {"c", "d", "e"})
                    node.store.write(directory, key, value);
                node.store.write(configuration, "config", value);
                CHECK(node.hasSeen(StoreTopic::Directory, directory));
                CHECK(node.hasSeen(StoreTopic::Configuration, configuration));
            }
        }
    }
}

TEST_CASE("A node's entry that the store has lost is written again")
{
    Node node({"store", "store-directory"});
    const StoreStandIn::Topics copy;
    Member self;
    self.nodeId = "node-1";
    self.links = {"127.0.0.1", 1};
    const auto isListed = [&] {
        return node.store.newest(directory)
               == std::map<std::string, std::string>{{"node-1", "127.0.0.1:1"}};
    };
    node.kernel.bus().post(FollowTopic{StoreTopic::Configuration});
    node.kernel.bus().post(AnnounceNode{self});
    REQUIRE(node.waitUntil(isListed));
    node.wait(Milliseconds(100));

    SUBCASE("once per restore")
    {
        for (int i = 0; i < 2; ++i) {
            node.store.restore(copy, StoreStandIn::Polls::Broken);
            CHECK(node.waitUntil(isListed));
        }
        node.wait(Milliseconds(1'500));
        CHECK(node.store.copy().at(std::string(directory)).size() == 1);
    }

    SUBCASE("also when the copy has an older value of it")
    {
        StoreStandIn::Topics older;
        older[std::string(directory)].emplace_back("node-1", "127.0.0.1:2");
        node.store.restore(older, StoreStandIn::Polls::Broken);
        CHECK(node.waitUntil(isListed));
    }
}

TEST_CASE("New entries of the directory cost a node few calls")
{
    Node node({"store"});
    const auto writeEntries = [&](int count) {
        for (int i = 0; i < count; ++i) {
            node.store.write(directory, "late-" + std::to_string(i), "1");
            node.wait(Milliseconds(250));
        }
    };
    /// One read of all entries, three early reads of changes, and one that waits.
    constexpr std::size_t mostEarlyCalls = 5;

    SUBCASE("that knows others, which tell it of new nodes")
    {
        auto members = std::make_shared<const std::vector<Member>>(2);
        node.kernel.bus().post(MembersChanged{std::move(members)});
        node.kernel.bus().post(FollowTopic{StoreTopic::Directory});
        writeEntries(18);
        CHECK(node.store.calls() <= mostEarlyCalls);
    }

    SUBCASE("unless it is alone, as it must find others soon")
    {
        node.kernel.bus().post(FollowTopic{StoreTopic::Directory});
        writeEntries(18);
        CHECK(node.store.calls() > mostEarlyCalls);
        CHECK(node.hasSeen(StoreTopic::Directory, directory));
    }
}

TEST_CASE("The configuration in force never goes back to what an older copy of the store holds")
{
    const auto record = [](int version, int idleTimeout) {
        return nlohmann::json{{"version", version},
                              {"services", nlohmann::json::array()},
                              {"virtualHosts", nlohmann::json::array()},
                              {"limits", {{"idleTimeoutS", idleTimeout}}}}
                .dump();
    };
    Node node({"store", "configuration"});
    node.store.write(configuration, "config", record(1, 10));
    const StoreStandIn::Topics copy = node.store.copy();
    node.store.write(configuration, "config", record(3, 30));
    node.tasks.back()->start();
    REQUIRE(node.waitUntil([&] { return node.catalogues.size() == 1; }));
    CHECK(node.catalogues.back()->version == 3);
    node.wait(Milliseconds(100)); // Until its long poll is open.
    node.store.restore(copy, StoreStandIn::Polls::Broken);
    REQUIRE(node.hasSeen(StoreTopic::Configuration, configuration));
    CHECK(node.catalogues.size() == 1);

    SUBCASE("nor changes when the lost version is written again")
    {
        node.store.write(configuration, "config", record(3, 30));
        CHECK(node.hasSeen(StoreTopic::Configuration, configuration));
        CHECK(node.catalogues.size() == 1);
    }

    SUBCASE("but follows the store when the lost version's number gets other contents")
    {
        node.store.write(configuration, "config", record(3, 20));
        REQUIRE(node.waitUntil([&] { return node.catalogues.size() == 2; }));
        CHECK(node.catalogues.back()->version == 3);
        CHECK(node.catalogues.back()->idleTimeout == std::chrono::seconds(20));
    }
}
