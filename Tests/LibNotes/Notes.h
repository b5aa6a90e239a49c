#pragma once

#include <LibNotes/NotesRecord.h>

#include <string>
#include <string_view>
#include <vector>

/// Release notes for tests, in the form in which operators write them.
namespace chive::test {

inline std::string noteText(std::string_view id, std::string_view buildsOn,
                            std::string_view changes)
{
    std::string text;
    text += "id = \"" + std::string(id) + "\"\n";
    text += "builds_on = \"" + std::string(buildsOn) + "\"\n";
    text += "author = \"sunita\"\n";
    return text + std::string(changes);
}

inline std::string adding(std::string_view service)
{
    return "[[added]]\nservice = \"" + std::string(service)
           + "\"\n[[added.kinds]]\nname = \"read\"\npath_prefix = \"/\"\n";
}

inline std::string withdrawing(std::string_view service)
{
    return "[withdrawn]\nservices = [\"" + std::string(service) + "\"]\n";
}

inline std::string record(std::string_view id, std::string_view buildsOn, std::string_view changes)
{
    return encodeNoteRecord(
            {std::string(id), std::string(buildsOn), "sunita", noteText(id, buildsOn, changes)});
}

/// The state after a whole stream.
inline NotesState foldAll(const std::vector<std::string> &stream)
{
    NotesState state;
    for (const std::string &payload : stream)
        foldRecord(state, state.nextOffset, payload);
    return state;
}

} // namespace chive::test
