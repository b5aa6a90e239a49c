#include <LibNotes/NotesCodec.h>
#include <LibNotes/NotesRecord.h>
#include <LibNotes/ReleaseNote.h>

#include <LibNotes/Notes.h>
#include <doctest/doctest.h>

#include <random>

using namespace chive;
using namespace chive::test;

namespace {

constexpr int rounds = 10'000;

/// Damages input at random, as faulty transport, editors or attackers may. Seeded.
class Damage
{
public:
    std::string of(std::string bytes)
    {
        for (std::size_t change = 0; change <= below(4); ++change) {
            if (bytes.empty())
                return bytes;
            const std::size_t at = below(bytes.size());
            switch (below(4)) {
            case 0:
                bytes[at] = static_cast<char>(below(256));
                break;
            case 1:
                bytes.erase(at, below(20) + 1);
                break;
            case 2:
                bytes.insert(at, bytes.substr(below(bytes.size()), below(30)));
                break;
            default:
                bytes.resize(at);
            }
        }
        return bytes;
    }

    std::string noise()
    {
        std::string bytes(below(200), '\0');
        for (char &byte : bytes)
            byte = static_cast<char>(below(256));
        return bytes;
    }

private:
    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(generator_);
    }

    std::mt19937 generator_{20'261'204};
};

} // namespace

TEST_CASE("Parsers of notes: damaged input is valid or rejected, and never crashes")
{
    Damage damage;
    const std::string changes = adding("ledger") + withdrawing("faxes");
    const NotesState state
            = foldAll({record("a", "", adding("ledger")), "?", record("b", "x", adding("photos"))});
    int rejected = 0;

    SUBCASE("notes in TOML")
    {
        const std::string text = noteText("a", "", changes);
        for (int round = 0; round < rounds; ++round) {
            const auto note = parseReleaseNote(damage.of(text), "note.toml");
            rejected += note.has_value() ? 0 : 1;
            if (!note.has_value())
                CHECK(note.error().message.starts_with("note.toml:"));
            rejected += parseReleaseNote(damage.noise(), "note.toml").has_value() ? 0 : 1;
        }
    }

    SUBCASE("records of the stream")
    {
        const std::string note = record("a", "", changes);
        const std::string snapshot = encodeSnapshotRecord(state);
        for (int round = 0; round < rounds; ++round) {
            for (const std::string &bytes :
                 {damage.of(note), damage.of(snapshot), damage.noise()}) {
                NotesState folded;
                foldRecord(folded, 0, bytes);
                rejected += decodeNotesRecord(bytes).has_value() ? 0 : 1;
                CHECK(folded.nextOffset == 1);
            }
        }
    }

    SUBCASE("frames from peers")
    {
        const std::string frame = encodeFrame({{3, 2, false}, state});
        for (int round = 0; round < rounds; ++round) {
            rejected += decodeFrame(damage.of(frame)).has_value() ? 0 : 1;
            rejected += decodeFrame(damage.noise()).has_value() ? 0 : 1;
        }
    }
    CHECK(rejected > rounds);
}
