#include <LibNotes/ReleaseNote.h>

#include <LibNotes/Notes.h>
#include <doctest/doctest.h>

using namespace chive;

namespace {

const std::string certificates = R"(id = "2026-12-04-certificates"
builds_on = ""
author = "sunita"

[[added]]
service = "certificates"
slots = 50
connections = 400
long_share_percent = 40

[[added.kinds]]
name = "certificate-read"
method = "GET"
path_prefix = "/certificates/"
importance = "critical"
repetition = "idempotent"
duration = "short"
deadline_ms = 3000
retries = 3
nested_calls = 16

[[added.kinds]]
name = "audit-export"
path_prefix = "/exports/"
importance = "low"
repetition = "at-most-once"
duration = "long"

[withdrawn]
services = ["faxes"]
kinds = ["ledger/old-entry"]
)";

std::string replaced(std::string text, std::string_view from, std::string_view to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string mistakesIn(const std::string &text)
{
    const Result<ReleaseNote> note = parseReleaseNote(text, "note.toml");
    REQUIRE_FALSE(note.has_value());
    return note.error().message;
}

Catalogue catalogueWith(std::string_view text)
{
    const Result<ReleaseNote> note = parseReleaseNote(text, "before.toml");
    REQUIRE(note.has_value());
    const Result<Catalogue> catalogue = applyNote({}, note.value());
    REQUIRE(catalogue.has_value());
    return catalogue.value();
}

std::string contradiction(const Catalogue &catalogue, std::string_view changes)
{
    const std::string text = test::noteText("next", "first", changes);
    const Result<ReleaseNote> note = parseReleaseNote(text, "note.toml");
    REQUIRE(note.has_value());
    const Result<Catalogue> result = applyNote(catalogue, note.value());
    REQUIRE_FALSE(result.has_value());
    return result.error().message;
}

} // namespace

TEST_CASE("parseReleaseNote: parses TOML")
{
    const Result<ReleaseNote> parsed = parseReleaseNote(certificates, "note.toml");
    REQUIRE(parsed.has_value());
    const ReleaseNote &note = parsed.value();
    CHECK(note.id == "2026-12-04-certificates");
    CHECK(note.buildsOn.empty());
    CHECK(note.withdrawnServices == std::vector<std::string>{"faxes"});
    CHECK(note.withdrawnKinds == std::vector<KindName>{{"ledger", "old-entry"}});
    REQUIRE(note.added.size() == 1);
    const Service &service = note.added.front();
    CHECK(service.slots == 50);
    CHECK(service.longShare == 40);
    REQUIRE(service.kinds.size() == 2);
    CHECK(service.kinds[0].importance == Importance::Critical);
    CHECK(service.kinds[0].deadline == Milliseconds(3000));
    CHECK(service.kinds[1].repetition == Repetition::AtMostOnce);
    CHECK(service.kinds[1].duration == Duration::Long);
    CHECK(service.kinds[1].method.empty());
    CHECK(service.kinds[1].retries == Kind{}.retries);
}

TEST_CASE("parseReleaseNote: reports each mistake with its line and what was expected")
{
    SUBCASE("an unknown importance")
    {
        CHECK(mistakesIn(replaced(certificates, "\"critical\"", "\"urgent\""))
              == "note.toml:15: added.kinds.importance: expected one of \"critical\" \"high\" "
                 "\"normal\" \"low\"");
    }
    SUBCASE("a number out of range")
    {
        CHECK(mistakesIn(replaced(certificates, "slots = 50", "slots = 0"))
                      .starts_with("note.toml:7: added.slots: expected a whole number of 1 to"));
    }
    SUBCASE("an unknown key")
    {
        CHECK(mistakesIn(replaced(certificates, "deadline_ms", "deadline"))
              == "note.toml:18: unknown key added.kinds.deadline");
    }
    SUBCASE("a missing builds_on")
    {
        CHECK(mistakesIn(replaced(certificates, "builds_on = \"\"\n", ""))
              == "note.toml:1: expected the key builds_on");
    }
    SUBCASE("two kinds with the same method and path")
    {
        std::string text
                = replaced(certificates, "\"/exports/\"", "\"/certificates/\"\nmethod = \"GET\"");
        CHECK(mistakesIn(text).starts_with("note.toml:24: added.kinds.path_prefix: expected no "));
    }
    SUBCASE("a service both added and withdrawn")
    {
        CHECK(mistakesIn(replaced(certificates, "faxes", "certificates"))
              == "note.toml:30: withdrawn.services: expected certificates only once in a note");
    }
    SUBCASE("a kind withdrawn from a service that the note adds")
    {
        CHECK(mistakesIn(replaced(certificates, "ledger/", "certificates/"))
                      .starts_with("note.toml:31: withdrawn.kinds: expected"));
    }
    SUBCASE("a service without kinds")
    {
        CHECK(mistakesIn(test::noteText("a", "", "[[added]]\nservice = \"x\"\n"))
              == "note.toml:4: added.kinds: expected at least one kind");
    }
    SUBCASE("a note without changes")
    {
        CHECK(mistakesIn(test::noteText("a", "", ""))
                      .starts_with("note.toml:1: expected at least"));
    }
}

TEST_CASE("applyNote: applies changes to the catalogue")
{
    const Catalogue before = catalogueWith(
            test::noteText("first", "", test::adding("ledger") + test::adding("faxes")));

    SUBCASE("adds, changes and withdraws")
    {
        const std::string changes = test::adding("certificates")
                                    + "[[changed]]\nservice = \"ledger\"\nslots = 7\n"
                                      "[[changed.kinds]]\nname = \"entry\"\npath_prefix = \"/e/\"\n"
                                    + test::withdrawing("faxes");
        const auto note = parseReleaseNote(test::noteText("next", "first", changes), "note.toml");
        REQUIRE(note.has_value());
        const Result<Catalogue> after = applyNote(before, note.value());
        REQUIRE(after.has_value());
        CHECK(after.value().services.size() == 2);
        CHECK(findService(after.value(), "faxes") == nullptr);
        const Service *ledger = findService(after.value(), "ledger");
        REQUIRE(ledger != nullptr);
        CHECK(ledger->slots == 7);
        CHECK(ledger->kinds.front().name == "entry");
    }

    SUBCASE("rejects changes that conflict with the catalogue")
    {
        CHECK(contradiction(before, test::adding("ledger")) == "adds declared service ledger");
        CHECK(contradiction(before, test::withdrawing("photos"))
              == "withdraws undeclared service photos");
        CHECK(contradiction(before, "[withdrawn]\nkinds = [\"ledger/write\", \"photos/read\"]\n")
              == "withdraws undeclared kind ledger/write; withdraws kind photos/read of an "
                 "undeclared service");
        CHECK(contradiction(before, "[withdrawn]\nkinds = [\"ledger/read\"]\n")
              == "withdraws the last kind of ledger; withdraw the service instead");
        CHECK(contradiction(before, "[[changed]]\nservice = \"photos\"\n[[changed.kinds]]\n"
                                    "name = \"read\"\npath_prefix = \"/\"\n")
              == "changes undeclared service photos");
    }
}
