#include <LibNotes/NotesCodec.h>
#include <LibNotes/NotesRecord.h>
#include <LibNotes/NotesState.h>

#include <LibNotes/Notes.h>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace chive;
using namespace chive::test;

namespace {

/// A random stream with valid, duplicate and malformed records. Ids and services are few, so that
/// notes often conflict and repeat.
rc::Gen<std::string> anyRecord()
{
    const auto name = [](const char *prefix) {
        return rc::gen::map(rc::gen::inRange(0, 6),
                            [prefix](int number) { return prefix + std::to_string(number); });
    };
    const auto note = rc::gen::apply(
            [](const std::string &id, const std::string &buildsOn, const std::string &service,
               bool isAdded) {
                const std::string head = buildsOn == "note-0" ? "" : buildsOn;
                return record(id, head, isAdded ? adding(service) : withdrawing(service));
            },
            name("note-"), name("note-"), name("service-"),
            rc::gen::map(rc::gen::inRange(0, 4), [](int number) { return number > 0; }));
    return rc::gen::weightedOneOf<std::string>(
            {{8, note},
             {1, rc::gen::just<std::string>("{\"type\":\"note\"}")},
             {1, rc::gen::arbitrary<std::string>()}});
}

rc::Gen<std::vector<std::string>> anyStream()
{
    return rc::gen::container<std::vector<std::string>>(anyRecord());
}

} // namespace

TEST_CASE("NotesState: the order of the stream decides between notes")
{
    const std::string first = record("first", "", adding("ledger"));

    SUBCASE("the earlier of two notes that build on the same note is accepted")
    {
        const NotesState state = foldAll({first, record("a", "first", adding("photos")),
                                          record("b", "first", adding("faxes"))});
        CHECK(state.catalogue.head == "a");
        CHECK(state.catalogue.version == 2);
        CHECK(state.catalogue.offset == 1);
        REQUIRE(state.decided.size() == 3);
        CHECK_FALSE(state.decided[2].isAccepted);
        CHECK(state.decided[2].reason == "builds on \"first\", but \"a\" is in force");
    }

    SUBCASE("a duplicate record of a note has no effect")
    {
        NotesState once = foldAll({first});
        NotesState twice = foldAll({first, first});
        CHECK(twice.nextOffset == 2);
        twice.nextOffset = once.nextOffset;
        CHECK(once == twice);
    }

    SUBCASE("a rejected note stays rejected when its record is repeated")
    {
        const std::string early = record("late", "middle", adding("faxes"));
        const NotesState state
                = foldAll({first, early, record("middle", "first", adding("photos")), early});
        CHECK(state.catalogue.head == "middle");
        CHECK(state.decided.size() == 3);
    }

    SUBCASE("a different note with a used id is rejected")
    {
        const NotesState state = foldAll({first, record("first", "first", adding("photos"))});
        REQUIRE(state.decided.size() == 2);
        CHECK(state.decided[1].reason == "id was used for another note at offset 0");
        CHECK(findService(state.catalogue, "photos") == nullptr);
    }

    SUBCASE("a note that conflicts with the catalogue is rejected with the reason")
    {
        const NotesState state = foldAll({first, record("a", "first", withdrawing("faxes"))});
        REQUIRE(state.decided.size() == 2);
        CHECK(state.decided[1].reason == "withdraws undeclared service faxes");
        CHECK(state.catalogue.head == "first");
    }

    SUBCASE("the reason for a note with many mistakes is truncated")
    {
        std::string changes;
        for (int i = 0; i < 2'000; ++i)
            changes += "\"ü" + std::to_string(i) + "\" = 1\n";
        const NotesState state = foldAll({first, record("a", "first", changes)});
        REQUIRE(state.decided.size() == 2);
        CHECK(state.decided[1].reason.size() < 600);
        const auto snapshot = decodeNotesRecord(encodeSnapshotRecord(state));
        REQUIRE(snapshot.has_value());
        CHECK(std::get<SnapshotRecord>(snapshot.value()).state == state);
    }

    SUBCASE("a record with an oversized id is ignored")
    {
        const NotesState state = foldAll({first, record(std::string(5'000, 'a'), "first", "")});
        CHECK(state.decided.size() == 1);
    }

    SUBCASE("a malformed record is ignored")
    {
        const NotesState state = foldAll({first, "", "{}", "[1]", "\xff", "{\"type\":\"note\"}"});
        CHECK(state.nextOffset == 6);
        CHECK(state.decided.size() == 1);
    }
}

TEST_CASE("NotesState: properties for random streams")
{
    CHECK(rc::check("accepted notes form a chain from the first to the head", [] {
        const auto stream = *anyStream();
        const NotesState state = foldAll(stream);
        std::string head;
        std::uint64_t accepted = 0;
        for (const DecidedNote &decided : state.decided) {
            if (!decided.isAccepted)
                continue;
            const auto note = decodeNotesRecord(stream[decided.offset]);
            RC_ASSERT(note.has_value());
            RC_ASSERT(std::get<NoteRecord>(note.value()).buildsOn == head);
            head = decided.id;
            ++accepted;
        }
        RC_ASSERT(state.catalogue.head == head);
        RC_ASSERT(state.catalogue.version == accepted);
    }));

    CHECK(rc::check("an id is accepted at most once", [] {
        const NotesState state = foldAll(*anyStream());
        std::set<std::string> accepted;
        for (const DecidedNote &decided : state.decided) {
            if (decided.isAccepted)
                RC_ASSERT(accepted.insert(decided.id).second);
        }
    }));

    CHECK(rc::check("a repeated record changes only the next offset", [] {
        const auto stream = *anyStream();
        RC_PRE(!stream.empty());
        NotesState state = foldAll(stream);
        const NotesState before = state;
        const auto index = *rc::gen::inRange<std::size_t>(0, stream.size());
        foldRecord(state, state.nextOffset, stream[index]);
        RC_ASSERT(state.catalogue == before.catalogue);
        RC_ASSERT(state.decided == before.decided);
    }));

    CHECK(rc::check("a longer prefix never changes a decision", [] {
        const auto stream = *anyStream();
        NotesState state;
        for (const std::string &payload : stream) {
            const NotesState before = state;
            foldRecord(state, state.nextOffset, payload);
            RC_ASSERT(state.catalogue.version >= before.catalogue.version);
            RC_ASSERT(state.decided.size() >= before.decided.size());
            for (std::size_t i = 0; i < before.decided.size(); ++i)
                RC_ASSERT(state.decided[i] == before.decided[i]);
        }
    }));

    CHECK(rc::check("encoding and decoding preserve a state", [] {
        const NotesState state = foldAll(*anyStream());
        const auto fromJson = decodeState(encodeState(state));
        RC_ASSERT(fromJson.has_value());
        RC_ASSERT(fromJson.value() == state);
        const auto frame = decodeFrame(encodeFrame({{state.nextOffset, 3, true}, state}));
        RC_ASSERT(frame.has_value());
        RC_ASSERT(frame.value().state == state);
        const auto snapshot = decodeNotesRecord(encodeSnapshotRecord(state));
        RC_ASSERT(snapshot.has_value());
        RC_ASSERT(std::get<SnapshotRecord>(snapshot.value()).state == state);
    }));
}
