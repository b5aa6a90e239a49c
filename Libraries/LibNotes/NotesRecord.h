#pragma once

#include <LibCore/Result.h>
#include <LibNotes/NotesState.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace chive {

/// Stream of the log that holds release notes and snapshots of their fold.
inline constexpr std::string_view notesStream = "notes";

/// A release note as a record of the stream.
struct NoteRecord
{
    std::string id;
    std::string buildsOn;
    std::string author;
    std::string toml;
};

/// The fold over every record below `state.nextOffset`.
struct SnapshotRecord
{
    NotesState state;
};

using NotesRecord = std::variant<NoteRecord, SnapshotRecord>;

/// The record's JSON text.
[[nodiscard]] std::string encodeNoteRecord(const NoteRecord &record);
[[nodiscard]] std::string encodeSnapshotRecord(const NotesState &state);

/// Reads a record of the stream; an error of kind Invalid for any other text.
[[nodiscard]] Result<NotesRecord> decodeNotesRecord(std::string_view payload);

} // namespace chive
