#pragma once

#include <LibCatalogue/Catalogue.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// What the stream's order made of one published note.
struct DecidedNote
{
    std::string id;
    std::string author;
    std::string digest;       ///< Of the TOML text; tells a repeated note from a reused id.
    std::uint64_t offset = 0; ///< Of the record that was decided on.
    bool isAccepted = false;
    std::string reason; ///< Why it was rejected; empty when it was accepted.

    bool operator==(const DecidedNote &) const = default;
};

/// Decisions that are remembered. A repeated record older than that is still never accepted twice,
/// because it builds on a note that is no longer the head.
inline constexpr std::size_t maximumDecidedNotes = 1'000;

/// The fold over a prefix of the stream `notes`: the same prefix gives the same state on every
/// node.
struct NotesState
{
    Catalogue catalogue;
    std::uint64_t nextOffset = 0;     ///< Every record below it is folded, none at or above it.
    std::vector<DecidedNote> decided; ///< In order of offset, the latest maximumDecidedNotes.

    bool operator==(const NotesState &) const = default;
};

/// The decision on the note with this id and digest, or null.
[[nodiscard]] const DecidedNote *findDecision(const NotesState &state, std::string_view id,
                                              std::string_view digest);

/// Offset of the latest decision plus one; 0 before the first. Two states of one stream with the
/// same value have the same catalogue.
[[nodiscard]] std::uint64_t decidedUpTo(const NotesState &state);

/// Folds the record at `offset`, which must be state.nextOffset. Snapshots and malformed records
/// change only `nextOffset`.
void foldRecord(NotesState &state, std::uint64_t offset, std::string_view payload);

} // namespace chive
