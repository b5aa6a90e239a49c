#include <LibKernel/Kernel.h>
#include <LibNode/ConfigurationFrame.h>
#include <LibNode/Messages.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace chive;

namespace {

const Endpoint nearPeer{"127.0.0.1", 1};
const Endpoint farPeer{"127.0.0.1", 2};
/// Longer than a node waits for the store, and than the interval of announcements.
constexpr Milliseconds longer{600};

Settings settings()
{
    Settings settings;
    settings.nodeId = "node-1";
    settings.dataCentre = "here";
    settings.dialect = "platform";
    settings.backing = Settings::Backing::Store;
    return settings;
}

std::string recordOf(std::uint64_t version)
{
    return nlohmann::json{{"version", version},
                          {"services", nlohmann::json::array()},
                          {"virtualHosts", nlohmann::json::array()}}
            .dump();
}

Member memberAt(const Endpoint &links, std::string dataCentre)
{
    Member member;
    member.nodeId = "node-" + std::to_string(links.port + 1);
    member.links = links;
    member.dataCentre = std::move(dataCentre);
    return member;
}

/// The task of one node, between a store and two peers.
struct Node
{
    struct Sent
    {
        Endpoint peer;
        ConfigurationFrame frame;
    };

    SystemClock clock;
    Kernel kernel{settings(), clock};
    std::unique_ptr<Task> task = Registry<TaskPlugin>::find("configuration")->create(kernel);
    std::vector<Sent> sent;
    std::uint64_t version = 0;
    std::uint64_t newerKnown = 0;  ///< As published to the other tasks; 0: never.
    std::size_t changes = 0;       ///< Of the configuration in force.
    std::size_t checks = 0;        ///< Of the store.
    std::size_t repeatedReads = 0; ///< Of the store.

    Node()
    {
        kernel.bus().subscribe<CatalogueChanged>([this](const CatalogueChanged &changed) {
            version = changed.catalogue->version;
            ++changes;
        });
        kernel.bus().subscribe<NewerConfigurationKnown>(
                [this](const NewerConfigurationKnown &known) { newerKnown = known.version; });
        kernel.bus().subscribe<SendToPeer>([this](const SendToPeer &message) {
            sent.push_back({message.peer, decodeConfigurationFrame(*message.payload).value()});
        });
        kernel.bus().subscribe<CheckStore>([this](const CheckStore &) { ++checks; });
        kernel.bus().subscribe<ReadStoreAgain>([this](const ReadStoreAgain &) { ++repeatedReads; });
        auto members = std::make_shared<const std::vector<Member>>(
                std::vector<Member>{memberAt(nearPeer, "here"), memberAt(farPeer, "there")});
        kernel.bus().post(MembersChanged{std::move(members)});
        task->start();
        runFor(Milliseconds(10));
    }

    void runFor(Milliseconds time)
    {
        const Timer timer = kernel.loop().after(time, [this] { kernel.loop().stop(); });
        kernel.loop().run();
    }

    void readFromStore(std::uint64_t newVersion, StoreReadKind kind = StoreReadKind::Change)
    {
        kernel.bus().post(StoreRead{StoreTopic::Configuration,
                                    {StoreEntry{"config", recordOf(newVersion), newVersion}},
                                    kind});
        runFor(Milliseconds(10));
    }

    void receive(const Endpoint &peer, const ConfigurationFrame &frame)
    {
        kernel.bus().post(ReceivedFromPeer{
                peer, LinkClass::Control, Topic::Configuration,
                std::make_shared<const std::string>(encodeConfigurationFrame(frame))});
        runFor(Milliseconds(10));
    }

    [[nodiscard]] std::size_t requestsTo(const Endpoint &peer) const
    {
        return std::ranges::count_if(sent, [&](const Sent &one) {
            return one.peer == peer && one.frame.version == 0 && one.frame.record.empty();
        });
    }

    [[nodiscard]] std::size_t recordsTo(const Endpoint &peer) const
    {
        return std::ranges::count_if(sent, [&](const Sent &one) {
            return one.peer == peer && !one.frame.record.empty();
        });
    }
};

} // namespace

TEST_CASE("A node that hears of a newer configuration from a peer")
{
    Node node;
    node.readFromStore(7);
    REQUIRE(node.version == 7);

    SUBCASE("tells the other tasks at once, but not of versions that it has")
    {
        node.receive(farPeer, {7, {}});
        CHECK(node.newerKnown == 0);
        node.receive(farPeer, {8, {}});
        CHECK(node.newerKnown == 8);
        CHECK(node.version == 7);
    }

    SUBCASE("does not ask for it if the store sends it soon")
    {
        node.receive(farPeer, {8, {}});
        node.readFromStore(8);
        node.runFor(longer);
        CHECK(node.version == 8);
        CHECK(node.requestsTo(farPeer) == 0);
    }

    SUBCASE("asks for it if the store does not")
    {
        node.receive(farPeer, {8, {}});
        node.runFor(longer);
        CHECK(node.requestsTo(farPeer) == 1);
        node.receive(farPeer, {8, recordOf(8)});
        CHECK(node.version == 8);
    }

    SUBCASE("asks a peer of its own data centre rather than one of another")
    {
        node.receive(farPeer, {8, {}});
        node.receive(nearPeer, {8, {}});
        node.receive(farPeer, {8, {}});
        node.runFor(longer);
        CHECK(node.requestsTo(nearPeer) == 1);
        CHECK(node.requestsTo(farPeer) == 0);
    }

    SUBCASE("asks again if the answer is lost")
    {
        node.receive(farPeer, {8, {}});
        node.runFor(longer);
        node.receive(farPeer, {8, {}});
        node.runFor(longer);
        CHECK(node.requestsTo(farPeer) == 2);
    }

    SUBCASE("reads the store again, once, as its waiting read may have lost the report")
    {
        node.receive(farPeer, {8, {}});
        CHECK(node.repeatedReads == 0);
        node.runFor(longer);
        CHECK(node.repeatedReads == 1);
        node.receive(farPeer, {8, {}});
        node.runFor(longer);
        CHECK(node.repeatedReads == 1);
    }

    SUBCASE("reads the store again if a peer was the first to send the record")
    {
        node.receive(farPeer, {8, recordOf(8)});
        CHECK(node.version == 8);
        CHECK(node.repeatedReads == 1);
    }

    SUBCASE("which no waiting read reported reads the store again at once and says so to others")
    {
        node.receive(farPeer, {8, {}, VersionReport::Missed, {}});
        CHECK(node.repeatedReads == 1);
        node.sent.clear();
        node.readFromStore(8, StoreReadKind::Whole);
        REQUIRE_FALSE(node.sent.empty());
        CHECK(node.sent.front().frame.version == 8);
        CHECK(node.sent.front().frame.report == VersionReport::Missed);

        SUBCASE("until the next version is reported as usual")
        {
            node.sent.clear();
            node.readFromStore(9);
            REQUIRE_FALSE(node.sent.empty());
            CHECK(node.sent.front().frame.report == VersionReport::Received);
        }
    }
}

