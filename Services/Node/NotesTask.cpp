#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>
#include <LibNotes/NotesFold.h>
#include <LibNotes/NotesRecord.h>
#include <LibNotes/Readers.h>
#include <LibNotes/Snapshots.h>
#include <Node/NotesPeers.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <algorithm>
#include <optional>
#include <string_view>

namespace chive {

namespace {

constexpr Milliseconds roundInterval{1'000};
constexpr Milliseconds snapshotRetryInterval{10'000};
constexpr std::size_t decidedNotesInStatus = 20;

struct NotesMetrics
{
    explicit NotesMetrics(prometheus::Registry &registry)
        : version(prometheus::BuildGauge()
                          .Name("chiverouter_notes_version")
                          .Help("Count of accepted release notes in force")
                          .Register(registry)
                          .Add({}))
        , offset(prometheus::BuildGauge()
                         .Name("chiverouter_notes_next_offset")
                         .Help("Every record of the stream below this offset is folded")
                         .Register(registry)
                         .Add({}))
        , confirmedAge(prometheus::BuildGauge()
                               .Name("chiverouter_notes_confirmed_age_seconds")
                               .Help("Time since the log or a peer confirmed what is in force")
                               .Register(registry)
                               .Add({}))
        , statesReceived(prometheus::BuildCounter()
                                 .Name("chiverouter_notes_states_received_total")
                                 .Help("States of peers that moved this node forward")
                                 .Register(registry)
                                 .Add({}))
        , snapshotsWritten(prometheus::BuildCounter()
                                   .Name("chiverouter_notes_snapshots_written_total")
                                   .Help("Snapshots that this node asked the log to append")
                                   .Register(registry)
                                   .Add({}))
    {}

    prometheus::Gauge &version;
    prometheus::Gauge &offset;
    prometheus::Gauge &confirmedAge;
    prometheus::Counter &statesReceived;
    prometheus::Counter &snapshotsWritten;
};

/// Maintains the catalogue in force: folds the records of the stream `notes`, exchanges states with
/// peers, and writes snapshots before the notes expire.
class NotesTask final : public Task
{
public:
    explicit NotesTask(Kernel &kernel)
        : kernel_(kernel)
        , peers_(kernel.bus(), kernel.settings())
        , metrics_(kernel.metrics())
    {
        kernel.bus().subscribe<LogRead>([this](const LogRead &read) {
            if (read.stream == notesStream)
                handleRead(read);
        });
        kernel.bus().subscribe<ReceivedFromPeer>([this](const ReceivedFromPeer &received) {
            if (received.topic == Topic::Notes)
                handleFrame(received);
        });
        kernel.bus().subscribe<MembersChanged>(
                [this](const MembersChanged &changed) { peers_.setMembers(changed.members); });
        kernel.addStatus("notes", [this] { return status(); });
    }

    void start() override
    {
        kernel_.bus().post(FollowStream{std::string(notesStream), 0, readerInterval});
        roundTimer_ = kernel_.loop().every(roundInterval, [this] { runRound(); });
        runRound();
    }

private:
    [[nodiscard]] TimePoint now() const { return kernel_.clock().now(); }

    void handleRead(const LogRead &read)
    {
        fold_.beginRead(read.firstRetained, read.end);
        for (const LogRecord &record : read.records)
            fold_.takeRecord(record.offset, record.payload);
        fold_.endRead();
        if (!fold_.hasGap() && fold_.state().nextOffset >= read.end)
            confirmedAt_ = now();
        putInForce("log");
        observeSnapshot();
    }

    void observeSnapshot()
    {
        const auto &snapshot = fold_.lastSnapshot();
        if (snapshot && (!lastSnapshotOffset_ || *lastSnapshotOffset_ < snapshot->offset)) {
            lastSnapshotOffset_ = snapshot->offset;
            snapshotTimes_.lastSeen = now();
            snapshotAttemptedAt_.reset();
        }
        observeSnapshots(snapshotTimes_, fold_, now());
    }

    void handleFrame(const ReceivedFromPeer &received)
    {
        const Result<NotesFrame> frame = decodeFrame(*received.payload);
        if (!frame.has_value()) {
            LOG(WARNING) << "task=notes peer=" << format(received.peer) << " error=\""
                         << frame.error().message << '"';
            return;
        }
        lastPeerFrameAt_ = now();
        if (frame.value().state && fold_.merge(*frame.value().state))
            metrics_.statesReceived.Increment();
        const NotesSummary &peerSummary = frame.value().summary;
        if (!peerSummary.wantsState)
            handleConfirmation(peerSummary);
        putInForce("peer");
        reply(received.peer, peerSummary);
    }

    /// Confirms this node's state if it includes everything that the peer has in force.
    void handleConfirmation(const NotesSummary &peerSummary)
    {
        if (peerSummary.decidedUpTo > decidedUpTo(fold_.state()))
            return;
        fold_.confirm(peerSummary.nextOffset);
        confirmedAt_ = now();
    }

    void reply(const Endpoint &peer, const NotesSummary &peerSummary)
    {
        const NotesState &state = fold_.state();
        const bool isPeerBehind
                = peerSummary.decidedUpTo < decidedUpTo(state)
                  || (peerSummary.wantsState && peerSummary.nextOffset <= state.nextOffset);
        if (fold_.isUsable() && isPeerBehind) {
            peers_.send(peer, {summary(), state});
            return;
        }
        if (peerSummary.decidedUpTo <= decidedUpTo(state))
            return;
        NotesSummary request = summary();
        request.wantsState = true;
        peers_.send(peer, {request, std::nullopt});
    }

    [[nodiscard]] NotesSummary summary() const
    {
        NotesSummary summary;
        summary.nextOffset = fold_.state().nextOffset;
        summary.decidedUpTo = decidedUpTo(fold_.state());
        summary.wantsState = !fold_.isUsable() || fold_.hasGap();
        return summary;
    }

    /// Puts the folded catalogue in force if it is newer than the current one, never an older one.
    void putInForce(std::string_view source)
    {
        metrics_.offset.Set(static_cast<double>(fold_.state().nextOffset));
        const Catalogue &catalogue = fold_.state().catalogue;
        if (!fold_.isUsable() || (inForce_ && inForce_->version >= catalogue.version))
            return;
        inForce_ = std::make_shared<const Catalogue>(catalogue);
        inForceSince_ = now();
        source_ = source;
        metrics_.version.Set(static_cast<double>(catalogue.version));
        LOG(INFO) << "task=notes event=in-force head=" << catalogue.head
                  << " version=" << catalogue.version << " offset=" << catalogue.offset
                  << " source=" << source;
        kernel_.bus().post(CatalogueChanged{inForce_});
        announceToPeers();
    }

    void announceToPeers()
    {
        const NotesFrame frame{summary(), std::nullopt};
        if (peers_.rankInDataCentre() < readersPerDataCentre)
            peers_.sendToDataCentre(frame);
        peers_.sendToRandomPeers(frame);
    }

    void runRound()
    {
        peers_.sendToRandomPeers({summary(), std::nullopt});
        updateReadInterval();
        writeSnapshot();
        if (confirmedAt_)
            metrics_.confirmedAge.Set(std::chrono::duration<double>(now() - *confirmedAt_).count());
    }

    void updateReadInterval()
    {
        const ReaderView view{peers_.rankInDataCentre(), lastPeerFrameAt_, fold_.hasGap()};
        const Milliseconds interval = readInterval(view, now());
        if (interval == readInterval_)
            return;
        readInterval_ = interval;
        kernel_.bus().post(PaceStream{std::string(notesStream), interval});
    }

    void writeSnapshot()
    {
        const bool wasAttemptedRecently
                = snapshotAttemptedAt_ && now() - *snapshotAttemptedAt_ < snapshotRetryInterval;
        if (wasAttemptedRecently || !shouldWriteSnapshot(snapshotTimes_, peers_.rank(), now()))
            return;
        snapshotAttemptedAt_ = now();
        metrics_.snapshotsWritten.Increment();
        AppendToLog append;
        append.token = nextToken();
        append.stream = notesStream;
        append.payload = encodeSnapshotRecord(fold_.state());
        LOG(INFO) << "task=notes event=write-snapshot as_of=" << fold_.state().nextOffset;
        kernel_.bus().post(std::move(append));
    }

    [[nodiscard]] std::int64_t millisecondsSince(const std::optional<TimePoint> &then) const
    {
        if (!then)
            return -1;
        return std::chrono::duration_cast<Milliseconds>(now() - *then).count();
    }

    [[nodiscard]] nlohmann::json status() const
    {
        const NotesState &state = fold_.state();
        nlohmann::json decided = nlohmann::json::array();
        const std::size_t shown = std::min(state.decided.size(), decidedNotesInStatus);
        for (auto note = state.decided.end() - static_cast<std::ptrdiff_t>(shown);
             note != state.decided.end(); ++note) {
            decided.push_back({{"id", note->id},
                               {"author", note->author},
                               {"offset", note->offset},
                               {"accepted", note->isAccepted},
                               {"reason", note->reason}});
        }
        const std::uint64_t end = std::max(fold_.logEnd(), state.nextOffset);
        return {{"head", inForce_ ? inForce_->head : ""},
                {"version", inForce_ ? inForce_->version : 0},
                {"offset", inForce_ ? inForce_->offset : 0},
                {"in_force_ms", millisecondsSince(inForceSince_)},
                {"confirmed_ms_ago", millisecondsSince(confirmedAt_)},
                {"source", source_},
                {"next_offset", state.nextOffset},
                {"lag_records", end - state.nextOffset},
                {"is_ready", inForce_ != nullptr},
                {"misses_records", fold_.hasGap()},
                {"read_interval_ms", readInterval_.count()},
                {"decided", std::move(decided)}};
    }

    Kernel &kernel_;
    NotesPeers peers_;
    NotesMetrics metrics_;
    NotesFold fold_;

    std::shared_ptr<const Catalogue> inForce_;
    std::optional<TimePoint> inForceSince_;
    std::optional<TimePoint> confirmedAt_;
    std::optional<TimePoint> lastPeerFrameAt_;
    std::string source_ = "none";

    SnapshotTimes snapshotTimes_;
    std::optional<std::uint64_t> lastSnapshotOffset_; ///< Offset of the latest snapshot record.
    std::optional<TimePoint> snapshotAttemptedAt_;

    Milliseconds readInterval_ = readerInterval;
    Timer roundTimer_;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "notes",
        [](Kernel &kernel) -> std::unique_ptr<Task> { return std::make_unique<NotesTask>(kernel); },
        usesLog,
}};

} // namespace

} // namespace chive
