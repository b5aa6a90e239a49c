#include <LibOnce/OnceRecord.h>

#include <doctest/doctest.h>

using namespace chive;

TEST_CASE("OnceRecord: encoding and parsing preserve a record")
{
    const KeyDigest key = digestOfKey("entry-1");

    SUBCASE("a batch")
    {
        OnceBatch batch;
        batch.holder = 0xFEDCBA9876543210;
        batch.releases = {{key, 1}};
        batch.completions = {{key, 2, 201, true, "application/json", "{\"a\":\"\xC3\xA4\"}"},
                             {key, 3, 500, false, "", ""}};
        batch.intents = {{key, digestOfFingerprint("f"), 4, 99}};
        const auto parsed = parseOnceRecord(encodeOnceRecord(batch));
        REQUIRE(parsed.has_value());
        CHECK(std::get<OnceBatch>(parsed.value()) == batch);
    }

    SUBCASE("a snapshot part")
    {
        const KeyEntry entry{1, 2, 3, 4, 201, KeyState::Completed};
        const SnapshotPart part{7, 1, 2, 1234, {{key, entry, 3600}}};
        const auto parsed = parseOnceRecord(encodeOnceRecord(part));
        REQUIRE(parsed.has_value());
        CHECK(std::get<SnapshotPart>(parsed.value()) == part);
    }
}

TEST_CASE("OnceRecord: malformed records are errors")
{
    for (const char *payload :
         {"", "7", "{}", R"({"type":"other"})", R"({"type":"batch"})",
          R"({"type":"batch","holder":"12","releases":[],"ends":[],"intents":[]})",
          R"({"type":"batch","holder":"0000000000000001","releases":[],"ends":[],"intents":[[1]]})",
          R"({"type":"batch","holder":"0000000000000001","releases":[["00000000000000000000000000000001",-1]],"ends":[],"intents":[]})",
          R"({"type":"batch","holder":"0000000000000001","releases":[["00000000000000000000000000000001",4294967296]],"ends":[],"intents":[]})",
          R"({"type":"snapshot","id":"0000000000000001","position":[1,1,0],"entries":[]})"}) {
        CAPTURE(payload);
        CHECK(parseOnceRecord(payload).has_error());
    }
}
