#pragma once

#include <ChiveRouter/Command.h>

#include <docopt/docopt.h>

#include <functional>
#include <map>

namespace chive {

using ParsedArguments = std::map<std::string, docopt::value>;

/// Parses the arguments by the command's docopt text and runs the body; prints help, and usage
/// after a mistake.
[[nodiscard]] ExitCode withArguments(const CommandPlugin &command,
                                     std::span<const std::string> arguments,
                                     const std::function<ExitCode(ParsedArguments &)> &body);

} // namespace chive
