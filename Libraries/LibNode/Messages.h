#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibLog/LogPage.h>
#include <LibLog/StoreProtocol.h>
#include <LibNode/Call.h>
#include <LibNode/MeshPressure.h>
#include <LibSettings/Settings.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// The messages that the tasks of a node exchange over the Bus. A token names one exchange within
/// this process; the answer carries the token of the question.
namespace chive {

using Token = std::uint64_t;

/// A token that no other exchange in this process has. Never 0.
[[nodiscard]] Token nextToken();

// ---- Calls -------------------------------------------------------------------------------------

/// Entry or target task to router: bring this call to a target and its outcome back.
struct RouteCall
{
    Token token = 0;
    std::shared_ptr<const Call> call;
};

/// Router to whoever asked.
struct CallRouted
{
    Token token = 0;
    CallOutcome outcome;
};

/// Router or peer task to target task: run this call on the target beside this node.
struct RunCall
{
    Token token = 0;
    std::shared_ptr<const Call> call;
};

/// Target task to whoever asked.
struct CallRan
{
    Token token = 0;
    CallOutcome outcome;
};

/// The answer to RouteCall or RunCall is no longer wanted; it still comes, as a verdict.
struct CancelCall
{
    Token token = 0;
};

// ---- Links between nodes -----------------------------------------------------------------------

/// What a frame on a link is about; each topic's task encodes its own payload in CBOR.
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
    Pressure = 10,        ///< Reports to collectors.
    PressureSummary = 11, ///< From collectors.
};

/// Each class has connections of its own, so that short work and control never wait behind a long
/// body in one TCP stream.
enum class LinkClass : std::uint8_t {
    Control = 0,
    Short = 1,
    Bulk = 2,
};

/// To the link task. Sending is best effort; a lost frame is known by a missing answer.
struct SendToPeer
{
    Endpoint peer; ///< The peer's link endpoint.
    LinkClass linkClass = LinkClass::Control;
    Topic topic = Topic::Hello;
    std::shared_ptr<const std::string> payload;
    Token token = 0; ///< Not 0: report SendFailed when the frame was provably not sent.
};

/// From the link task: not one byte of the frame left this process, and none will.
struct SendFailed
{
    Token token = 0;
};

/// From the link task.
struct ReceivedFromPeer
{
    Endpoint peer; ///< The peer's link endpoint, as it said in its Hello.
    LinkClass linkClass = LinkClass::Control;
    Topic topic = Topic::Hello;
    std::shared_ptr<const std::string> payload;
};

/// From the link task: a connection of this class could not be made or broke; frames that were
/// sent on it may be lost.
struct PeerLost
{
    Endpoint peer;
    LinkClass linkClass = LinkClass::Control;
    bool wasOpen = false; ///< False: the connection could not be made.
};

// ---- Membership --------------------------------------------------------------------------------

enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< Missed heartbeats; still used when nobody better is left.
    Leaving, ///< Drains; takes no new work.
    Dead,
};

/// One node with its target, as this node knows it.
struct Member
{
    std::string nodeId;
    std::uint64_t incarnation = 0; ///< Rises with each start; the higher one wins.
    Endpoint links;
    std::string dataCentre;
    std::string region;
    std::string service; ///< Of the target beside it; empty while none has announced itself.
    MemberState state = MemberState::Alive;

    bool operator==(const Member &) const = default;
};

/// From the membership task, whenever the list changes; this node is part of it.
struct MembersChanged
{
    std::shared_ptr<const std::vector<Member>> members;
};

/// The target beside this node announced itself, or is gone.
struct LocalTargetChanged
{
    std::string service; ///< Empty when there is none.
    Endpoint endpoint;
    std::uint32_t slots = 0;
    bool isDraining = false;
};

/// A planned stop has begun: announce it, take no new work, finish what is in flight.
struct StopRequested
{};

/// Nothing is in flight any more; the process may end.
struct Drained
{};

/// To the directory task: publish where this node is found, and report others from now on.
struct AnnounceNode
{
    Member self;
};

/// From the directory task: a node was or is found here.
struct ContactFound
{
    Endpoint contact;
};

// ---- The store ---------------------------------------------------------------------------------

/// To the store task: from now on report the topic's newest values and every change.
struct FollowTopic
{
    StoreTopic topic = StoreTopic::Configuration;
};

/// From the store task, in the order of the store; a value may be reported twice.
struct StoreRead
{
    StoreTopic topic = StoreTopic::Configuration;
    std::vector<StoreEntry> entries;
    bool isWhole = false; ///< The entries are all that the topic holds.
};

/// To the store task.
struct PutInStore
{
    Token token = 0;
    StoreTopic topic = StoreTopic::Directory;
    std::string key;
    std::string value;
};

