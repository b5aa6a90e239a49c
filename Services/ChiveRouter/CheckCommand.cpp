#include <ChiveRouter/Usage.h>

#include <iostream>

namespace chive {

namespace {

bool isValid(const std::string &path)
{
    if (!readSettings(path))
        return false;
    std::cout << path << ": valid settings\n";
    return true;
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
        "checks settings files",
        "Checks settings files and prints every mistake as FILE:LINE: EXPECTATION.\n\n"
        "Usage:\n"
        "  chiverouter check FILE...\n"
        "  chiverouter check (-h | --help)\n",
        [](const CommandPlugin &command, std::span<const std::string> arguments) {
            return withArguments(command, arguments, runCheck);
        },
}};

} // namespace

} // namespace chive
