#include <ChiveRouter/Publishing.h>

#include <LibCore/Identifier.h>

#include <optional>

namespace chive {

namespace {

constexpr Milliseconds attemptInterval{500};

Publication publicationOf(const DecidedNote &decided)
{
    const auto state
            = decided.isAccepted ? Publication::State::Accepted : Publication::State::Rejected;
    return {state, decided.offset, true, decided.reason};
}

Publication unavailable(std::string detail)
{
    return {Publication::State::Unavailable, 0, false, std::move(detail)};
}

std::optional<Publication> findPublication(const NotesFold &fold, const NoteRecord &note)
{
    const DecidedNote *decided = findDecision(fold.state(), note.id, digest(note.toml));
    return decided == nullptr ? std::nullopt : std::optional(publicationOf(*decided));
}

/// What would become of the note if it were appended now.
Publication preview(const NotesFold &fold, const NoteRecord &note)
{
    NotesState state = fold.state();
    foldRecord(state, state.nextOffset, encodeNoteRecord(note));
    const DecidedNote *decided = findDecision(state, note.id, digest(note.toml));
    Publication publication = publicationOf(*decided);
    publication.isAppended = false;
    return publication;
}

/// Reads the stream as far as it goes; the fold must be usable, or nothing can be said of a note.
Result<void> readWhole(LogSession &log, NotesFold &fold)
{
    const Result<void> read = log.readNotes(fold);
    if (!read.has_value())
        return read.error();
    if (!fold.isUsable() || fold.hasGap())
        return Error{Error::Kind::Unavailable,
                     "records have expired and the log holds no snapshot that covers them; a "
                     "running node writes one within seconds"};
    return outcome::success();
}

/// Appends once; whether the record may be in the log now or later.
bool mayHaveAppended(LogSession &log, const std::string &payload, std::string &detail)
{
    const AppendOutcome appended = log.appendNote(payload);
    if (appended.offset.has_value())
        return true;
    detail = appended.offset.error().message;
    return appended.offset.error().kind == Error::Kind::Unknown;
}

} // namespace

Publication publishNote(LogSession &log, const Clock &clock, const NoteRecord &note,
                        Milliseconds limit)
{
    const TimePoint deadline = clock.now() + limit;
    NotesFold fold;
    Result<void> read = readWhole(log, fold);
    if (!read.has_value())
        return unavailable(read.error().message);
    if (const auto earlier = findPublication(fold, note))
        return *earlier;
    const Publication expected = preview(fold, note);
    if (expected.state == Publication::State::Rejected)
        return expected;

    const std::string payload = encodeNoteRecord(note);
    bool mayBeThere = false;
    std::string detail;
    while (clock.now() < deadline) {
        mayBeThere = mayHaveAppended(log, payload, detail) || mayBeThere;
        read = readWhole(log, fold);
        if (const auto decided = findPublication(fold, note))
            return *decided;
        if (!read.has_value())
            detail = read.error().message;
        log.wait(attemptInterval);
    }
    if (!mayBeThere)
        return unavailable(detail);
    return {Publication::State::Unknown, 0, true, detail};
}

} // namespace chive
