#include <ChiveRouter/Usage.h>

#include <LibNotes/ReleaseNote.h>

#include <iostream>

namespace chive {

namespace {

/// Settings name their node at the top level; everything else is taken for a release note.
bool isSettings(std::string_view text)
{
    return text.starts_with("node_id") || text.find("\nnode_id") != std::string_view::npos;
}

template<typename Value>
bool report(const std::string &path, const Result<Value> &parsed, std::string_view what)
{
    if (!parsed.has_value()) {
        std::cerr << parsed.error().message << '\n';
        return false;
    }
    std::cout << path << ": valid " << what << '\n';
    return true;
}

bool isValid(const std::string &path)
{
    const std::optional<std::string> text = readFile(path);
    if (!text)
        return false;
    if (isSettings(*text))
        return report(path, parseSettings(*text, path), "settings");
    return report(path, parseReleaseNote(*text, path), "release note");
}

ExitCode runCheck(ParsedArguments &arguments)
{
    bool allValid = true;
    for (const std::string &path : arguments["FILE"].asStringList())
        allValid = isValid(path) && allValid;
    return allValid ? ExitCode::Ok : ExitCode::InvalidInput;
}

const Registration<CommandPlugin> registration{CommandPlugin{
        "check",
        "checks settings files and release notes",
        "Checks settings files and release notes by themselves and prints every mistake as\n"
        "FILE:LINE: EXPECTATION.\n\n"
        "Usage:\n"
        "  chiverouter check FILE...\n"
        "  chiverouter check (-h | --help)\n",
        [](const CommandPlugin &command, std::span<const std::string> arguments) {
            return withArguments(command, arguments, runCheck);
        },
}};

} // namespace

} // namespace chive
