#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibLog/LogPage.h>
#include <LibLog/StoreProtocol.h>
#include <LibNode/Call.h>
#include <LibNode/DrainSchedule.h>
#include <LibNode/MeshPressure.h>
#include <LibSettings/Settings.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// The messages that the tasks of a node exchange over the Bus. A token identifies one request and
/// its reply within this process.
namespace chive {

using Token = std::uint64_t;

/// Returns a token that is unique within this process. Never 0.
[[nodiscard]] Token nextToken();

// Calls.

/// Entry or target task to router: send this call to a target and reply with its outcome.
struct RouteCall
{
    Token token = 0;
    std::shared_ptr<const Call> call;
};

/// The router's reply to RouteCall.
struct CallRouted
{
    Token token = 0;
    CallOutcome outcome;
};

/// Router or peer task to target task: run this call on the local target.
struct RunCall
{
    Token token = 0;
    std::shared_ptr<const Call> call;
};

/// The target task's reply to RunCall.
struct CallRan
{
    Token token = 0;
    CallOutcome outcome;
};

/// Cancels a RouteCall or RunCall. The reply is still sent, with a verdict as its outcome.
struct CancelCall
{
    Token token = 0;
    Reason reason = Reason::Cancelled;
};

// Links between nodes.

/// The type of a frame's payload. The task that owns a topic encodes its payload in CBOR.
enum class Topic : std::uint8_t {
    Hello = 0,
    Call = 1,
    Answer = 2,
    Cancel = 3,
    Membership = 4,
    Notes = 5,
    Once = 6,
    Quarantine = 7,
    Status = 8,
    Configuration = 9,
    Pressure = 10,        ///< Pressure reports sent to collectors.
    PressureSummary = 11, ///< Summaries sent by collectors.
    Quota = 12,           ///< Tokens of customers' quotas, asked for and lent.
};

/// The traffic class of a frame. Each class has its own connections, so that short calls and
/// control messages are not blocked behind a long body in the same TCP stream.
enum class LinkClass : std::uint8_t {
    Control = 0,
    Short = 1,
    Bulk = 2,
};

/// To the link task: send a frame. Delivery is best effort: the sender detects a lost frame only by
/// the missing reply.
struct SendToPeer
{
    Endpoint peer; ///< The peer's link endpoint.
    LinkClass linkClass = LinkClass::Control;
    Topic topic = Topic::Hello;
    std::shared_ptr<const std::string> payload;
    Token token = 0; ///< If not 0, SendFailed is reported when provably nothing was sent.
};

/// From the link task: no byte of the frame was sent, and none will be.
struct SendFailed
{
    Token token = 0;
};

/// From the link task: a frame arrived.
struct ReceivedFromPeer
{
    Endpoint peer; ///< The peer's link endpoint, as given in its Hello.
    LinkClass linkClass = LinkClass::Control;
    Topic topic = Topic::Hello;
    std::shared_ptr<const std::string> payload;
};

/// From the link task: a connection of this class could not be opened, or broke. Frames that were
/// sent on it may be lost.
struct PeerLost
{
    Endpoint peer;
    LinkClass linkClass = LinkClass::Control;
    bool wasOpen = false; ///< False: the connection could not be opened.
};

// Membership.

enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< Missed heartbeats; used only when no alive member is left.
    Leaving, ///< Draining; accepts no new work.
    Dead,
};

/// This node's view of one node and its target.
struct Member
{
    std::string nodeId;
    std::uint64_t incarnation
            = 0; ///< Increases with each start; the higher value takes precedence.
    Endpoint links;
    std::string dataCentre;
    std::string region;
    std::string service; ///< Of its local target; empty until one has announced itself.
    MemberState state = MemberState::Alive;

    bool operator==(const Member &) const = default;
};

/// From the membership task, whenever the member list changes. The list includes this node.
struct MembersChanged
{
    std::shared_ptr<const std::vector<Member>> members;
};

