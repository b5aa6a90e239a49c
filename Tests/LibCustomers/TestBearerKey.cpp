#include <LibCustomers/BearerKey.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace chive;

namespace {

BearerKey read(const std::vector<std::string> &values)
{
    static std::vector<Header> headers;
    headers = {{"Accept", "text/plain"}};
    for (const std::string &value : values)
        headers.emplace_back("authorization", value);
    return readBearerKey(headers);
}

} // namespace

TEST_CASE("A key is read from the Authorization header")
{
    CHECK(read({}).presence == KeyPresence::Absent);
    CHECK(read({"Bearer key-1"}).presence == KeyPresence::Present);
    CHECK(read({"Bearer key-1"}).text == "key-1");

    SUBCASE("whatever the case of the scheme, and with several spaces after it")
    {
        CHECK(read({"bearer key-1"}).text == "key-1");
        CHECK(read({"BEARER   key-1"}).text == "key-1");
    }
    SUBCASE("but not from a value that could be taken for several keys, or for none")
    {
        const std::vector<std::vector<std::string>> malformed{
                {"Bearer key-1", "Bearer key-1"},
                {"Bearer key-1", ""},
                {""},
                {"Bearer"},
                {"Bearer "},
                {"Bearer\tkey-1"},
                {"Bearerkey-1"},
                {"Basic key-1"},
                {"key-1"},
                {"Bearer key-1 key-2"},
                {"Bearer key-1,key-2 "},
                {std::string("Bearer key\0-1", 13)},
                {"Bearer key-1\x01"},
                {"Bearer key-1\x7F"},
                {"Bearer key-\xC3\xA9"},
                {"Bearer " + std::string(10 * 1024, 'k')},
        };
        for (const auto &values : malformed) {
            CAPTURE(values.front().substr(0, 40));
            CHECK(read(values).presence == KeyPresence::Malformed);
            CHECK(read(values).text.empty());
        }
    }
}
