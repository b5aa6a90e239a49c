#pragma once

#include <LibNotes/NotesState.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chive {

/// The snapshot that was seen last in the stream.
struct SeenSnapshot
{
    std::uint64_t offset = 0; ///< Of its record.
    std::uint64_t asOf = 0;   ///< Its state holds every record below it.
};

/// The state of one node: folds what the log reports, and moves forward over gaps by snapshots and
/// by states of peers. It never moves back: of two states the one with the higher nextOffset holds
/// the other.
class NotesFold
{
public:
    /// Takes one read of the stream: where retention begins, where the stream ended, and records
    /// in order. Records that were taken before are ignored.
    void beginRead(std::uint64_t firstRetained, std::uint64_t end);
    void takeRecord(std::uint64_t offset, std::string payload);
    void endRead();

    /// Takes the state that a peer has in force; true when it moved this node forward.
    bool merge(const NotesState &state);

    /// A peer has in force what lies below this offset; when the own state holds it, it is usable.
    void confirm(std::uint64_t nextOffset);

    [[nodiscard]] const NotesState &state() const { return state_; }

    /// Whether records between the state and the oldest retained record are lost to this node, so
    /// that only a snapshot or a peer can help.
    [[nodiscard]] bool hasGap() const
    {
        return state_.nextOffset < firstRetained_ || !pending_.empty();
    }

    /// Whether the state once held everything that the log or a peer had at that time.
    /// Until then it may be older than what other nodes have in force.
    [[nodiscard]] bool isUsable() const { return isUsable_; }

    [[nodiscard]] std::uint64_t firstRetained() const { return firstRetained_; }
    [[nodiscard]] std::uint64_t logEnd() const { return logEnd_; }
    [[nodiscard]] const std::optional<SeenSnapshot> &lastSnapshot() const { return lastSnapshot_; }

private:
    void takeSnapshot(std::uint64_t offset, std::string_view payload);
    void foldPending();

    NotesState state_;
    std::uint64_t firstRetained_ = 0;
    std::uint64_t logEnd_ = 0;
    std::map<std::uint64_t, std::string> pending_; ///< Records beyond a gap, until it is bridged.
    std::optional<SeenSnapshot> lastSnapshot_;
    bool isUsable_ = false;
};

} // namespace chive
