#include <LibKernel/Kernel.h>
#include <LibMembership/Membership.h>
#include <LibNode/Messages.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <random>
#include <utility>

namespace chive {

namespace {

constexpr Milliseconds tickInterval{100};
constexpr Milliseconds metricsInterval{1'000};
/// A member whose latest probe had a longer round trip is reported as late.
constexpr Milliseconds lateProbeThreshold{250};

std::string_view nameOf(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "dead";
    }
    return "unknown";
}

Member localMember(const Settings &settings, WallTime now)
{
    return {
            .nodeId = settings.nodeId,
            .incarnation = static_cast<std::uint64_t>(now.time_since_epoch().count()),
            .links = settings.links,
            .dataCentre = settings.dataCentre,
            .region = settings.region,
            .service = {},
            .state = MemberState::Alive,
    };
}

/// Maintains the list of members: announces this node in the directory, exchanges membership
/// messages with peers and posts MembersChanged.
class MembershipTask final : public Task
{
public:
    explicit MembershipTask(Kernel &kernel)
        : kernel_(kernel)
        , membership_(localMember(kernel.settings(), kernel.clock().wallNow()), MembershipTiming{},
                      std::random_device{}(), kernel.clock().now())
    {
        defineMetrics();
        subscribe();
        kernel_.addStatus("members", [this] { return report(); });
    }

    void start() override
    {
        for (const Endpoint &peer : kernel_.settings().peers)
            membership_.addContact(peer);
        kernel_.bus().post(AnnounceNode{membership_.table().self()});
        publishIfChanged();
        metricsTimer_ = kernel_.loop().every(metricsInterval, [this] { updateMetrics(); });
        tickTimer_ = kernel_.loop().every(tickInterval, [this] { tick(); });
    }

private:
    void subscribe()
    {
        Bus &bus = kernel_.bus();
        bus.subscribe<ReceivedFromPeer>([this](const auto &message) { receive(message); });
        bus.subscribe<PeerLost>([this](const auto &message) { handlePeerLost(message); });
        bus.subscribe<ContactFound>(
                [this](const ContactFound &found) { membership_.addContact(found.contact); });
        bus.subscribe<LocalTargetChanged>([this](const LocalTargetChanged &message) {
            sendAll(membership_.setTarget(message.service, message.isDraining));
            publishIfChanged();
        });
        bus.subscribe<StopRequested>([this](const auto &) {
            sendAll(membership_.leave());
            publishIfChanged();
        });
        bus.subscribe<Drained>([this](const auto &) {
            if (kernel_.inFlight() == 0)
                sendAll(membership_.sayGone());
        });
    }

    void tick()
    {
        sendAll(membership_.tick(kernel_.clock().now()));
        publishIfChanged();
    }

    void receive(const ReceivedFromPeer &received)
    {
        if (received.topic != Topic::Membership || !received.payload)
            return;
        const auto message = parseMembershipMessage(*received.payload);
        if (!message.has_value()) {
            LOG_EVERY_N(WARNING, 100)
                    << "task=membership event=malformed peer=" << format(received.peer);
            return;
        }
        sendAll(membership_.receive(message.value(), kernel_.clock().now()));
        publishIfChanged();
    }

    void handlePeerLost(const PeerLost &lost)
    {
        if (lost.linkClass == LinkClass::Control)
            membership_.suspectLink(lost.peer);
    }

    void sendAll(const std::vector<MembershipSend> &sends)
    {
        for (const MembershipSend &send : sends) {
            auto payload = std::make_shared<const std::string>(encode(send.message));
            bytesSent_->Increment(static_cast<double>(payload->size()));
            messagesSent_->Increment();
            kernel_.bus().post(SendToPeer{send.peer, LinkClass::Control, Topic::Membership,
                                          std::move(payload)});
        }
    }

    void publishIfChanged()
    {
        if (!membership_.takeChanged())
            return;
        auto members = std::make_shared<const std::vector<Member>>(membership_.table().present());
        kernel_.bus().post(MembersChanged{std::move(members)});
    }

    void defineMetrics()
    {
        prometheus::Registry &registry = kernel_.metrics();
        auto &members = prometheus::BuildGauge()
                                .Name("chiverouter_members")
                                .Help("Members by state, this node included")
                                .Register(registry);
        for (auto state :
             {MemberState::Alive, MemberState::Suspect, MemberState::Leaving, MemberState::Dead})
            membersByState_.push_back(&members.Add({{"state", std::string(nameOf(state))}}));
        auto &events = prometheus::BuildGauge()
                               .Name("chiverouter_membership_events")
                               .Help("Events of the membership protocol since the start")
                               .Register(registry);
        auto &sent = prometheus::BuildCounter()
                             .Name("chiverouter_membership_sent_total")
                             .Help("What the membership protocol sent, payloads only")
                             .Register(registry);
        bytesSent_ = &sent.Add({{"unit", "bytes"}});
        messagesSent_ = &sent.Add({{"unit", "messages"}});
        probes_ = &events.Add({{"event", "probe"}});
        failedProbes_ = &events.Add({{"event", "failed-probe"}});
        suspicions_ = &events.Add({{"event", "suspicion"}});
        deaths_ = &events.Add({{"event", "death"}});
        refutations_ = &events.Add({{"event", "refutation"}});
    }

    void updateMetrics()
    {
        std::vector<double> counts(membersByState_.size(), 0.0);
        for (const auto &[nodeId, record] : membership_.table().records())
            counts[static_cast<std::size_t>(record.member.state)] += 1.0;
        for (std::size_t state = 0; state < counts.size(); ++state)
            membersByState_[state]->Set(counts[state]);
        const MembershipCounters &counters = membership_.counters();
        probes_->Set(static_cast<double>(counters.probes));
        failedProbes_->Set(static_cast<double>(counters.failedProbes));
        suspicions_->Set(static_cast<double>(counters.suspicions));
        deaths_->Set(static_cast<double>(counters.deaths));
        refutations_->Set(static_cast<double>(counters.refutations));
    }

    nlohmann::json report() const
    {
        nlohmann::json members = nlohmann::json::array();
        for (const auto &[nodeId, record] : membership_.table().records())
            members.push_back(report(record));
        return members;
    }

    static nlohmann::json report(const MemberRecord &record)
    {
        const Member &member = record.member;
        nlohmann::json json{
                {"node_id", member.nodeId},          {"state", nameOf(member.state)},
                {"service", member.service},         {"data_centre", member.dataCentre},
                {"region", member.region},           {"links", format(member.links)},
                {"incarnation", member.incarnation},
        };
        if (record.roundTrip.has_value()) {
            json["round_trip_ms"] = record.roundTrip->count();
            json["late"] = *record.roundTrip > lateProbeThreshold;
        }
        return json;
    }

    Kernel &kernel_;
    Membership membership_;
    Timer tickTimer_;
    Timer metricsTimer_;

    prometheus::Counter *bytesSent_ = nullptr;
    prometheus::Counter *messagesSent_ = nullptr;
    std::vector<prometheus::Gauge *> membersByState_;
    prometheus::Gauge *probes_ = nullptr;
    prometheus::Gauge *failedProbes_ = nullptr;
    prometheus::Gauge *suspicions_ = nullptr;
    prometheus::Gauge *deaths_ = nullptr;
    prometheus::Gauge *refutations_ = nullptr;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "membership",
        [](Kernel &kernel) -> std::unique_ptr<Task> {
            return std::make_unique<MembershipTask>(kernel);
        },
}};

} // namespace

} // namespace chive
