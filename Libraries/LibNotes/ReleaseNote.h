#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibCore/Result.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// Bytes of a note's TOML text, so that a note and a snapshot fit into a record of the log.
inline constexpr std::size_t maximumNoteSize = 256 * 1024;

/// A kind by the name of its service and its own.
struct KindName
{
    std::string service;
    std::string kind;

    auto operator<=>(const KindName &) const = default;
};

/// What an operator publishes: the changes to the catalogue that one other note left in force.
struct ReleaseNote
{
    std::string id;       ///< Identity; the same id twice is the same note.
    std::string buildsOn; ///< Id of the note in force when this one was written; empty for none.
    std::string author;
    std::vector<Service> added;
    std::vector<Service> changed; ///< Each replaces a declared service whole.
    std::vector<std::string> withdrawnServices;
    std::vector<KindName> withdrawnKinds;
};

/// Parses and checks the TOML text of a note by itself. Every mistake is reported, one line each,
/// as `name:line: what was expected`.
[[nodiscard]] Result<ReleaseNote> parseReleaseNote(std::string_view text,
                                                   std::string_view fileName);

/// The catalogue with the note's changes, or why they contradict what is in force. Neither the
/// note's place in the order nor the head is looked at.
[[nodiscard]] Result<Catalogue> applyNote(const Catalogue &catalogue, const ReleaseNote &note);

} // namespace chive
