#include <LibNotes/NotesFold.h>

#include <LibNotes/NotesRecord.h>

#include <algorithm>

namespace chive {

void NotesFold::beginRead(std::uint64_t firstRetained, std::uint64_t end)
{
    firstRetained_ = std::max(firstRetained_, firstRetained);
    logEnd_ = end;
}

void NotesFold::takeRecord(std::uint64_t offset, std::string payload)
{
    takeSnapshot(offset, payload);
    if (offset >= state_.nextOffset)
        pending_.insert_or_assign(offset, std::move(payload));
}

void NotesFold::endRead()
{
    foldPending();
    if (!hasGap() && state_.nextOffset >= logEnd_)
        isUsable_ = true;
}

bool NotesFold::merge(const NotesState &state)
{
    // Whichever state is kept includes everything in force on the peer.
    isUsable_ = true;
    if (state.nextOffset <= state_.nextOffset)
        return false;
    state_ = state;
    foldPending();
    return true;
}

void NotesFold::confirm(std::uint64_t nextOffset)
{
    isUsable_ = isUsable_ || nextOffset <= state_.nextOffset;
}

void NotesFold::takeSnapshot(std::uint64_t offset, std::string_view payload)
{
    const Result<NotesRecord> record = decodeNotesRecord(payload);
    if (!record.has_value())
        return;
    const auto *snapshot = std::get_if<SnapshotRecord>(&record.value());
    // A snapshot cannot include records after itself; such a record is damaged.
    if (snapshot == nullptr || snapshot->state.nextOffset > offset)
        return;
    if (!lastSnapshot_ || lastSnapshot_->offset < offset)
        lastSnapshot_ = SeenSnapshot{offset, snapshot->state.nextOffset};
    if (snapshot->state.nextOffset > state_.nextOffset && hasGap())
        state_ = snapshot->state;
}

void NotesFold::foldPending()
{
    pending_.erase(pending_.begin(), pending_.lower_bound(state_.nextOffset));
    // Offsets are consecutive, so a missing record expired before it was read.
    while (!pending_.empty() && pending_.begin()->first == state_.nextOffset) {
        foldRecord(state_, state_.nextOffset, pending_.begin()->second);
        pending_.erase(pending_.begin());
    }
}

} // namespace chive
