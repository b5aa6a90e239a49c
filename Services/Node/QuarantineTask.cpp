#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>
#include <LibQuarantine/QuarantineMessage.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chive {

namespace {

/// Interval at which all suspicions are sent to one random peer, for peers that missed them before.
constexpr Milliseconds repeatInterval{5'000};

/// Records which requests were in flight when targets crashed, shares these suspicions with the
/// nodes whose targets run the same service, and posts which requests are refused.
class QuarantineTask final : public Task
{
public:
    explicit QuarantineTask(Kernel &kernel)
        : kernel_(kernel)
        , crashesTotal_(prometheus::BuildCounter()
                                .Name("chiverouter_target_crashes_total")
                                .Help("Crashes of the target beside this node.")
                                .Register(kernel.metrics())
                                .Add({}))
        , quarantinedCount_(prometheus::BuildGauge()
                                    .Name("chiverouter_quarantined_requests")
                                    .Help("Fingerprints of requests that are refused.")
                                    .Register(kernel.metrics())
                                    .Add({}))
    {
        Bus &bus = kernel.bus();
        bus.subscribe<LocalTargetChanged>([this](const LocalTargetChanged &changed) {
            // A crashed target has no service. The last one is kept, as this node still exchanges
            // suspicions with the other nodes of that service.
            if (!changed.service.empty())
                service_ = changed.service;
        });
        bus.subscribe<MembersChanged>(
                [this](const MembersChanged &changed) { handleMembers(changed); });
        bus.subscribe<TargetCrashed>([this](const TargetCrashed &crash) { handleCrash(crash); });
        bus.subscribe<RunCall>([this](const RunCall &message) { handleCallStarted(message); });
        bus.subscribe<CallRan>([this](const CallRan &message) { handleCallEnded(message); });
        bus.subscribe<ReceivedFromPeer>([this](const ReceivedFromPeer &frame) {
            if (frame.topic == Topic::Quarantine)
                handleSuspicions(frame);
        });
        kernel.addStatus("quarantine", [this] { return status(); });
    }

    void start() override
    {
        timer_ = kernel_.loop().every(repeatInterval, [this] { repeatToRandomPeer(); });
    }

private:
    void handleCrash(const TargetCrashed &crash)
    {
        crashesTotal_.Increment();
        const TimePoint now = kernel_.clock().now();
        const auto crashNumber
                = static_cast<std::uint64_t>(kernel_.clock().wallNow().time_since_epoch().count());
        std::vector<Suspicion> newSuspicions;
        for (const std::string &fingerprint : crash.fingerprints) {
            Suspicion suspicion;
            suspicion.fingerprint = fingerprint;
            suspicion.crashes.push_back({kernel_.settings().nodeId, crashNumber, now});
            if (quarantine_.merge(suspicion, now))
                newSuspicions.push_back(std::move(suspicion));
        }
        sendToServicePeers(newSuspicions);
        publish();
    }

    void handleCallStarted(const RunCall &message)
    {
        if (quarantine_.isSuspected(message.call->fingerprint))
            runningSuspects_.insert_or_assign(message.token, message.call->fingerprint);
    }

    void handleCallEnded(const CallRan &message)
    {
        const auto found = runningSuspects_.find(message.token);
        if (found == runningSuspects_.end())
            return;
        const std::string fingerprint = std::move(found->second);
        runningSuspects_.erase(found);
        const TimePoint now = kernel_.clock().now();
        if (!message.outcome.result.has_value() || !quarantine_.noteCompletion(fingerprint, now))
            return;
        Suspicion completion;
        completion.fingerprint = fingerprint;
        completion.completedAt = now;
        sendToServicePeers({&completion, 1});
        publish();
    }

    void handleSuspicions(const ReceivedFromPeer &frame)
    {
        const TimePoint now = kernel_.clock().now();
        const auto suspicions = parseSuspicions(bytesOf(frame.payload), now);
        if (!suspicions.has_value()) {
            LOG_EVERY_N(WARNING, 100) << "task=quarantine peer=" << format(frame.peer)
                                      << " error=\"" << suspicions.error().message << '"';
            return;
        }
        bool hasChanged = false;
        for (const Suspicion &suspicion : suspicions.value())
            hasChanged = quarantine_.merge(suspicion, now) || hasChanged;
        if (hasChanged)
            publish();
    }

    /// Sends all suspicions at once to nodes whose target is new or was restarted.
    void handleMembers(const MembersChanged &changed)
    {
        members_ = changed.members;
        const std::vector<Endpoint> current = servicePeers();
        const std::vector<Suspicion> known = quarantine_.suspicions();
        if (!known.empty()) {
            const auto payload = makeBody(encodeSuspicions(known, kernel_.clock().now()));
            for (const Endpoint &peer : current) {
                if (std::find(knownPeers_.begin(), knownPeers_.end(), peer) == knownPeers_.end())
                    kernel_.bus().post(
                            SendToPeer{peer, LinkClass::Control, Topic::Quarantine, payload});
            }
        }
        knownPeers_ = current;
    }

    /// The other nodes whose targets run this service. A fingerprint covers the service, so no
    /// other node needs to refuse it.
    [[nodiscard]] std::vector<Endpoint> servicePeers() const
    {
        std::vector<Endpoint> found;
        if (members_ == nullptr)
            return found;
        for (const Member &member : *members_) {
            if (member.service == service_ && member.nodeId != kernel_.settings().nodeId)
                found.push_back(member.links);
        }
        return found;
    }

    void sendToServicePeers(std::span<const Suspicion> suspicions)
    {
        if (suspicions.empty())
            return;
        const auto payload = makeBody(encodeSuspicions(suspicions, kernel_.clock().now()));
        for (const Endpoint &peer : servicePeers())
            kernel_.bus().post(SendToPeer{peer, LinkClass::Control, Topic::Quarantine, payload});
    }

    void repeatToRandomPeer()
    {
        const TimePoint now = kernel_.clock().now();
        quarantine_.expire(now);
        publish();
        const std::vector<Suspicion> known = quarantine_.suspicions();
        const std::vector<Endpoint> candidates = servicePeers();
        if (known.empty() || candidates.empty())
            return;
        std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
        kernel_.bus().post(SendToPeer{candidates[pick(random_)], LinkClass::Control,
                                      Topic::Quarantine, makeBody(encodeSuspicions(known, now))});
    }

    void publish()
    {
        const TimePoint now = kernel_.clock().now();
        auto quarantined = quarantine_.quarantined(now);
        auto suspects = quarantine_.suspects(now);
        if (quarantined == published_ && suspects == publishedSuspects_)
            return;
        published_ = quarantined;
        publishedSuspects_ = suspects;
        quarantinedCount_.Set(static_cast<double>(quarantined.size()));
        LOG(INFO) << "task=quarantine event=changed quarantined=" << quarantined.size()
                  << " suspects=" << suspects.size();
        kernel_.bus().post(QuarantineChanged{
                std::make_shared<const std::vector<std::string>>(std::move(quarantined)),
                std::make_shared<const std::vector<std::string>>(std::move(suspects))});
    }

    [[nodiscard]] nlohmann::json status() const
    {
        const TimePoint now = kernel_.clock().now();
        return {{"quarantined", quarantine_.quarantined(now)},
                {"suspects", quarantine_.suspects(now)}};
    }

    Kernel &kernel_;
    Quarantine quarantine_;
    std::mt19937_64 random_{std::random_device{}()};
    std::string service_;
    std::shared_ptr<const std::vector<Member>> members_;
    std::vector<Endpoint> knownPeers_;             ///< As of the last membership change.
    std::map<Token, std::string> runningSuspects_; ///< Fingerprints of suspects in flight.
    std::vector<std::string> published_;
    std::vector<std::string> publishedSuspects_;
    prometheus::Counter &crashesTotal_;
    prometheus::Gauge &quarantinedCount_;
    Timer timer_;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "quarantine",
        [](Kernel &kernel) -> std::unique_ptr<Task> {
            return std::make_unique<QuarantineTask>(kernel);
        },
}};

} // namespace

} // namespace chive
