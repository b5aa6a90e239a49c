#include <LibKernel/Kernel.h>
#include <LibNode/CallCodec.h>
#include <LibNode/Messages.h>

#include <glog/logging.h>

#include <map>
#include <memory>
#include <utility>

namespace chive {

namespace {

/// Runs calls from other nodes on the local target, and sends the outcomes back.
class PeerCallTask final : public Task
{
public:
    explicit PeerCallTask(Kernel &kernel)
        : kernel_(kernel)
    {
        kernel.bus().subscribe<ReceivedFromPeer>(
                [this](const ReceivedFromPeer &frame) { handleFrame(frame); });
        kernel.bus().subscribe<CallRan>([this](const CallRan &ran) { handleOutcome(ran); });
        kernel.bus().subscribe<DrainExpired>([this](const DrainExpired &) {
            for (const auto &[token, origin] : runningCalls_)
                kernel_.bus().post(CancelCall{token, Reason::Leaving});
        });
        kernel.bus().subscribe<PeerLost>([this](const PeerLost &lost) { handlePeerLost(lost); });
        kernel.addInFlight("peer_calls", [this] { return runningCalls_.size(); });
    }

    void start() override {}

private:
    /// The sender of a call and the link class for its outcome.
    struct Origin
    {
        Endpoint peer;
        LinkClass linkClass = LinkClass::Short;
        Token peerToken = 0;
    };

    void handleFrame(const ReceivedFromPeer &frame)
    {
        if (frame.topic == Topic::Call)
            run(frame);
        else if (frame.topic == Topic::Cancel)
            cancel(frame);
    }

    void run(const ReceivedFromPeer &frame)
    {
        auto peerCall = decodeCall(*frame.payload, kernel_.clock().now());
        if (!peerCall.has_value()) {
            LOG_EVERY_N(WARNING, 100) << "task=peer-call peer=" << format(frame.peer) << " error=\""
                                      << peerCall.error().message << '"';
            return;
        }
        const Token token = nextToken();
        runningCalls_.emplace(token, Origin{frame.peer, frame.linkClass, peerCall.value().token});
        kernel_.bus().post(
                RunCall{token, std::make_shared<const Call>(std::move(peerCall.value().call))});
    }

    void cancel(const ReceivedFromPeer &frame)
    {
        const auto peerToken = decodeCancel(*frame.payload);
        if (!peerToken.has_value())
            return;
        for (const auto &[token, origin] : runningCalls_) {
            if (origin.peer == frame.peer && origin.peerToken == peerToken.value())
                kernel_.bus().post(CancelCall{token});
        }
    }

    /// Cancels the calls that came over a lost link. Nobody waits for their answers, so the work
    /// would be wasted.
    void handlePeerLost(const PeerLost &lost)
    {
        for (const auto &[token, origin] : runningCalls_) {
            if (origin.peer == lost.peer && origin.linkClass == lost.linkClass)
                kernel_.bus().post(CancelCall{token});
        }
    }

    void handleOutcome(const CallRan &ran)
    {
        const auto found = runningCalls_.find(ran.token);
        if (found == runningCalls_.end())
            return;
        const Origin origin = found->second;
        runningCalls_.erase(found);
        SendToPeer frame{origin.peer, origin.linkClass, Topic::Answer, nullptr};
        frame.payload = makeBody(encodeOutcome(origin.peerToken, ran.outcome));
        kernel_.bus().post(std::move(frame));
    }

    Kernel &kernel_;
    std::map<Token, Origin> runningCalls_;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "peer-call",
        [](Kernel &kernel) -> std::unique_ptr<Task> {
            return std::make_unique<PeerCallTask>(kernel);
        },
}};

} // namespace

} // namespace chive
