#pragma once

#include <LibMembership/DeltaQueue.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/MembershipMessage.h>

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// The intervals and timeouts of the membership protocol.
struct MembershipTiming
{
    Milliseconds probeInterval{1'000};
    Milliseconds indirectAfter{400}; ///< Without an Ack by then, other members probe as well.
    Milliseconds probeTimeout{1'200};
    Milliseconds gossipInterval{200};
    Milliseconds syncInterval{5'000};
    Milliseconds deadRetryInterval{5'000};
    Milliseconds joinInterval{1'000};    ///< Between attempts to reach a first member.
    Milliseconds contactInterval{5'000}; ///< Between attempts to reach nodes announced in the log.
    Milliseconds longestPause{1'000};    ///< A longer gap between two ticks counts as a pause.
    MemberRetention retention;
};

/// A message to send, with its destination.
struct MembershipSend
{
    Endpoint peer;
    MembershipMessage message;
};

/// Event counts since the start, for metrics.
struct MembershipCounters
{
    std::uint64_t probes = 0;
    std::uint64_t failedProbes = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;
    std::uint64_t refutations = 0;
    std::uint64_t syncs = 0;
};

/// The membership protocol of one node: failure detection by probes and dissemination by
/// piggybacked deltas as in SWIM (Das, Gupta, Motivala, DSN 2002), over a bounded set of neighbours
/// (Rings.h). Anti-entropy and retries of dead members heal partitions. This class does no I/O: it
/// takes the time and received messages, and returns the messages to send.
class Membership
{
public:
    Membership(const Member &self, MembershipTiming timing, std::uint64_t seed, TimePoint now);

    /// Performs the periodic work that is due. To be called about every 100 ms.
    [[nodiscard]] std::vector<MembershipSend> tick(TimePoint now);
    [[nodiscard]] std::vector<MembershipSend> receive(const MembershipMessage &message,
                                                      TimePoint now);

    /// Adds an endpoint to contact: a configured peer, or a node announced in the log.
    void addContact(const Endpoint &contact);

    /// Probes the member at this endpoint at once, after a connection to it broke or failed to
    /// open.
    void suspectLink(const Endpoint &peer);

    /// Updates this node's record after its local target changed.
    [[nodiscard]] std::vector<MembershipSend> setTarget(const std::string &service,
                                                        bool isDraining);
    /// Announces that this node is leaving. It does not become Alive again.
    [[nodiscard]] std::vector<MembershipSend> leave();
    /// Announces that this node stops now.
    [[nodiscard]] std::vector<MembershipSend> sayGone();

    [[nodiscard]] const MemberTable &table() const { return table_; }
    [[nodiscard]] const MembershipCounters &counters() const { return counters_; }
    [[nodiscard]] std::size_t queuedDeltas() const { return deltas_.size(); }

    /// Whether the member list changed since the last call.
    [[nodiscard]] bool takeChanged();

private:
    using Sends = std::vector<MembershipSend>;

    struct Probe
    {
        std::string subject;
        TimePoint sentAt;
        bool isIndirectSent = false;
        bool isRetryOfDead = false;
    };

    /// A probe made on behalf of another node.
    struct Relay
    {
        Member requester;
        std::uint64_t sequence = 0;
        std::string subject;
        TimePoint expiresAt;
    };

    [[nodiscard]] MembershipMessage compose(MembershipMessage::Type type);
    [[nodiscard]] MembershipMessage composeDigest();
    /// Queues the message, with this node's record of the peer if it differs from the peer's own.
    void send(Sends &sends, const Member &peer, MembershipMessage message) const;

    void postponeAfterPause(TimePoint now);
    void checkProbes(TimePoint now, Sends &sends);
    void startNextProbe(TimePoint now, Sends &sends);
    void startProbe(const std::string &subject, bool isRetryOfDead, TimePoint now, Sends &sends);
    void requestIndirectProbes(std::uint64_t sequence, Probe &probe, Sends &sends);
    void failProbe(const Probe &probe, TimePoint now);
    void gossip(Sends &sends);
    void notifyNeighbours(Sends &sends);
    void startSync(Sends &sends);
    void retryDead(TimePoint now, Sends &sends);
    void contactOthers(Sends &sends);
    void expireRelays(TimePoint now);

    void mergeAll(const MembershipMessage &message, TimePoint now);
    void mergeOne(const Member &claim, TimePoint now);
    void refute(const Member &claim);
    void markChanged(const std::string &nodeId);
    void handlePing(const MembershipMessage &message, Sends &sends);
    void handleAck(const MembershipMessage &message, TimePoint now, Sends &sends);
    void handleProbeRequest(const MembershipMessage &message, TimePoint now, Sends &sends);
    void handleDigest(const MembershipMessage &message, Sends &sends);
    void handleRecords(const MembershipMessage &message, Sends &sends);

    [[nodiscard]] const Neighbours &neighbours();
    [[nodiscard]] std::vector<std::string> pickNeighbours(std::size_t count,
                                                          std::string_view except);
    [[nodiscard]] static bool isDue(TimePoint &next, Milliseconds interval, TimePoint now);

    MembershipTiming timing_;
    std::mt19937_64 random_;
    MemberTable table_;
    DeltaQueue deltas_;
    MembershipCounters counters_;
    bool isStopping_ = false;
    bool isChanged_ = true;
    bool areNeighboursStale_ = true;
    Neighbours neighbours_;

    std::uint64_t nextSequence_ = 1;
    std::map<std::uint64_t, Probe> probes_;
    std::map<std::uint64_t, Relay> relays_;
    std::deque<std::string> probeOrder_;
    std::deque<std::string> urgentProbes_;
    std::map<Endpoint, int> contacts_; ///< With the number of attempts.

    TimePoint lastTick_;
    TimePoint nextProbe_;
    TimePoint nextUrgentProbe_;
    TimePoint nextGossip_;
    TimePoint nextSync_;
    TimePoint nextDeadRetry_;
    TimePoint nextContact_;
};

} // namespace chive
