#include <ChiveRouter/LogSession.h>
#include <ChiveRouter/NodeStatus.h>
#include <ChiveRouter/Usage.h>

#include <nlohmann/json.hpp>

#include <iomanip>
#include <iostream>

namespace chive {

namespace {

std::string_view nameOfRepetition(Repetition repetition)
{
    switch (repetition) {
    case Repetition::Idempotent:
        return "idempotent";
    case Repetition::Guarded:
        return "guarded";
    case Repetition::AtMostOnce:
        return "at-most-once";
    }
    return "unknown";
}

void printKind(const Service &service, const Kind &kind)
{
    std::cout << "  " << std::left << std::setw(32) << service.name + "/" + kind.name
              << std::setw(8) << (kind.method.empty() ? "any" : kind.method) << std::setw(24)
              << kind.pathPrefix << std::setw(10) << nameOf(kind.importance) << std::setw(14)
              << nameOfRepetition(kind.repetition) << std::setw(7)
              << (kind.duration == Duration::Long ? "long" : "short") << std::right << std::setw(8)
              << kind.deadline.count() << " ms  " << kind.retries << " retries  "
              << kind.nestedCalls << " nested calls\n";
}

void printCatalogue(const Catalogue &catalogue)
{
    if (catalogue.version == 0) {
        std::cout << "No release note is in force.\n";
        return;
    }
    std::cout << "In force: " << catalogue.head << " (offset " << catalogue.offset << ", version "
              << catalogue.version << ")\n\n";
    for (const auto &[name, service] : catalogue.services) {
        std::cout << name << ": " << service.slots << " slots, " << service.connections
                  << " connections, long kinds up to " << service.longShare << " percent\n";
        for (const Kind &kind : service.kinds)
            printKind(service, kind);
    }
}

void printHistory(const std::vector<DecidedNote> &decided)
{
    std::cout << "\nHistory:\n";
    for (const DecidedNote &note : decided) {
        std::cout << "  offset " << note.offset << "  " << note.id << "  by " << note.author << "  "
                  << (note.isAccepted ? "accepted" : "rejected: " + note.reason) << '\n';
    }
}

/// What one node has in force, for times when the log cannot tell.
ExitCode printFromNode(const Settings &settings, const std::string &whyNotLog)
{
    std::cerr << "The log cannot tell (" << whyNotLog << "); asking the node at "
              << format(settings.admin) << ".\n";
    const Result<nlohmann::json> status = fetchJson(settings.admin, "/status");
    if (!status.has_value()) {
        std::cerr << status.error().message << '\n';
        return ExitCode::Unavailable;
    }
    std::cout << status.value().value("notes", nlohmann::json::object()).dump(2) << '\n';
    return ExitCode::Ok;
}

ExitCode runNotes(ParsedArguments &arguments)
{
    const std::optional<Settings> settings = readSettings(arguments["--settings"].asString());
    if (!settings)
        return ExitCode::InvalidInput;
    LogSession log(settings->log);
    NotesFold fold;
    const Result<void> read = log.readNotes(fold);
    if (!read.has_value())
        return printFromNode(*settings, read.error().message);
    if (!fold.isUsable())
        return printFromNode(*settings, "records have expired and no snapshot covers them");
    printCatalogue(fold.state().catalogue);
    printHistory(fold.state().decided);
    return ExitCode::Ok;
}

const Registration<CommandPlugin> registration{CommandPlugin{
        "notes",
        "shows what is in force and the history of release notes",
        "Shows what is in force and the history of accepted and rejected release notes, from the\n"
        "log, or from the node when the log does not answer.\n\n"
        "Usage:\n"
        "  chiverouter notes --settings=FILE\n"
        "  chiverouter notes (-h | --help)\n\n"
        "Options:\n"
        "  --settings=FILE  The settings of a node (TOML).\n",
        [](const CommandPlugin &command, std::span<const std::string> arguments) {
            return withArguments(command, arguments, runNotes);
        },
}};

} // namespace

} // namespace chive
