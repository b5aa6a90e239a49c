#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCore/Result.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// Maximum size of a note's TOML text in bytes, so that a note or a snapshot fits into one record
/// of the log.
inline constexpr std::size_t maximumNoteSize = 256 * 1024;

/// Identifies a kind by its service and name.
struct KindName
{
    std::string service;
    std::string kind;

    auto operator<=>(const KindName &) const = default;
};

/// Changes that an operator publishes, relative to the catalogue after one earlier note.
struct ReleaseNote
{
    std::string id; ///< Unique; a note with an id that was used before is a duplicate or rejected.
    std::string buildsOn; ///< Id of the note in force when this one was written; empty if none.
    std::string author;
    std::vector<Service> added;
    std::vector<Service> changed; ///< Each replaces a declared service entirely.
    std::vector<std::string> withdrawnServices;
    std::vector<KindName> withdrawnKinds;
};

/// Parses the TOML text of a note and checks it without regard to the catalogue. The error lists
/// every mistake on a line of its own, as `name:line: what was expected`.
[[nodiscard]] Result<ReleaseNote> parseReleaseNote(std::string_view text,
                                                   std::string_view fileName);

/// The catalogue with the note's changes, or an error that lists its conflicts with the catalogue.
/// Does not check whether the note builds on the head.
[[nodiscard]] Result<Catalogue> applyNote(const Catalogue &catalogue, const ReleaseNote &note);

} // namespace chive
