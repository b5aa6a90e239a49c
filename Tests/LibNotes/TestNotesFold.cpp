#include <LibNotes/NotesFold.h>
#include <LibNotes/NotesRecord.h>

#include <LibNotes/Notes.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace chive;
using namespace chive::test;

namespace {

/// Passes the result of one read of the stream to the fold, with the records from `from` on.
void read(NotesFold &fold, const std::vector<std::string> &stream, std::size_t firstRetained,
          std::size_t from)
{
    fold.beginRead(firstRetained, stream.size());
    for (std::size_t offset = std::max(from, firstRetained); offset < stream.size(); ++offset)
        fold.takeRecord(offset, stream[offset]);
    fold.endRead();
}

const std::vector<std::string> threeNotes{
        record("a", "", adding("ledger")),
        record("b", "a", adding("photos")),
        record("c", "b", adding("faxes")),
};

} // namespace

TEST_CASE("NotesFold: a new node is usable only after catching up")
{
    NotesFold fold;

    SUBCASE("from offset 0 on, after reading all records")
    {
        read(fold, threeNotes, 0, 0);
        CHECK(fold.isUsable());
        CHECK(fold.state().catalogue.head == "c");
    }

    SUBCASE("it is not usable after reading only a part of the stream")
    {
        fold.beginRead(0, threeNotes.size());
        fold.takeRecord(0, threeNotes[0]);
        fold.endRead();
        CHECK_FALSE(fold.isUsable());
    }

    SUBCASE("some records have expired")
    {
        SUBCASE("without a snapshot it has a gap")
        {
            read(fold, threeNotes, 1, 0);
            CHECK(fold.hasGap());
            CHECK_FALSE(fold.isUsable());
            CHECK(fold.state().catalogue.head.empty());

            SUBCASE("a peer's state bridges the gap")
            {
                CHECK(fold.merge(foldAll({threeNotes[0]})));
                CHECK(fold.isUsable());
                CHECK(fold.state().catalogue.head == "c");
            }
        }

        SUBCASE("a snapshot and the records before and after it bridge the gap")
        {
            std::vector<std::string> stream = threeNotes;
            stream.push_back(encodeSnapshotRecord(foldAll({threeNotes[0], threeNotes[1]})));
            stream.push_back(record("d", "c", withdrawing("faxes")));
            read(fold, stream, 2, 0);
            CHECK(fold.isUsable());
            CHECK(fold.state().catalogue.head == "d");
            CHECK(fold.state().catalogue == foldAll(stream).catalogue);
        }

        SUBCASE("a snapshot that ends before the oldest retained record does not bridge the gap")
        {
            std::vector<std::string> stream = threeNotes;
            stream.push_back(encodeSnapshotRecord(foldAll({threeNotes[0]})));
            read(fold, stream, 2, 0);
            CHECK(fold.hasGap());
            CHECK_FALSE(fold.isUsable());
        }
    }
}

TEST_CASE("NotesFold: a node that was disconnected keeps its state and only moves forward")
{
    NotesFold fold;
    read(fold, {threeNotes[0]}, 0, 0);
    REQUIRE(fold.state().catalogue.head == "a");

    SUBCASE("an older state of a peer has no effect")
    {
        CHECK_FALSE(fold.merge(NotesState{}));
        CHECK(fold.state().catalogue.head == "a");
    }

    SUBCASE("records that expired meanwhile leave a gap, which it does not skip")
    {
        read(fold, threeNotes, 2, 1);
        CHECK(fold.hasGap());
        CHECK(fold.isUsable());
        CHECK(fold.state().catalogue.head == "a");
        CHECK(fold.merge(foldAll({threeNotes[0], threeNotes[1]})));
        CHECK_FALSE(fold.hasGap());
        CHECK(fold.state().catalogue.head == "c");
    }
}

TEST_CASE("NotesFold: the state always equals the state after a prefix of the stream")
{
    CHECK(rc::check("with reads, expiry, snapshots and peers in random order", [] {
        std::vector<std::string> stream;
        std::vector<NotesState> prefixes{NotesState{}};
        NotesFold node;
        std::size_t position = 0;
        std::size_t firstRetained = 0;
        std::uint64_t version = 0;
        const auto append = [&](const std::string &payload) {
            stream.push_back(payload);
            prefixes.push_back(prefixes.back());
            foldRecord(prefixes.back(), stream.size() - 1, payload);
        };
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
        for (const int step : steps) {
            if (step < 4) {
                const std::string id = "n" + std::to_string(stream.size());
                append(record(id, step == 0 ? "other" : prefixes.back().catalogue.head,
                              adding(id)));
            } else if (step == 4) {
                append(encodeSnapshotRecord(
                        prefixes[*rc::gen::inRange<std::size_t>(0, prefixes.size())]));
            } else if (step == 5) {
                firstRetained = *rc::gen::inRange(firstRetained, stream.size() + 1);
            } else if (step == 6) {
                node.merge(prefixes[*rc::gen::inRange<std::size_t>(0, prefixes.size())]);
            } else {
                read(node, stream, firstRetained, position);
                position = stream.size();
            }
            RC_ASSERT(node.state() == prefixes[node.state().nextOffset]);
            RC_ASSERT(node.state().catalogue.version >= version);
            version = node.state().catalogue.version;
        }
    }));
}
