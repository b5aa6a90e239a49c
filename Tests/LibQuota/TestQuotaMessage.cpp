#include <LibQuota/QuotaMessage.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

using namespace chive;

namespace {

TokenQuestion someQuestion()
{
    return {77, {{"northwind", 12, 3}, {"fabrikam", 1, 0}}, {{"contoso", 4'000'000'000, 2}}};
}

} // namespace

TEST_CASE("Messages about tokens")
{
    SUBCASE("survive the way between two nodes")
    {
        const TokenAnswer answer{
                77,
                15,
                {{12, Milliseconds(0), Milliseconds(0)}, {0, Milliseconds(40), Milliseconds(700)}}};
        const auto question = parseQuotaMessage(encodeQuotaMessage(someQuestion()));
        REQUIRE(question.has_value());
        CHECK(std::get<TokenQuestion>(question.value()) == someQuestion());
        const auto parsed = parseQuotaMessage(encodeQuotaMessage(answer));
        REQUIRE(parsed.has_value());
        CHECK(std::get<TokenAnswer>(parsed.value()) == answer);
        const auto probe = parseQuotaMessage(encodeQuotaMessage(ContactProbe{9, 7}));
        CHECK(std::get<ContactProbe>(probe.value()) == ContactProbe{9, 7});
        const auto echo = parseQuotaMessage(encodeQuotaMessage(ContactEcho{9}));
        CHECK(std::get<ContactEcho>(echo.value()) == ContactEcho{9});
        const TokenAnswer granted{77, 15, {{12, {}, {}}, {1, {}, {}}}};
        const auto shortAnswer = parseQuotaMessage(encodeQuotaMessage(granted));
        REQUIRE(shortAnswer.has_value());
        CHECK(std::get<TokenAnswer>(shortAnswer.value()) == granted);
    }

    SUBCASE("a message cut off or altered anywhere crashes nothing")
    {
        const std::string bytes = encodeQuotaMessage(someQuestion());
        for (std::size_t length = 0; length < bytes.size(); ++length)
            CHECK_FALSE(parseQuotaMessage(bytes.substr(0, length)).has_value());
        std::mt19937 random(1);
        for (int i = 0; i < 20'000; ++i) {
            std::string altered = bytes;
            altered[random() % altered.size()] = static_cast<char>(random());
            altered[random() % altered.size()] = static_cast<char>(random());
            static_cast<void>(parseQuotaMessage(altered));
        }
    }

    SUBCASE("bytes that are no message are refused")
    {
        rc::check("random bytes",
                  [](const std::string &bytes) { static_cast<void>(parseQuotaMessage(bytes)); });
        CHECK_FALSE(parseQuotaMessage("").has_value());
    }
}
