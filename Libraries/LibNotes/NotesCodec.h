#pragma once

#include <LibCore/Result.h>
#include <LibNotes/NotesState.h>

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace chive {

/// How far one node is, small enough to be sent every second.
struct NotesSummary
{
    std::uint64_t nextOffset = 0;
    std::uint64_t decidedUpTo = 0;
    bool wantsState = false; ///< The sender cannot go on without a state that is further than its.
};

/// What nodes send each other on Topic::Notes.
struct NotesFrame
{
    NotesSummary summary;
    std::optional<NotesState> state;
};

/// JSON form of a state, for snapshots.
[[nodiscard]] nlohmann::json encodeState(const NotesState &state);
[[nodiscard]] Result<NotesState> decodeState(const nlohmann::json &json);

/// CBOR form of a frame (RFC 8949).
[[nodiscard]] std::string encodeFrame(const NotesFrame &frame);
[[nodiscard]] Result<NotesFrame> decodeFrame(std::string_view bytes);

} // namespace chive
