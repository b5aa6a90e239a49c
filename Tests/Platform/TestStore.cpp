#include <LibLog/StoreProtocol.h>

#include <doctest/doctest.h>

#include <string>
#include <string_view>

using namespace chive;

namespace {

const StoreProtocol &protocol()
{
    const StoreProtocol *found = Registry<StoreProtocol>::find("platform");
    REQUIRE(found != nullptr);
    return *found;
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

} // namespace

TEST_CASE("The store's newest values are read page by page")
{
    const auto page = protocol().readNewest(
            {200,
             {},
             makeBody(
                     R"({"items":[{"key":"a","value":"eHk=","offset":4}],"hasMore":true,"end":6})")});
    REQUIRE(page.has_value());
    CHECK(page.value().entries == std::vector<StoreEntry>{{"a", "xy", 4}});
    CHECK(page.value().end == 6);
    CHECK(page.value().nextAfter == "a");
    CHECK(protocol().newestRequest(StoreTopic::Directory, "a").target.ends_with("&after=a"));
}

TEST_CASE("Changes are read from the log's own format")
{
    const std::string body
            = number(12, 8) + number(3, 8) + keyedRecord("a", "new") + keyedRecord("b", "");
    const auto changes = protocol().readChanges({200, {}, makeBody(body)}, 10);
    REQUIRE(changes.has_value());
    CHECK(changes.value().entries == std::vector<StoreEntry>{{"a", "new", 10}, {"b", "", 11}});
    CHECK_FALSE(changes.value().isTruncated);

    SUBCASE("records that are gone are said to be")
    {
        CHECK(protocol().readChanges({410, {}, nullptr}, 10).value().isTruncated);
        CHECK(protocol().readChanges({200, {}, makeBody(body)}, 2).value().isTruncated);
    }
    SUBCASE("a cut answer is an error at every length")
    {
        for (std::size_t size = 0; size < body.size(); ++size) {
            const bool isWholeRecord = size == 16 || size == 16 + keyedRecord("a", "new").size();
            CAPTURE(size);
            CHECK(protocol().readChanges({200, {}, makeBody(body.substr(0, size))}, 10).has_value()
                  == isWholeRecord);
        }
    }
}

TEST_CASE("Only a refusal by the store proves that nothing was written")
{
    CHECK(protocol().readPut({200, {}, nullptr}).has_value());
    CHECK(protocol().readPut({503, {}, nullptr}).error().kind == Error::Kind::Unavailable);
    CHECK(protocol().readPut({500, {}, nullptr}).error().kind == Error::Kind::Invalid);
    const HttpRequest put = protocol().putRequest(StoreTopic::Directory, "a", "xy");
    CHECK(bytesOf(put.body) == keyedRecord("a", "xy"));
}

TEST_CASE("The store's era is read from all of its answers")
{
    for (const int status : {200, 410, 412, 429, 503}) {
        CAPTURE(status);
        CHECK(protocol().readEra({status, {{"store-era", "7"}}, nullptr}) == 7);
    }

    SUBCASE("one that is no whole number is none")
    {
        for (const char *text : {"", "x", "7x", "-1", "1.5", "99999999999999999999"}) {
            CAPTURE(text);
            CHECK_FALSE(protocol().readEra({200, {{"Store-Era", text}}, nullptr}).has_value());
        }
        CHECK_FALSE(protocol().readEra({200, {}, nullptr}).has_value());
    }
}
