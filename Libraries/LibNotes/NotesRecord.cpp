#include <LibNotes/NotesRecord.h>

#include <LibCore/JsonFields.h>
#include <LibNotes/NotesCodec.h>
#include <LibNotes/ReleaseNote.h>

namespace chive {

namespace {

using nlohmann::json;

constexpr std::string_view noteType = "note";
constexpr std::string_view snapshotType = "snapshot";
constexpr std::size_t maximumNameSize = 256; // bytes

std::string dump(const json &object)
{
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

Error malformed()
{
    return {Error::Kind::Invalid, "the record is neither a release note nor a snapshot"};
}

/// Larger fields cannot be valid, and must not fill up the decision history of every node.
bool isBounded(const NoteRecord &note)
{
    return note.id.size() <= maximumNameSize && note.buildsOn.size() <= maximumNameSize
           && note.author.size() <= maximumNameSize && note.toml.size() <= maximumNoteSize;
}

Result<NotesRecord> decodeNote(const json &object)
{
    JsonFields fields(object);
    NoteRecord note;
    note.id = fields.text("id");
    note.buildsOn = fields.text("builds_on");
    note.author = fields.text("author");
    note.toml = fields.text("toml");
    if (!fields.isValid() || note.id.empty() || !isBounded(note))
        return malformed();
    return NotesRecord(std::move(note));
}

Result<NotesRecord> decodeSnapshot(const json &object)
{
    JsonFields fields(object);
    const std::uint64_t asOf = fields.number("as_of");
    if (!fields.isValid() || !object.contains("state"))
        return malformed();
    CHIVE_TRY(state, decodeState(object["state"]));
    if (state.nextOffset != asOf)
        return malformed();
    return NotesRecord(SnapshotRecord{std::move(state)});
}

} // namespace

std::string encodeNoteRecord(const NoteRecord &record)
{
    return dump({{"type", noteType},
                 {"id", record.id},
                 {"builds_on", record.buildsOn},
                 {"author", record.author},
                 {"toml", record.toml}});
}

std::string encodeSnapshotRecord(const NotesState &state)
{
    return dump(
            {{"type", snapshotType}, {"as_of", state.nextOffset}, {"state", encodeState(state)}});
}

Result<NotesRecord> decodeNotesRecord(std::string_view payload)
{
    const json object = json::parse(payload, nullptr, false);
    JsonFields fields(object);
    const std::string type = fields.text("type");
    if (type == noteType)
        return decodeNote(object);
    if (type == snapshotType)
        return decodeSnapshot(object);
    return malformed();
}

} // namespace chive