TEST_CASE("A node checks the store")
{
    constexpr Milliseconds untilDue{6'000};
    Node node;
    node.readFromStore(7);

    SUBCASE("while no other node says that it has an answer")
    {
        node.runFor(untilDue);
        CHECK(node.checks > 0);
    }

    SUBCASE("unless another node has one about the version")
    {
        const std::optional<Milliseconds> justNow(0);
        const auto confirm = [&](std::uint64_t version) {
            for (Milliseconds waited{0}; waited < untilDue; waited += Milliseconds(250)) {
                node.receive(farPeer, {version, {}, VersionReport::Received, justNow});
                node.runFor(Milliseconds(240));
            }
        };
        SUBCASE("that is in force")
        {
            confirm(7);
            CHECK(node.checks == 0);
        }
        SUBCASE("as an earlier one proves nothing")
        {
            confirm(6);
            CHECK(node.checks > 0);
        }
    }
}

TEST_CASE("A configuration frame keeps its meaning")
{
    const ConfigurationFrame frame{8, "record", VersionReport::Missed, Milliseconds(1'200)};

    SUBCASE("through encoding and decoding")
    {
        const ConfigurationFrame decoded
                = decodeConfigurationFrame(encodeConfigurationFrame(frame)).value();
        CHECK(decoded.version == frame.version);
        CHECK(decoded.record == frame.record);
        CHECK(decoded.report == frame.report);
        CHECK(decoded.confirmedAgo == frame.confirmedAgo);
    }

    SUBCASE("if an earlier release sent it")
    {
        std::string bytes;
        nlohmann::json::to_cbor(nlohmann::json::array({8U, "record"}), bytes);
        const ConfigurationFrame decoded = decodeConfigurationFrame(bytes).value();
        CHECK(decoded.version == 8);
        CHECK(decoded.report == VersionReport::Received);
        CHECK_FALSE(decoded.confirmedAgo.has_value());
    }

    SUBCASE("and is refused if its members are of another type")
    {
        std::string bytes;
        nlohmann::json::to_cbor(nlohmann::json::array({8U, "record", "missed", nullptr}), bytes);
        CHECK_FALSE(decodeConfigurationFrame(bytes).has_value());
    }
}

TEST_CASE("A node without a configuration asks the first peer that has one at once")
{
    Node node;
    node.sent.clear();
    node.receive(farPeer, {8, {}});
    CHECK(node.requestsTo(farPeer) >= 1);
    node.receive(farPeer, {8, recordOf(8)});
    CHECK(node.version == 8);
    CHECK(node.repeatedReads == 0);
}

TEST_CASE("A node sends its record to a peer")
{
    Node node;
    node.readFromStore(7);

    SUBCASE("that asks for it, without the text of a customer's key")
    {
        auto document = nlohmann::json::parse(recordOf(8));
        document["tenants"] = {{{"name", "north"}, {"apiKeys", {"secret-key"}}}};
        const std::string record = document.dump();
        const auto write = [&] {
            node.kernel.bus().post(StoreRead{StoreTopic::Configuration,
                                             {StoreEntry{"config", record, 8}},
                                             StoreReadKind::Whole});
            node.runFor(Milliseconds(10));
        };
        write();
        REQUIRE(node.version == 8);
        node.sent.clear();
        node.receive(farPeer, {0, {}});
        REQUIRE(node.recordsTo(farPeer) == 1);
        for (const auto &one : node.sent)
            CHECK(one.frame.record.find("secret-key") == std::string::npos);

        // The same record, read from the store again, is no replacement of the one in force.
        const std::size_t before = node.changes;
        write();
        CHECK(node.changes == before);
    }

    SUBCASE("that asks for it")
    {
        node.receive(farPeer, {0, {}});
        CHECK(node.recordsTo(farPeer) == 1);
    }

    SUBCASE("that stays behind, but not at its first word, as it may be reading the store itself")
    {
        node.receive(farPeer, {6, {}});
        node.runFor(longer);
        CHECK(node.recordsTo(farPeer) == 0);
        node.receive(farPeer, {6, {}});
        CHECK(node.recordsTo(farPeer) == 1);
    }

    SUBCASE("but not to one that gets on")
    {
        node.receive(farPeer, {5, {}});
        node.runFor(longer);
        node.receive(farPeer, {6, {}});
        node.runFor(longer);
        node.receive(farPeer, {7, {}});
        CHECK(node.recordsTo(farPeer) == 0);
    }
}
