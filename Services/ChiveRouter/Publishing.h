#pragma once

#include <ChiveRouter/LogSession.h>
#include <LibCore/Clock.h>
#include <LibNotes/NotesRecord.h>

#include <cstdint>
#include <string>

namespace chive {

/// How the publishing of one note ended.
struct Publication
{
    enum class State {
        Accepted,    ///< In force from `offset` on.
        Rejected,    ///< Decided at `offset`, or before it was appended.
        Unknown,     ///< It may have been appended, or may still be. Publishing again is safe.
        Unavailable, ///< The log does not answer; nothing was appended.
    };

    State state = State::Unavailable;
    std::uint64_t offset = 0;
    bool isAppended = false; ///< False for a note that was rejected before it was appended.
    std::string detail;
};

/// Appends the note and reads the stream back until the note is decided or the time is up. Repeats
/// an append whose answer was lost: the same note again is the same note.
[[nodiscard]] Publication publishNote(LogSession &log, const Clock &clock, const NoteRecord &note,
                                      Milliseconds limit);

} // namespace chive
