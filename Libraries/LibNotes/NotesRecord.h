#pragma once

#include <LibCore/Result.h>
#include <LibNotes/NotesState.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace chive {

/// The stream of the log with release notes and snapshots of the notes state.
inline constexpr std::string_view notesStream = "notes";

/// A release note, as it is stored in the stream.
struct NoteRecord
{
    std::string id;
    std::string buildsOn;
    std::string author;
    std::string toml;
};

/// The notes state after every record below `state.nextOffset`.
struct SnapshotRecord
{
    NotesState state;
};

using NotesRecord = std::variant<NoteRecord, SnapshotRecord>;

/// The record's JSON text.
[[nodiscard]] std::string encodeNoteRecord(const NoteRecord &record);
[[nodiscard]] std::string encodeSnapshotRecord(const NotesState &state);

/// Parses a record of the stream; Error::Kind::Invalid for any other text.
[[nodiscard]] Result<NotesRecord> decodeNotesRecord(std::string_view payload);

} // namespace chive
