#include <LibNotes/NotesRecord.h>
#include <LibNotes/ReleaseNote.h>
#include <LibSettings/Settings.h>

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace chive;

namespace {

std::string read(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    REQUIRE_MESSAGE(!text.str().empty(), path.string());
    return text.str();
}

std::string payloadOf(const std::filesystem::path &path)
{
    const std::string text = read(path);
    const Result<ReleaseNote> note = parseReleaseNote(text, path.string());
    REQUIRE_MESSAGE(note.has_value(), note.error().message);
    return encodeNoteRecord({note.value().id, note.value().buildsOn, note.value().author, text});
}

} // namespace

TEST_CASE("Examples in the documentation are accepted")
{
    const std::filesystem::path examples(CHIVE_EXAMPLES);
    for (const char *deployment : {"himkool", "lesetagebuch"}) {
        const std::filesystem::path folder = examples / deployment;
        NotesState state;
        foldRecord(state, 0, payloadOf(folder / "first-note.toml"));
        foldRecord(state, 1, payloadOf(folder / "second-note.toml"));
        REQUIRE(state.decided.size() == 2);
        CHECK_MESSAGE(state.decided[0].isAccepted, state.decided[0].reason);
        CHECK_MESSAGE(state.decided[1].isAccepted, state.decided[1].reason);
        CHECK(state.catalogue.services.size() == 4);

        int settingsFiles = 0;
        for (const auto &entry : std::filesystem::directory_iterator(folder)) {
            if (!entry.path().filename().string().starts_with("node-"))
                continue;
            const auto settings = parseSettings(read(entry.path()), entry.path().string());
            REQUIRE_MESSAGE(settings.has_value(), settings.error().message);
            ++settingsFiles;
        }
        CHECK(settingsFiles == 2);
    }
}
