#include <ChiveRouter/Usage.h>

#include <iostream>

namespace chive {

ExitCode withArguments(const CommandPlugin &command, std::span<const std::string> arguments,
                       const std::function<ExitCode(ParsedArguments &)> &body)
{
    const std::string usage(command.usage);
    ParsedArguments parsed;
    try {
        parsed = docopt::docopt_parse(usage, {arguments.begin(), arguments.end()}, true, false);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage << '\n';
        return ExitCode::Ok;
    } catch (const docopt::DocoptArgumentError &error) {
        std::cerr << error.what() << '\n' << usage << '\n';
        return ExitCode::InvalidInput;
    }
    return body(parsed);
}

} // namespace chive