/// The local target announced itself, or is gone.
struct LocalTargetChanged
{
    std::string service; ///< Empty when there is no target.
    Endpoint endpoint;
    std::uint32_t slots = 0;
    bool isDraining = false;
};

/// Graceful shutdown has begun: announce it, accept no new work and finish the calls in flight.
struct StopRequested
{
    DrainSchedule schedule;
};

/// The time for calls in flight is over (DrainSchedule::answersBy): each gets its verdict now.
struct DrainExpired
{};

/// No call was in flight when this was posted; the process exits if that still holds.
struct Drained
{};

/// To the directory task: publish this node's endpoint, and report other nodes from now on.
struct AnnounceNode
{
    Member self;
};

/// From the directory task: the endpoint of a node that is, or was, registered.
struct ContactFound
{
    Endpoint contact;
};

// The store.

/// To the store task: report the topic's latest values now, and every change from now on.
struct FollowTopic
{
    StoreTopic topic = StoreTopic::Configuration;
};

/// What made the store task read the entries.
enum class StoreReadKind : std::uint8_t {
    Whole,  ///< A read of the topic's complete contents.
    Change, ///< The store reported them to the waiting read.
    Missed, ///< A check found them; the store's report was lost.
};

/// From the store task, in the store's order. A value may be reported twice. After the store came
/// back from an older copy, a whole read may lack values that were reported before.
struct StoreRead
{
    StoreTopic topic = StoreTopic::Configuration;
    std::vector<StoreEntry> entries;
    StoreReadKind kind = StoreReadKind::Change;
};

/// From the store task: everything that the store holds of the topic has been reported.
struct StoreConfirmed
{
    StoreTopic topic = StoreTopic::Configuration;
};

/// To the store task: ask now whether the waiting read has missed a change. Nothing happens while
/// the topic is being read.
struct CheckStore
{
    StoreTopic topic = StoreTopic::Configuration;
};

/// To the store task: the waiting read has missed a change, so read the topic again.
struct ReadStoreAgain
{
    StoreTopic topic = StoreTopic::Configuration;
};

/// To the store task: write a value.
struct PutInStore
{
    Token token = 0;
    StoreTopic topic = StoreTopic::Directory;
    std::string key;
    std::string value;
};

/// The store task's reply to PutInStore.
struct StorePutEnded
{
    Token token = 0;
    bool isWritten = false; ///< False: not written, or unknown whether it was.
};

// Load.

/// Calls that reached a target.
struct CallCount
{
    double calls = 0.0;    ///< In the last interval.
    double rejected = 0.0; ///< Those of them that the target rejected.
    double earlier = 0.0;  ///< In the intervals before it that were not reported, none rejected.

    bool operator==(const CallCount &) const = default;
};

/// From the target task, several times a second: the load of the local target.
struct TargetPressure
{
    std::string service;                ///< Empty while there is no target.
    double pressure = 0.0;              ///< PressureReport::pressure.
    double slots = 0.0;                 ///< Calls that may run at once.
    double waitSeconds = 0.0;           ///< Time that a call waits for a slot.
    std::map<std::string, double> work; ///< Slot seconds since the last message, by Call::rootKind.
    /// Since the last message, by Call::rootKind; empty if no bound on retries is set.
    std::map<std::string, CallCount, std::less<>> calls;
};

/// From the entry task, for each request of a caller: whether it was admitted.
struct RootDecided
{
    std::string kind;
    std::string service;
    Importance importance = Importance::Normal;
    Milliseconds objective{0};
    bool isAdmitted = true;
};

/// From the entry task: an admitted request of a caller ended.
struct RootEnded
{
    std::string kind;
    std::chrono::nanoseconds latency{0};
    bool wasServed = false; ///< If false, the latency does not reflect the request's work.
};

/// From the target task: the target is running this call, so it may make nested calls.
struct RunStarted
{
    std::shared_ptr<const Call> call;
};

