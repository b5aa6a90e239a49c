#pragma once

#include <LibNotes/NotesState.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chive {

/// The latest snapshot that was read from the stream.
struct SeenSnapshot
{
    std::uint64_t offset = 0; ///< Offset of its record.
    std::uint64_t asOf = 0;   ///< Its state includes every record below this offset.
};

/// The notes state of one node. Applies the records of the log in order, and bridges gaps by
/// snapshots and by states of peers. It only moves forward: of two states, the one with the higher
/// nextOffset includes the other.
class NotesFold
{
public:
    /// Takes the result of one read of the stream: the first retained offset, the end of the
    /// stream, and the records in order of offset. Records that were applied before are ignored.
    void beginRead(std::uint64_t firstRetained, std::uint64_t end);
    void takeRecord(std::uint64_t offset, std::string payload);
    void endRead();

    /// Takes the state that is in force on a peer; true if it replaced the state of this node.
    bool merge(const NotesState &state);

    /// The records below this offset are in force on a peer. The own state is usable if it includes
    /// them.
    void confirm(std::uint64_t nextOffset);

    [[nodiscard]] const NotesState &state() const { return state_; }

    /// Whether this node can no longer read the records that follow its state, so that only a
    /// snapshot or a peer's state can move it forward.
    [[nodiscard]] bool hasGap() const
    {
        return state_.nextOffset < firstRetained_ || !pending_.empty();
    }

    /// Whether the state has once included everything that the log or a peer had at that time.
    /// Before that it may be older than the state in force on other nodes.
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
    std::map<std::uint64_t, std::string> pending_; ///< Records behind a gap, by offset.
    std::optional<SeenSnapshot> lastSnapshot_;
    bool isUsable_ = false;
};

} // namespace chive
