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

/// Repeats what is known to one peer, for those that were away when it was news.
constexpr Milliseconds repeatInterval{5'000};

/// Collects which requests were in flight when targets crashed, shares it with the nodes beside
/// targets of the same service, and posts which requests are refused.
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
            // A crashed target announces nothing, but its peers still matter.
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
        const auto number
                = static_cast<std::uint64_t>(kernel_.clock().wallNow().time_since_epoch().count());
        std::vector<Suspicion> news;
        for (const std::string &fingerprint : crash.fingerprints) {
            Suspicion suspicion;
            suspicion.fingerprint = fingerprint;
            suspicion.crashes.push_back({kernel_.settings().nodeId, number, now});
            if (quarantine_.merge(suspicion, now))
                news.push_back(std::move(suspicion));
        }
        sendToServicePeers(news);
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
        Suspicion acquittal;
        acquittal.fingerprint = fingerprint;
        acquittal.completedAt = now;
        sendToServicePeers({&acquittal, 1});
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
        bool isNews = false;
        for (const Suspicion &suspicion : suspicions.value())
            isNews = quarantine_.merge(suspicion, now) || isNews;
        if (isNews)
            publish();
    }

    /// Those whose target is new or started again hear all that is known at once.
    void handleMembers(const MembersChanged &changed)
    {
        members_ = changed.members;
        const std::vector<Endpoint> now = servicePeers();
        const std::vector<Suspicion> known = quarantine_.suspicions();
        if (!known.empty()) {
            const auto payload = makeBody(encodeSuspicions(known, kernel_.clock().now()));
            for (const Endpoint &peer : now) {
                if (std::find(knownPeers_.begin(), knownPeers_.end(), peer) == knownPeers_.end())
                    kernel_.bus().post(
                            SendToPeer{peer, LinkClass::Control, Topic::Quarantine, payload});
            }
        }
        knownPeers_ = now;
    }

    /// A fingerprint covers the service, so only nodes beside its targets ever need to refuse it.
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

    void sendToServicePeers(std::span<const Suspicion> news)
    {
        if (news.empty())
            return;
        const auto payload = makeBody(encodeSuspicions(news, kernel_.clock().now()));
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
    std::vector<Endpoint> knownPeers_;             ///< Beside targets of the same service.
    std::map<Token, std::string> runningSuspects_; ///< Suspects that run here now.
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
