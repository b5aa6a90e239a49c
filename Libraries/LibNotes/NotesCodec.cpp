#include <LibNotes/NotesCodec.h>

#include <LibCore/Cbor.h>
#include <LibCore/JsonFields.h>

#include <utility>
#include <vector>

namespace chive {

namespace {

using nlohmann::json;

constexpr std::uint64_t maximumUint32 = std::numeric_limits<std::uint32_t>::max();

json encodeKind(const Kind &kind)
{
    return {{"name", kind.name},
            {"method", kind.method},
            {"path_prefix", kind.pathPrefix},
            {"importance", static_cast<unsigned>(kind.importance)},
            {"repetition", static_cast<unsigned>(kind.repetition)},
            {"duration", static_cast<unsigned>(kind.duration)},
            {"deadline_ms", static_cast<std::uint64_t>(kind.deadline.count())},
            {"retries", kind.retries},
            {"nested_calls", kind.nestedCalls}};
}

json encodeService(const Service &service)
{
    json kinds = json::array();
    for (const Kind &kind : service.kinds)
        kinds.push_back(encodeKind(kind));
    return {{"name", service.name},
            {"slots", service.slots},
            {"connections", service.connections},
            {"long_share_percent", service.longShare},
            {"kinds", std::move(kinds)}};
}

json encodeDecided(const DecidedNote &decided)
{
    return {{"id", decided.id},
            {"author", decided.author},
            {"digest", decided.digest},
            {"offset", decided.offset},
            {"accepted", decided.isAccepted},
            {"reason", decided.reason}};
}

Kind decodeKind(const json &object, bool &isValid)
{
    JsonFields fields(object);
    Kind kind;
    kind.name = fields.text("name");
    kind.method = fields.text("method");
    kind.pathPrefix = fields.text("path_prefix");
    kind.importance = static_cast<Importance>(fields.number("importance", importanceLevels - 1));
    kind.repetition = static_cast<Repetition>(
            fields.number("repetition", static_cast<std::uint64_t>(Repetition::AtMostOnce)));
    kind.duration = static_cast<Duration>(
            fields.number("duration", static_cast<std::uint64_t>(Duration::Long)));
    kind.deadline = Milliseconds(fields.number("deadline_ms", maximumUint32));
    kind.retries = static_cast<std::uint32_t>(fields.number("retries", maximumUint32));
    kind.nestedCalls = static_cast<std::uint32_t>(fields.number("nested_calls", maximumUint32));
    isValid = isValid && fields.isValid();
    return kind;
}

Service decodeService(const json &object, bool &isValid)
{
    JsonFields fields(object);
    Service service;
    service.name = fields.text("name");
    service.slots = static_cast<std::uint32_t>(fields.number("slots", maximumUint32));
    service.connections = static_cast<std::uint32_t>(fields.number("connections", maximumUint32));
    service.longShare
            = static_cast<std::uint32_t>(fields.number("long_share_percent", maximumUint32));
    for (const json &kind : fields.array("kinds"))
        service.kinds.push_back(decodeKind(kind, isValid));
    isValid = isValid && fields.isValid();
    return service;
}

DecidedNote decodeDecided(const json &object, bool &isValid)
{
    JsonFields fields(object);
    DecidedNote decided;
    decided.id = fields.text("id");
    decided.author = fields.text("author");
    decided.digest = fields.text("digest");
    decided.offset = fields.number("offset");
    decided.isAccepted = fields.flag("accepted");
    decided.reason = fields.text("reason");
    isValid = isValid && fields.isValid();
    return decided;
}

/// Decisions must be in order of offset and lie below `nextOffset`.
bool isConsistent(const NotesState &state)
{
    if (state.decided.size() > maximumDecidedNotes)
        return false;
    for (std::size_t i = 1; i < state.decided.size(); ++i) {
        if (state.decided[i - 1].offset >= state.decided[i].offset)
            return false;
    }
    const bool isEmpty = state.catalogue.version == 0;
    if (isEmpty != state.catalogue.head.empty())
        return false;
    return decidedUpTo(state) <= state.nextOffset
           && (isEmpty || state.catalogue.offset < state.nextOffset);
}

} // namespace

json encodeState(const NotesState &state)
{
    json services = json::array();
    for (const auto &[name, service] : state.catalogue.services)
        services.push_back(encodeService(service));
    json decided = json::array();
    for (const DecidedNote &note : state.decided)
        decided.push_back(encodeDecided(note));
    return {{"next", state.nextOffset},         {"head", state.catalogue.head},
            {"offset", state.catalogue.offset}, {"version", state.catalogue.version},
            {"services", std::move(services)},  {"decided", std::move(decided)}};
}

Result<NotesState> decodeState(const json &object)
{
    JsonFields fields(object);
    bool isValid = true;
    NotesState state;
    state.nextOffset = fields.number("next");
    state.catalogue.head = fields.text("head");
    state.catalogue.offset = fields.number("offset");
    state.catalogue.version = fields.number("version");
    for (const json &entry : fields.array("services")) {
        Service service = decodeService(entry, isValid);
        const std::string name = service.name;
        isValid = state.catalogue.services.emplace(name, std::move(service)).second && isValid;
    }
    for (const json &entry : fields.array("decided"))
        state.decided.push_back(decodeDecided(entry, isValid));
    if (!isValid || !fields.isValid() || !isConsistent(state))
        return Error{Error::Kind::Invalid, "malformed notes state"};
    return state;
}

std::string encodeFrame(const NotesFrame &frame)
{
    json object{{"next", frame.summary.nextOffset},
                {"decided_up_to", frame.summary.decidedUpTo},
                {"wants_state", frame.summary.wantsState}};
    if (frame.state)
        object["state"] = encodeState(*frame.state);
    std::string bytes;
    json::to_cbor(object, bytes);
    return bytes;
}

Result<NotesFrame> decodeFrame(std::string_view bytes)
{
    const json object = parseCbor(bytes);
    JsonFields fields(object);
    NotesFrame frame;
    frame.summary.nextOffset = fields.number("next");
    frame.summary.decidedUpTo = fields.number("decided_up_to");
    frame.summary.wantsState = fields.flag("wants_state");
    if (!fields.isValid())
        return Error{Error::Kind::Invalid, "malformed notes frame"};
    if (object.contains("state")) {
        CHIVE_TRY(state, decodeState(object["state"]));
        frame.state = std::move(state);
    }
    return frame;
}

} // namespace chive
