#include <LibCore/Cbor.h>
#include <LibCore/JsonRead.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <random>
#include <string>

using namespace chive;

namespace {

constexpr std::size_t deep = 100'000;

std::string repeated(std::string_view text, std::size_t times)
{
    std::string all;
    all.reserve(text.size() * times);
    for (std::size_t i = 0; i < times; ++i)
        all.append(text);
    return all;
}

} // namespace

TEST_CASE("Deeply nested JSON does not end the process")
{
    const std::string arrays = repeated("[", deep) + repeated("]", deep);
    const std::string objects = repeated(R"({"a":)", deep) + "1" + repeated("}", deep);
    for (const std::string &nested : {arrays, objects}) {
        CHECK_FALSE(parseObject(R"({"a":{"b":)" + nested + "}}").has_value());
        CHECK_FALSE(parseObject(nested).has_value());
        CHECK_FALSE(parseObject(nested.substr(0, nested.size() / 2)).has_value());
    }
    SUBCASE("brackets within text are no nesting")
    {
        const auto read = parseObject(R"({"a":"\")" + repeated("[", deep) + R"("})");
        REQUIRE(read.has_value());
        CHECK(textField(read.value(), "a").has_value());
    }
    SUBCASE("and siblings are none")
    {
        const auto read = parseObject(R"({"a":[[])" + repeated(",[]", deep) + "]}");
        REQUIRE(read.has_value());
        CHECK(arrayField(read.value(), "a").value().size() == deep + 1);
    }
}

TEST_CASE("Deeply nested CBOR does not end the process")
{
    std::string unit;
    SUBCASE("arrays of one element")
    {
        unit = "\x81";
    }
    SUBCASE("arrays without a length")
    {
        unit = "\x9F";
    }
    SUBCASE("maps")
    {
        unit = "\xA1\x61k";
    }
    SUBCASE("texts without a length")
    {
        unit = "\x7F";
    }
    SUBCASE("byte strings without a length")
    {
        unit = "\x5F";
    }
    SUBCASE("tags")
    {
        unit = "\xC6";
    }
    CHECK(parseCbor(repeated(unit, deep) + std::string(1, '\0')).is_null());
}

TEST_CASE("CBOR that nodes write is read")
{
    const nlohmann::json value{{"a", {1, -1, 1.5, true, nullptr, "text"}},
                               {"b", std::string(70'000, 'x')},
                               {"c", std::vector<int>(300, 70'000)},
                               {"d", std::numeric_limits<std::uint64_t>::max()},
                               {"e", nlohmann::json::binary({1, 2, 3})}};
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    CHECK(parseCbor(bytes) == value);
    SUBCASE("whole only")
    {
        for (std::size_t size = 0; size < 100; ++size)
            CHECK(parseCbor(std::string_view(bytes).substr(0, size)).is_null());
        CHECK(parseCbor(bytes + "x").is_null());
    }
    SUBCASE("and lengths beyond the input are not")
    {
        CHECK(parseCbor("\x9B\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF").is_null());
        CHECK(parseCbor("\xBB\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF").is_null());
        CHECK(parseCbor("\x7B\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF").is_null());
    }
}

TEST_CASE("Random bytes do not end the process")
{
    std::mt19937_64 random(20'261'205);
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes(random() % 64, '\0');
        for (char &byte : bytes)
            byte = static_cast<char>(random());
        (void)parseCbor(bytes);
        CHECK_FALSE(parseObject(bytes).has_value());
    }
}
