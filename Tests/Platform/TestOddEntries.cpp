#include <LibLog/StoreProtocol.h>
#include <platform/Heartbeats.h>

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <string_view>
#include <vector>

using namespace chive;

namespace {

constexpr std::size_t deep = 100'000;

const StoreProtocol &protocol()
{
    const StoreProtocol *found = Registry<StoreProtocol>::find("platform");
    REQUIRE(found != nullptr);
    return *found;
}

std::string nested()
{
    return std::string(deep, '[') + std::string(deep, ']');
}

Result<Announcement> readHeartbeat(const std::string &body)
{
    return platform::readAnnouncement(
            {"POST", "/chiverouter/instances/i-1/heartbeat", {}, makeBody(body)});
}

std::string heartbeat(std::string_view address, std::string_view slots, std::string_view extra)
{
    return R"({"address":")" + std::string(address) + R"(","info":{"service":"s","slots":)"
           + std::string(slots) + R"(,"extra":)" + std::string(extra)
           + R"(},"status":{"state":"ready","sequence":4}})";
}

Result<StorePage> readItems(std::string_view items, std::string_view hasMore = "false")
{
    return protocol().readNewest({200,
                                  {},
                                  makeBody(R"({"items":[)" + std::string(items) + R"(],"hasMore":)"
                                           + std::string(hasMore) + R"(,"end":9})")});
}

std::string number(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i)
        text.push_back(static_cast<char>(value >> (8 * i)));
    return text;
}

std::string keyedRecord(std::string_view key, std::string_view value)
{
    return number(1 + key.size() + value.size(), 4) + number(key.size(), 1) + std::string(key)
           + std::string(value);
}

const std::string first = R"({"key":"a","value":"eHk=","offset":1})";
const std::string last = R"({"key":"c","value":"eHk=","offset":7})";
const StoreEntry firstEntry{"a", "xy", 1};
const StoreEntry lastEntry{"c", "xy", 7};

} // namespace

TEST_CASE("An odd heartbeat neither ends the node nor names a target")
{
    CHECK(readHeartbeat(heartbeat("10.0.0.9:8080", "4", "1")).has_value());
    SUBCASE("very deeply nested")
    {
        CHECK_FALSE(readHeartbeat(heartbeat("10.0.0.9:8080", "4", nested())).has_value());
        CHECK_FALSE(readHeartbeat(nested()).has_value());
    }
    SUBCASE("a number too large, negative or none")
    {
        for (const auto *slots : {"1e400", "18446744073709551616", "18446744073709551615", "-1",
                                  "0", "NaN", "4.5", "\"4\"", "null", "[]", "4000000000"})
            CHECK_FALSE(readHeartbeat(heartbeat("10.0.0.9:8080", slots, "1")).has_value());
    }
    SUBCASE("a port out of range, or no address")
    {
        for (const auto *address : {"10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:-1",
                                    "10.0.0.9:", "10.0.0.9", ":80", "10.0.0.9:99999999999999999999",
                                    "10.0.0.9:80x", "10.0.0.999:80", "somewhere:80", "1.2.3:80"})
            CHECK_FALSE(readHeartbeat(heartbeat(address, "4", "1")).has_value());
    }
}

TEST_CASE("A very deeply nested configuration does not end the node")
{
    CHECK_FALSE(protocol()
                        .readConfiguration(R"({"version":2,"services":[],"virtualHosts":[],)"
                                           R"("limits":{"idleTimeoutS":1,"x":)"
                                           + nested() + "}}")
                        .has_value());
}

TEST_CASE("One odd entry in the store hides no other")
{
    const std::vector<StoreEntry> both{firstEntry, lastEntry};
    SUBCASE("on a page of newest values")
    {
        for (const std::string &odd :
             {std::string("1"), std::string("null"), std::string("{}"), std::string("[[]]"),
              std::string(R"({"key":7,"value":"eHk=","offset":2})"),
              std::string(R"({"key":"b","value":5,"offset":2})"),
              std::string(R"({"key":"b","value":"eHk=","offset":-2})"),
              std::string(R"({"key":"b","value":"eHk=","offset":1e30})"),
              std::string(R"({"key":"b","offset":2})")}) {
            CAPTURE(odd);
            const auto page = readItems(std::string(first).append(",").append(odd) + "," + last);
            REQUIRE(page.has_value());
            CHECK(page.value().entries == both);
        }
    }
    SUBCASE("at the end of a page, and the next page is asked for")
    {
        const auto page = readItems(first + R"(,{"key":"b","value":5,"offset":2})", "true");
        REQUIRE(page.has_value());
        CHECK(page.value().nextAfter == "b");
        const auto nameless = readItems(first + R"(,{"value":5,"offset":2})", "true");
        REQUIRE(nameless.has_value());
        CHECK(nameless.value().nextAfter == "a");
    }
    SUBCASE("alone on a page")
    {
        const auto page = readItems(R"({"key":"b","value":5,"offset":2})", "true");
        REQUIRE(page.has_value());
        CHECK(page.value().nextAfter == "b");
    }
    SUBCASE("among the changes, which keep their offsets")
    {
        for (const std::string &odd : {number(0, 4), number(1, 4) + number(9, 1)}) {
            const std::string body = number(12, 8) + number(3, 8) + keyedRecord("a", "xy") + odd
                                     + keyedRecord("c", "xy");
            const auto changes = protocol().readChanges({200, {}, makeBody(body)}, 4);
            REQUIRE(changes.has_value());
            REQUIRE(changes.value().entries.size() == 3);
            CHECK(changes.value().entries[0] == StoreEntry{"a", "xy", 4});
            CHECK(changes.value().entries[1] == StoreEntry{"", "", 5});
            CHECK(changes.value().entries[2] == StoreEntry{"c", "xy", 6});
        }
    }
}

TEST_CASE("A key of any bytes can be continued after")
{
    const std::string target
            = protocol().newestRequest(StoreTopic::Directory, "a b&c\r\n\xFF%/~.-_").target;
    CHECK(target.ends_with("&after=a%20b%26c%0D%0A%FF%25%2F~.-_"));
}

TEST_CASE("Random changes to what is read end no node")
{
    std::mt19937_64 random(20'261'205);
    const std::string page = R"({"items":[)" + first + "," + last + R"(],"end":9})";
    const std::string changes
            = number(12, 8) + number(3, 8) + keyedRecord("a", "new") + keyedRecord("b", "");
    const std::string beat = heartbeat("10.0.0.9:8080", "4", "1");
    const auto changed = [&](std::string text) {
        for (auto edits = random() % 4 + 1; edits > 0 && !text.empty(); --edits) {
            const std::size_t at = random() % text.size();
            switch (random() % 4) {
            case 0:
                text[at] = static_cast<char>(random());
                break;
            case 1:
                text.erase(at, random() % 8);
                break;
            case 2:
                text.insert(at, text.substr(random() % text.size(), random() % 16));
                break;
            default:
                text.insert(at, random() % 2 == 0 ? "99999999999999999999999" : "-1e999");
            }
        }
        return text;
    };
    for (int round = 0; round < 20'000; ++round) {
        (void)protocol().readNewest({200, {}, makeBody(changed(page))});
        (void)protocol().readChanges({200, {}, makeBody(changed(changes))}, random());
        (void)protocol().readConfiguration(changed(beat));
        const auto read = readHeartbeat(changed(beat));
        if (read.has_value())
            CHECK(read.value().slots > 0);
    }
}
