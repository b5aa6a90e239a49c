#pragma once

#include <LibCore/Result.h>
#include <LibNotes/NotesState.h>

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace chive {

/// How far one node has read the stream; small, because it is sent every second.
struct NotesSummary
{
    std::uint64_t nextOffset = 0;
    std::uint64_t decidedUpTo = 0;
    bool wantsState = false; ///< The sender needs a more recent state than its own.
};

/// A message between nodes on Topic::Notes.
struct NotesFrame
{
    NotesSummary summary;
    std::optional<NotesState> state;
};

/// JSON form of a state, for snapshots. Decoding fails with Error::Kind::Invalid.
[[nodiscard]] nlohmann::json encodeState(const NotesState &state);
[[nodiscard]] Result<NotesState> decodeState(const nlohmann::json &json);

/// CBOR form of a frame (RFC 8949). Decoding fails with Error::Kind::Invalid.
[[nodiscard]] std::string encodeFrame(const NotesFrame &frame);
[[nodiscard]] Result<NotesFrame> decodeFrame(std::string_view bytes);

} // namespace chive
