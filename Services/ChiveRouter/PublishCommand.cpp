#include <ChiveRouter/Publishing.h>
#include <ChiveRouter/Usage.h>

#include <LibNotes/ReleaseNote.h>

#include <iostream>

namespace chive {

namespace {

constexpr Milliseconds publishLimit{30'000};

ExitCode report(const Publication &publication, const std::string &id,
                const std::string &settingsPath)
{
    switch (publication.state) {
    case Publication::State::Accepted:
        std::cout << id << ": accepted at offset " << publication.offset << '\n';
        return ExitCode::Ok;
    case Publication::State::Rejected:
        if (publication.isAppended)
            std::cerr << id << ": rejected at offset " << publication.offset << ": "
                      << publication.detail << '\n';
        else
            std::cerr << id << ": not published, it would be rejected: " << publication.detail
                      << '\n';
        return ExitCode::Rejected;
    case Publication::State::Unknown:
        std::cerr << id << ": unknown whether it was appended (" << publication.detail << ")\n"
                  << "Publishing the same file again is safe. To ask: chiverouter notes --settings="
                  << settingsPath << '\n';
        return ExitCode::Unknown;
    case Publication::State::Unavailable:
        break;
    }
    std::cerr << id << ": not published: " << publication.detail << '\n';
    return ExitCode::Unavailable;
}

ExitCode runPublish(ParsedArguments &arguments)
{
    const std::string settingsPath = arguments["--settings"].asString();
    const std::string notePath = arguments["NOTE"].asString();
    const std::optional<Settings> settings = readSettings(settingsPath);
    const std::optional<std::string> text = readFile(notePath);
    if (!settings || !text)
        return ExitCode::InvalidInput;
    const Result<ReleaseNote> note = parseReleaseNote(*text, notePath);
    if (!note.has_value()) {
        std::cerr << note.error().message << '\n';
        return ExitCode::InvalidInput;
    }
    const SystemClock clock;
    LogSession log(settings->log);
    const NoteRecord record{note.value().id, note.value().buildsOn, note.value().author, *text};
    const Publication publication = publishNote(log, clock, record, publishLimit);
    return report(publication, note.value().id, settingsPath);
}

const Registration<CommandPlugin> registration{CommandPlugin{
        "publish",
        "publishes a release note and says what became of it",
        "Publishes a release note: checks it, appends it to the log and reads it back. Says\n"
        "\"accepted at offset N\", \"rejected\" and why, or that the outcome is unknown. "
        "Publishing\n"
        "the same file again is safe.\n\n"
        "Usage:\n"
        "  chiverouter publish NOTE --settings=FILE\n"
        "  chiverouter publish (-h | --help)\n\n"
        "Options:\n"
        "  --settings=FILE  The settings of any node (TOML); names the log service.\n",
        [](const CommandPlugin &command, std::span<const std::string> arguments) {
            return withArguments(command, arguments, runPublish);
        },
}};

} // namespace

} // namespace chive
