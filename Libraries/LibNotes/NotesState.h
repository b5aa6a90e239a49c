#pragma once

#include <LibCatalogue/Catalogue.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// The decision on one published note, which follows from the order of the stream.
struct DecidedNote
{
    std::string id;
    std::string author;
    std::string digest; ///< Of the TOML text; distinguishes a duplicate note from a reused id.
    std::uint64_t offset = 0; ///< Offset of the note's record.
    bool isAccepted = false;
    std::string reason; ///< Why the note was rejected; empty if accepted.

    bool operator==(const DecidedNote &) const = default;
};

/// Number of decisions that are kept. A duplicate of an older note is still never accepted again,
/// because it builds on a note that is no longer the head.
inline constexpr std::size_t maximumDecidedNotes = 1'000;

/// The state after a prefix of the stream `notes`. The same prefix gives the same state on every
/// node.
struct NotesState
{
    Catalogue catalogue;
    std::uint64_t nextOffset = 0;     ///< Exactly the records below it have been applied.
    std::vector<DecidedNote> decided; ///< In order of offset, the latest maximumDecidedNotes.

    bool operator==(const NotesState &) const = default;
};

/// The decision on the note with this id and digest, or null if there is none.
[[nodiscard]] const DecidedNote *findDecision(const NotesState &state, std::string_view id,
                                              std::string_view digest);

/// Offset of the latest decided note plus one; 0 before the first. States of one stream with the
/// same value have the same catalogue.
[[nodiscard]] std::uint64_t decidedUpTo(const NotesState &state);

/// Applies the record at `offset`, which must be state.nextOffset. Snapshots and malformed records
/// change only `nextOffset`.
void foldRecord(NotesState &state, std::uint64_t offset, std::string_view payload);

} // namespace chive
