#pragma once

#include <LibKernel/Registry.h>
#include <LibSettings/Settings.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace chive {

/// How a command ended, as the exit code of the process.
enum class ExitCode : int {
    Ok = 0,
    Failed = 1,       ///< A fault at run time, such as a port that is taken.
    InvalidInput = 2, ///< Usage, settings or a release note are wrong.
    Rejected = 3,     ///< The release note was read back and is not accepted.
    Unknown = 4,      ///< The append may have taken effect; publishing again is safe.
    Unavailable = 5,  ///< The log service or the node does not answer; nothing was done.
};

/// A command of the binary that registers itself. `usage` is its docopt text.
struct CommandPlugin
{
    std::string_view name;
    std::string_view summary;
    std::string_view usage;
    /// `arguments` begin with the command's name.
    ExitCode (*run)(const CommandPlugin &command, std::span<const std::string> arguments) = nullptr;
};

/// The whole text of a file; prints to standard error when it cannot be read.
[[nodiscard]] std::optional<std::string> readFile(const std::string &path);

/// The settings in a file; prints every mistake to standard error.
[[nodiscard]] std::optional<Settings> readSettings(const std::string &path);

} // namespace chive
