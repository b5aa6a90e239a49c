#include <LibCore/Identifier.h>
#include <LibNotes/NotesRecord.h>
#include <LibNotes/NotesState.h>
#include <LibNotes/ReleaseNote.h>

#include <algorithm>

namespace chive {

namespace {

const DecidedNote *findDecisionById(const NotesState &state, std::string_view id)
{
    const auto found = std::ranges::find(state.decided, id, &DecidedNote::id);
    return found == state.decided.end() ? nullptr : &*found;
}

/// Truncates a reason, so that a note with many mistakes does not bloat states and snapshots.
std::string truncated(std::string reason)
{
    constexpr std::size_t maximumReasonSize = 500; // bytes
    if (reason.size() <= maximumReasonSize)
        return reason;
    std::size_t end = maximumReasonSize;
    // Do not cut a UTF-8 character: its continuation bytes start with the bits 10.
    while (end > 0 && (static_cast<unsigned char>(reason[end]) & 0xC0U) == 0x80U)
        --end;
    return reason.substr(0, end) + "...";
}

Error invalid(std::string reason)
{
    return {Error::Kind::Invalid, std::move(reason)};
}

/// The catalogue with the note applied, or the reason why the note is rejected.
Result<Catalogue> decide(const NotesState &state, const NoteRecord &record)
{
    if (const DecidedNote *earlier = findDecisionById(state, record.id))
        return invalid("id was used for another note at offset " + std::to_string(earlier->offset));
    if (record.buildsOn != state.catalogue.head) {
        return invalid("builds on \"" + record.buildsOn + "\", but \"" + state.catalogue.head
                       + "\" is in force");
    }
    if (record.id == state.catalogue.head)
        return invalid("id is that of the note in force");
    CHIVE_TRY(note, parseReleaseNote(record.toml, record.id));
    if (note.id != record.id || note.buildsOn != record.buildsOn || note.author != record.author)
        return invalid("id, builds_on or author differ between the record and its text");
    return applyNote(state.catalogue, note);
}

void foldNote(NotesState &state, std::uint64_t offset, const NoteRecord &record)
{
    const std::string textDigest = digest(record.toml);
    if (findDecision(state, record.id, textDigest) != nullptr)
        return;
    DecidedNote decided{record.id, record.author, textDigest, offset, false, {}};
    Result<Catalogue> next = decide(state, record);
    if (next.has_value()) {
        const std::uint64_t version = state.catalogue.version + 1;
        state.catalogue = std::move(next.value());
        state.catalogue.head = record.id;
        state.catalogue.offset = offset;
        state.catalogue.version = version;
        decided.isAccepted = true;
    } else {
        decided.reason = truncated(std::move(next.error().message));
    }
    state.decided.push_back(std::move(decided));
    if (state.decided.size() > maximumDecidedNotes)
        state.decided.erase(state.decided.begin());
}

} // namespace

const DecidedNote *findDecision(const NotesState &state, std::string_view id,
                                std::string_view digest)
{
    const auto found = std::ranges::find_if(state.decided, [&](const DecidedNote &decided) {
        return decided.id == id && decided.digest == digest;
    });
    return found == state.decided.end() ? nullptr : &*found;
}

std::uint64_t decidedUpTo(const NotesState &state)
{
    return state.decided.empty() ? 0 : state.decided.back().offset + 1;
}

void foldRecord(NotesState &state, std::uint64_t offset, std::string_view payload)
{
    const Result<NotesRecord> record = decodeNotesRecord(payload);
    if (record.has_value()) {
        if (const auto *note = std::get_if<NoteRecord>(&record.value()))
            foldNote(state, offset, *note);
    }
    state.nextOffset = offset + 1;
}

} // namespace chive