/// From the target task: a call that RunStarted reported has ended.
struct RunEnded
{
    std::string requestId;
};

/// From the pressure task, several times a second: the load of the whole mesh.
struct PressureChanged
{
    std::shared_ptr<const MeshPressure> mesh;
};

// Quotas of customers.

/// Entry task to quota task: may this request of a customer run within the customer's quota?
struct TokensWanted
{
    Token token = 0;
    std::string customer;
};

/// The reply to TokensWanted.
struct TokensDecided
{
    Token token = 0;
    bool isGranted = false;
    Milliseconds retryAfter{0}; ///< When there will be room, unless it is granted.
};

/// Entry task to quota task: a request for which a token was granted has not run, and will not.
struct TokensReturned
{
    std::string customer;
};

// Status reports.

/// Status task to mesh status task: ask every member for its report.
struct CollectMeshStatus
{
    Token token = 0;
};

/// The reply to CollectMeshStatus: the members' reports as JSON text.
struct MeshStatusCollected
{
    Token token = 0;
    std::shared_ptr<const std::string> json;
};

// Release notes.

/// From the notes task: this catalogue applies from now on.
struct CatalogueChanged
{
    std::shared_ptr<const Catalogue> catalogue;
};

// The platform's log.

/// To the log task: append a record to a stream.
struct AppendToLog
{
    Token token = 0;
    std::string stream;
    std::string payload;
};

/// The log task's reply to AppendToLog. With Error::Kind::Unknown the record may have been written
/// already, or may still be written.
struct AppendedToLog
{
    Token token = 0;
    Result<std::uint64_t> offset = Error{};
    bool isRateLimited = false; ///< Nothing was written: the log's rate limit was reached.
};

/// To the log task: report every record of the stream, starting at this offset. Followers of the
/// same stream share one reader and see each other's records, so they must ignore records below the
/// offset they expect.
struct FollowStream
{
    std::string stream;
    std::uint64_t from = 0;
    Milliseconds interval{250}; ///< Between two reads when there are no new records.
};

/// To the log task: read a followed stream at this interval from now on.
struct PaceStream
{
    std::string stream;
    Milliseconds interval{250}; ///< Between two reads when there are no new records.
};

/// From the log task, after each successful read, including one without new records.
struct LogRead
{
    std::string stream;
    std::uint64_t firstRetained = 0; ///< The oldest offset that the log still retains.
    std::uint64_t end = 0;           ///< One past the newest offset at the time of the read.
    std::vector<LogRecord> records;  ///< In order of offset; gaps are records removed by retention.
};

/// From the log task, when the log became reachable or unreachable.
struct LogStateChanged
{
    bool isReachable = false;
};

// At most once.

/// Target task to once task: request permission to run the call with this key on this node.
struct AskPermission
{
    Token token = 0;
    std::string service;
    std::string key;
    std::string fingerprint; ///< Reusing a key for a different request is an error.
    TimePoint deadline;
};

/// The reply to AskPermission. If granted, the call must run now: a key is granted at most once.
/// Otherwise it holds the verdict, or the first answer if that is still known.
struct PermissionDecided
{
    Token token = 0;
    bool isGranted = false;
    Judged<Answer> otherwise = notRun(Reason::LogUnavailable);
};

/// Target task to once task: the result of a granted call.
struct GrantedCallEnded
{
    Token token = 0;
    Judged<Answer> result = mayHaveRun(Reason::TargetFailed);
};

// Requests that crash their target.

/// Target task to quarantine task: the target crashed while these calls ran on it.
struct TargetCrashed
{
    std::vector<std::string> fingerprints;
};

/// From the quarantine task: reject calls with these fingerprints.
struct QuarantineChanged
{
    std::shared_ptr<const std::vector<std::string>> fingerprints;
    /// Calls that were in flight at one crash. They must run one at a time, so that a second crash
    /// identifies the one that causes it.
    std::shared_ptr<const std::vector<std::string>> suspects;
};

} // namespace chive
