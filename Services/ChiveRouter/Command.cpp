#include <ChiveRouter/Command.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace chive {

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    // An empty file sets the fail bit of the copy, so only the stream read from is asked.
    if (file)
        text << file.rdbuf();
    if (!file.is_open() || file.bad()) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    return text.str();
}

std::optional<Settings> readSettings(const std::string &path)
{
    const std::optional<std::string> text = readFile(path);
    if (!text)
        return std::nullopt;
    Result<Settings> settings = parseSettings(*text, path);
    if (!settings.has_value()) {
        std::cerr << settings.error().message << '\n';
        return std::nullopt;
    }
    return std::move(settings.value());
}

} // namespace chive
