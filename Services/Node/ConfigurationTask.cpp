#include <LibKernel/Kernel.h>
#include <LibLog/StoreProtocol.h>
#include <LibNode/ConfigurationFrame.h>
#include <LibNode/Messages.h>
#include <LibPolicy/StoreChecks.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace chive {

namespace {

/// Interval between announcements of the version to peers. A node that cannot use the store learns
/// a new version from its peers in about this time.
constexpr Milliseconds gossipInterval{250};
/// Random peers that receive each announcement.
constexpr std::size_t peersPerRound = 2;
/// How long a node that hears of a newer version waits for the record from the store. Most nodes
/// get it from there, which spares the links between data centres.
constexpr Milliseconds storeGracePeriod{400};
/// Nodes that start together do not know each other at first and would all check the store.
constexpr Milliseconds firstCheckDelay{3'000};
/// The version in a request for the peer's record.
constexpr std::uint64_t noVersion = 0;
constexpr std::string_view storeSource = "store";

/// Maintains the configuration in force: the newest version received from the store or a peer.
/// Within one process the version never decreases. One node of the mesh, and others in its place,
/// checks that the store's reports of new versions arrive (LibPolicy/StoreChecks).
class ConfigurationTask final : public Task
{
public:
    explicit ConfigurationTask(Kernel &kernel)
        : kernel_(kernel)
        , protocol_(storeProtocolOf(kernel.settings()))
        , members_(std::make_shared<const std::vector<Member>>())
        , versionGauge_(prometheus::BuildGauge()
                                .Name("chiverouter_configuration_version")
                                .Help("Version of the configuration in force; 0: none.")
                                .Register(kernel.metrics())
                                .Add({}))
    {
        Bus &bus = kernel.bus();
        bus.subscribe<StoreRead>([this](const StoreRead &read) { handleRead(read); });
        bus.subscribe<StoreConfirmed>([this](const StoreConfirmed &confirmed) {
            if (confirmed.topic == StoreTopic::Configuration)
                checks_.confirmedAt = kernel_.clock().now();
        });
        bus.subscribe<MembersChanged>(
                [this](const MembersChanged &changed) { setMembers(changed.members); });
        bus.subscribe<ReceivedFromPeer>([this](const ReceivedFromPeer &frame) {
            if (frame.topic == Topic::Configuration)
                handleFrame(frame);
        });
        kernel.addStatus("configuration", [this] {
            return nlohmann::json{{"version", version_}, {"source", source_}};
        });
    }

    void start() override
    {
        kernel_.bus().post(FollowTopic{StoreTopic::Configuration});
        checks_.checkedAt = kernel_.clock().now() + firstCheckDelay;
        timer_ = kernel_.loop().every(gossipInterval, [this] {
            checkStoreIfDue();
            sendVersionToRandomPeers();
        });
    }

private:
    /// A peer with an older version.
    struct LaggingPeer
    {
        std::uint64_t version = 0;
        TimePoint since; ///< Of its first announcement of this version.
    };

    void setMembers(std::shared_ptr<const std::vector<Member>> members)
    {
        members_ = std::move(members);
        checkRank_ = storeCheckRank(*members_, kernel_.settings().nodeId);
        std::erase_if(laggingPeers_, [this](const auto &entry) {
            return std::ranges::find(*members_, entry.first, &Member::links) == members_->end();
        });
    }

    void handleRead(const StoreRead &read)
    {
        if (read.topic != StoreTopic::Configuration)
            return;
        const auto report = read.kind == StoreReadKind::Change ? VersionReport::Received
                                                               : VersionReport::Missed;
        for (const StoreEntry &entry : read.entries) {
            if (entry.key == protocol_.configurationKey && !entry.value.empty())
                applyRecord(entry.value, storeSource, report);
        }
    }

    void checkStoreIfDue()
    {
        const TimePoint now = kernel_.clock().now();
        if (!isStoreCheckDue(checks_, checkRank_, now))
            return;
        checks_.checkedAt = now;
        kernel_.bus().post(CheckStore{StoreTopic::Configuration});
    }

    void applyRecord(const std::string &record, std::string_view source, VersionReport report)
    {
        auto catalogue = protocol_.readConfiguration(record);
        if (!catalogue.has_value()) {
            LOG(WARNING) << "task=configuration event=record-ignored source=" << source
                         << " error=\"" << catalogue.error().message << '"';
            return;
        }
        std::string shared
                = catalogue.value().customers.empty() ? record : protocol_.recordForPeers(record);
        // Operators write to the store only, so a version whose record they replace is taken from
        // there. Peers may still hold the record that was replaced.
        const bool isReplaced = source == storeSource && catalogue.value().version == version_
                                && shared != *latestRecord_;
        if (catalogue.value().version <= version_ && !isReplaced)
            return;
        version_ = catalogue.value().version;
        source_ = source;
        report_ = report;
        latestRecord_ = std::make_shared<const std::string>(std::move(shared));
        versionGauge_.Set(static_cast<double>(version_));
        LOG(INFO) << "task=configuration event=in-force version=" << version_
                  << " source=" << source << " hosts=" << catalogue.value().routes.size();
        kernel_.bus().post(
                CatalogueChanged{std::make_shared<const Catalogue>(std::move(catalogue.value()))});
        sendVersionToRandomPeers();
    }

    /// Peers send their record after the grace period of the store, whose report must be lost then.
    void applyPeerRecord(const ConfigurationFrame &received)
    {
        const std::uint64_t versionBefore = version_;
        applyRecord(received.record, "peer", received.report);
        if (versionBefore != noVersion && version_ > versionBefore)
            readStoreAgain(version_);
    }

    void handleFrame(const ReceivedFromPeer &frame)
    {
        const auto parsed = decodeConfigurationFrame(*frame.payload);
        if (!parsed.has_value()) {
            LOG_EVERY_N(WARNING, 100) << "task=configuration peer=" << format(frame.peer)
                                      << " error=\"" << parsed.error().message << '"';
            return;
        }
        const ConfigurationFrame &received = parsed.value();
        if (!received.record.empty())
            applyPeerRecord(received);
        if (received.version == version_ && received.confirmedAgo) {
            const TimePoint confirmedAt = kernel_.clock().now() - *received.confirmedAgo;
            checks_.confirmedAt = std::max(checks_.confirmedAt, confirmedAt);
        }
        if (!received.record.empty())
            return;
        if (received.version > version_)
            handleNewerVersion(frame.peer, received.version, received.report);
        else if (received.version < version_ && shouldSendRecord(frame.peer, received.version))
            send(frame.peer, {version_, *latestRecord_, report_, {}});
    }

    /// Whether the peer asks for the record, or still announces the version that it had at least a
    /// grace period ago.
    bool shouldSendRecord(const Endpoint &peer, std::uint64_t version)
    {
        if (version == noVersion)
            return true;
        const TimePoint now = kernel_.clock().now();
        LaggingPeer &lagging = laggingPeers_[peer];
        if (lagging.version != version) {
            lagging = {version, now};
            return false;
        }
        return now - lagging.since >= storeGracePeriod;
    }

    void handleNewerVersion(const Endpoint &peer, std::uint64_t version, VersionReport report)
    {
        if (version > publishedVersion_) {
            publishedVersion_ = version;
            kernel_.bus().post(NewerConfigurationKnown{version});
        }
        if (version_ == noVersion) {
            send(peer, {noVersion, {}});
            return;
        }
        if (report == VersionReport::Missed)
            readStoreAgain(version);
        const bool isNewest = version > newestHeard_;
        if (isNewest || isNear(peer))
            newestHeardFrom_ = peer;
        newestHeard_ = std::max(newestHeard_, version);
        if (requestTimer_.isActive())
            return;
        requestTimer_ = kernel_.loop().after(storeGracePeriod, [this] {
            requestTimer_.cancel();
            if (version_ >= newestHeard_)
                return;
            send(newestHeardFrom_, {noVersion, {}});
            readStoreAgain(newestHeard_);
        });
    }

    /// Once for each version, as the store may no longer hold it.
    void readStoreAgain(std::uint64_t version)
    {
        if (version <= readAgainFor_)
            return;
        readAgainFor_ = version;
        kernel_.bus().post(ReadStoreAgain{StoreTopic::Configuration});
    }

    [[nodiscard]] bool isNear(const Endpoint &peer) const
    {
        return std::ranges::any_of(*members_, [&](const Member &member) {
            return member.links == peer && member.dataCentre == kernel_.settings().dataCentre;
        });
    }

    void send(const Endpoint &peer, const ConfigurationFrame &frame)
    {
        SendToPeer message{peer, LinkClass::Control, Topic::Configuration, nullptr};
        message.payload = makeBody(encodeConfigurationFrame(frame));
        kernel_.bus().post(std::move(message));
    }

    void sendVersionToRandomPeers()
    {
        std::vector<const Member *> others;
        for (const Member &member : *members_) {
            if (member.nodeId != kernel_.settings().nodeId && member.state == MemberState::Alive)
                others.push_back(&member);
        }
        std::ranges::shuffle(others, random_);
        ConfigurationFrame frame{version_, {}, report_, {}};
        if (checks_.confirmedAt != TimePoint())
            frame.confirmedAgo = std::chrono::duration_cast<Milliseconds>(kernel_.clock().now()
                                                                          - checks_.confirmedAt);
        for (std::size_t i = 0; i < std::min(peersPerRound, others.size()); ++i)
            send(others[i]->links, frame);
    }

    Kernel &kernel_;
    const StoreProtocol &protocol_;
    std::shared_ptr<const std::vector<Member>> members_;
    prometheus::Gauge &versionGauge_;
    std::uint64_t version_ = 0;
    std::string source_ = "none";
    VersionReport report_ = VersionReport::Received; ///< Of the version in force.
    /// As it is sent to peers.
    std::shared_ptr<const std::string> latestRecord_ = std::make_shared<const std::string>();
    std::map<Endpoint, LaggingPeer> laggingPeers_;
    std::uint64_t newestHeard_ = 0; ///< The newest version that peers have announced.
    Endpoint newestHeardFrom_;
    std::uint64_t publishedVersion_ = 0; ///< Of the latest NewerConfigurationKnown.
    std::uint64_t readAgainFor_ = 0;     ///< The newest version for which the store was read again.
    StoreChecks checks_;
    std::size_t checkRank_ = 0;
    std::minstd_rand random_{std::random_device{}()};
    Timer timer_;
    Timer requestTimer_; ///< While the store may still send the newest version.
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "configuration",
        [](Kernel &kernel) -> std::unique_ptr<Task> {
            return std::make_unique<ConfigurationTask>(kernel);
        },
        usesStore,
}};

} // namespace

} // namespace chive