/// From the store task.
struct StorePutEnded
{
    Token token = 0;
    bool isWritten = false; ///< False: not written, or not known to be.
};

// ---- Load --------------------------------------------------------------------------------------

/// From the target task, several times a second: how full the target beside this node is.
struct TargetPressure
{
    std::string service;                ///< Empty while there is no target.
    double pressure = 0.0;              ///< PressureReport::pressure.
    double slots = 0.0;                 ///< That may run at once.
    double waitSeconds = 0.0;           ///< That work waits for a slot.
    std::map<std::string, double> work; ///< Slot seconds since the last message, by Call::rootKind.
};

/// From the entry task, for each request of a caller: whether it was taken on.
struct RootDecided
{
    std::string kind;
    std::string service;
    Importance importance = Importance::Normal;
    Milliseconds objective{0};
    bool isAdmitted = true;
};

/// From the entry task: a request of a caller that was taken on ended.
struct RootEnded
{
    std::string kind;
    std::chrono::nanoseconds latency{0};
    bool wasServed = false; ///< Otherwise the latency tells nothing of its work.
};

/// From the target task: the target runs this call now, so it may make nested calls.
struct RunStarted
{
    std::shared_ptr<const Call> call;
};

/// From the target task: a call that was in RunStarted ended.
struct RunEnded
{
    std::string requestId;
};

/// From the pressure task, several times a second.
struct PressureChanged
{
    std::shared_ptr<const MeshPressure> mesh;
};

// ---- Status reports ----------------------------------------------------------------------------

/// Status task to mesh status task: ask every member for its report.
struct CollectMeshStatus
{
    Token token = 0;
};

/// The answer: the members' reports as JSON text.
struct MeshStatusCollected
{
    Token token = 0;
    std::shared_ptr<const std::string> json;
};

// ---- Release notes -----------------------------------------------------------------------------

/// From the notes task: this catalogue is in force from now on.
struct CatalogueChanged
{
    std::shared_ptr<const Catalogue> catalogue;
};

// ---- The platform's log ------------------------------------------------------------------------

/// To the log task.
struct AppendToLog
{
    Token token = 0;
    std::string stream;
    std::string payload;
};

/// From the log task. Error::Kind::Unknown: the record may have been written, and may still be.
struct AppendedToLog
{
    Token token = 0;
    Result<std::uint64_t> offset = Error{};
    bool isRateLimited = false; ///< Nothing was written because the log takes no more for now.
};

/// To the log task: from now on report every record of the stream, from this offset on. Followers
/// of the same stream share one reader and see each other's records: they ignore those below the
/// offset they expect.
struct FollowStream
{
    std::string stream;
    std::uint64_t from = 0;
    Milliseconds interval{250}; ///< Between two reads when nothing new came.
};

/// To the log task: read a followed stream at this pace from now on.
struct PaceStream
{
    std::string stream;
    Milliseconds interval{250}; ///< Between two reads when nothing new came.
};

/// From the log task, after each successful read, also when nothing new came.
struct LogRead
{
    std::string stream;
    std::uint64_t firstRetained = 0; ///< The oldest offset that the log still keeps.
    std::uint64_t end = 0;           ///< One past the newest offset when the log answered.
    std::vector<LogRecord> records;  ///< In order of offset; gaps mean that retention passed.
};

/// From the log task, when the log became reachable or unreachable.
struct LogStateChanged
{
    bool isReachable = false;
};

// ---- At most once ------------------------------------------------------------------------------

/// Target task to once task: may this key run here?
struct AskPermission
{
    Token token = 0;
    std::string service;
    std::string key;
    std::string fingerprint; ///< A key that comes back with another request is an error.
    TimePoint deadline;
};

/// The answer. Granted: run it now, exactly one grant is ever given for a key. Otherwise the
/// verdict, or the first answer when it is still known.
struct PermissionDecided
{
    Token token = 0;
    bool isGranted = false;
    Judged<Answer> otherwise = notRun(Reason::LogUnavailable);
};

/// Target task to once task: what became of a granted call.
struct GrantedCallEnded
{
    Token token = 0;
    Judged<Answer> result = mayHaveRun(Reason::TargetFailed);
};

// ---- Requests that crash their target ----------------------------------------------------------

/// Target task to quarantine task: the target crashed while these calls ran on it.
struct TargetCrashed
{
    std::vector<std::string> fingerprints;
};

/// From the quarantine task: refuse calls with these fingerprints.
struct QuarantineChanged
{
    std::shared_ptr<const std::vector<std::string>> fingerprints;
    /// In flight at one crash: run one of them at a time, so that a second crash tells them apart.
    std::shared_ptr<const std::vector<std::string>> suspects;
};

} // namespace chive
