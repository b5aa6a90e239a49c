#include <LibNotes/ReleaseNote.h>

#include <LibToml/TomlTable.h>

#include <algorithm>
#include <array>
#include <set>

namespace chive {

namespace {

constexpr std::array<std::string_view, importanceLevels> importances{"critical", "high", "normal",
                                                                     "low"};
constexpr std::array<std::string_view, 3> repetitions{"idempotent", "guarded", "at-most-once"};
constexpr std::array<std::string_view, 2> durations{"short", "long"};
constexpr std::array<std::string_view, 7> methods{"",    "GET",    "HEAD", "POST",
                                                  "PUT", "DELETE", "PATCH"};

constexpr IntegerRange slotsRange{1, 100'000, "requests"};
constexpr IntegerRange connectionsRange{1, 1'000'000, "connections"};
constexpr IntegerRange longShareRange{1, 100, "percent"};
constexpr IntegerRange deadlineRange{10, 3'600'000, "ms"};
constexpr IntegerRange retriesRange{0, 100, "retries"};
constexpr IntegerRange nestedCallsRange{0, 100'000, "calls"};

constexpr std::size_t maximumPrefixSize = 256;

bool isPathPrefix(std::string_view text)
{
    if (text.empty() || text.size() > maximumPrefixSize || text.front() != '/')
        return false;
    return std::ranges::all_of(text, [](char c) { return c > 0x20 && c < 0x7F && c != '?'; });
}

bool isAuthor(std::string_view text)
{
    return !text.empty() && plainTextRule().matches(text);
}

bool isIdentifierOrEmpty(std::string_view text)
{
    return text.empty() || identifierRule().matches(text);
}

bool isKindName(std::string_view text)
{
    const auto slash = text.find('/');
    const TextRule identifier = identifierRule();
    return slash != std::string_view::npos && identifier.matches(text.substr(0, slash))
           && identifier.matches(text.substr(slash + 1));
}

std::uint32_t toUint32(std::int64_t value)
{
    return static_cast<std::uint32_t>(value);
}

Kind parseKind(TomlTable &table)
{
    const Kind defaults;
    Kind kind;
    kind.name = table.text("name", Presence::Required, identifierRule());
    kind.method = methods[table.choice("method", 0, methods)];
    kind.pathPrefix
            = table.text("path_prefix", Presence::Required,
                         {isPathPrefix, "a path that begins with / and holds no space and no ?"});
    kind.importance = static_cast<Importance>(
            table.choice("importance", static_cast<std::size_t>(defaults.importance), importances));
    kind.repetition = static_cast<Repetition>(
            table.choice("repetition", static_cast<std::size_t>(defaults.repetition), repetitions));
    kind.duration = static_cast<Duration>(
            table.choice("duration", static_cast<std::size_t>(defaults.duration), durations));
    kind.deadline
            = Milliseconds(table.integer("deadline_ms", defaults.deadline.count(), deadlineRange));
    kind.retries = toUint32(table.integer("retries", defaults.retries, retriesRange));
    kind.nestedCalls
            = toUint32(table.integer("nested_calls", defaults.nestedCalls, nestedCallsRange));
    table.rejectUnknownKeys();
    return kind;
}

void parseKinds(TomlTable &table, Service &service)
{
    std::set<std::string> names;
    std::set<std::pair<std::string, std::string>> routes;
    for (TomlTable &entry : table.tables("kinds")) {
        const Kind &kind = service.kinds.emplace_back(parseKind(entry));
        if (!kind.name.empty() && !names.insert(kind.name).second)
            entry.reject("name", "expected no second kind " + kind.name);
        if (!kind.pathPrefix.empty() && !routes.emplace(kind.method, kind.pathPrefix).second)
            entry.reject("path_prefix",
                         "expected no second kind for " + kind.method + " " + kind.pathPrefix);
    }
    if (service.kinds.empty())
        table.reject("kinds", "expected at least one kind");
}

Service parseService(TomlTable &table)
{
    const Service defaults;
    Service service;
    service.name = table.text("service", Presence::Required, identifierRule());
    service.slots = toUint32(table.integer("slots", defaults.slots, slotsRange));
    service.connections
            = toUint32(table.integer("connections", defaults.connections, connectionsRange));
    service.longShare
            = toUint32(table.integer("long_share_percent", defaults.longShare, longShareRange));
    parseKinds(table, service);
    table.rejectUnknownKeys();
    return service;
}

std::vector<Service> parseServices(TomlTable &file, std::string_view key,
                                   std::set<std::string> &named)
{
    std::vector<Service> services;
    for (TomlTable &table : file.tables(key)) {
        const Service &service = services.emplace_back(parseService(table));
        if (!service.name.empty() && !named.insert(service.name).second)
            table.reject("service", "expected " + service.name + " only once in a note");
    }
    return services;
}

KindName splitKindName(std::string_view text)
{
    const auto slash = text.find('/');
    return {std::string(text.substr(0, slash)), std::string(text.substr(slash + 1))};
}

void parseWithdrawn(TomlTable &file, std::set<std::string> &named, ReleaseNote &note)
{
    auto table = file.table("withdrawn", Presence::Optional);
    if (!table)
        return;
    note.withdrawnServices = table->texts("services", identifierRule());
    for (const std::string &service : note.withdrawnServices) {
        if (!named.insert(service).second)
            table->reject("services", "expected " + service + " only once in a note");
    }
    std::set<std::string> seen;
    for (const std::string &text : table->texts("kinds", {isKindName, "\"SERVICE/KIND\""})) {
        const KindName &name = note.withdrawnKinds.emplace_back(splitKindName(text));
        if (named.contains(name.service) || !seen.insert(text).second)
            table->reject("kinds", "expected " + text + " only once in a note");
    }
    table->rejectUnknownKeys();
}

bool isEmpty(const ReleaseNote &note)
{
    return note.added.empty() && note.changed.empty() && note.withdrawnServices.empty()
           && note.withdrawnKinds.empty();
}

} // namespace

Result<ReleaseNote> parseReleaseNote(std::string_view text, std::string_view fileName)
{
    TomlMistakes mistakes(fileName);
    if (text.size() > maximumNoteSize) {
        mistakes.add(1, "expected at most " + std::to_string(maximumNoteSize) + " bytes");
        return mistakes.error();
    }
    auto file = TomlTable::parse(text, mistakes);
    if (!file)
        return mistakes.error();
    ReleaseNote note;
    note.id = file->text("id", Presence::Required, identifierRule());
    note.buildsOn = file->text("builds_on", Presence::Required,
                               {isIdentifierOrEmpty, "the id of a note, or \"\" for the first"});
    note.author = file->text("author", Presence::Required, {isAuthor, "the name of the author"});
    std::set<std::string> named;
    note.added = parseServices(*file, "added", named);
    note.changed = parseServices(*file, "changed", named);
    parseWithdrawn(*file, named, note);
    file->rejectUnknownKeys();
    if (mistakes.isEmpty() && isEmpty(note))
        mistakes.add(1, "expected at least one change: [[added]], [[changed]] or [withdrawn]");
    if (!mistakes.isEmpty())
        return mistakes.error();
    return note;
}

} // namespace chive
