#include <LibCustomers/CustomerKeys.h>
#include <LibCustomers/KeyDigest.h>

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace chive;

namespace {

using KeysOfCustomers = std::map<std::string, std::vector<std::string>>;

CustomerKeys next(const CustomerKeys &previous, std::uint64_t version, const KeysOfCustomers &keys)
{
    Catalogue catalogue;
    catalogue.version = version;
    for (const auto &[name, texts] : keys) {
        Customer &customer = catalogue.customers[name];
        customer.name = name;
        for (const std::string &text : texts)
            customer.keys.push_back(keyDigest(text));
    }
    return buildCustomerKeys(catalogue, previous);
}

} // namespace

TEST_CASE("A key is compared by its digest")
{
    // SHA-256 of "abc", FIPS 180-2 appendix B.1.
    CHECK(keyDigest("abc") == "ba7816bf8f01cfea414140de5dae2223");
    CHECK(keyDigest("abd") != keyDigest("abc"));
}

TEST_CASE("A customer is known by each of its keys")
{
    const CustomerKeys table = next({}, 1, {{"north", {"n1", "n2"}}, {"south", {"s1"}}});
    CHECK(customerOf(table, "n1") == "north");
    CHECK(customerOf(table, "n2") == "north");
    CHECK(customerOf(table, "s1") == "south");
    CHECK(customerOf(table, "s2").empty());
    CHECK(customerOf(table, "").empty());
    CHECK(customerOf(CustomerKeys(), "n1").empty());

    SUBCASE("but not by the digest of one, which nodes exchange")
    {
        CHECK(customerOf(table, keyDigest("n1")).empty());
    }
    SUBCASE("and a key of two customers is that of the same one on all nodes")
    {
        CHECK(customerOf(next({}, 1, {{"north", {"k"}}, {"east", {"k"}}}), "k") == "east");
    }
}

TEST_CASE("Keys are added, moved and withdrawn in quick succession")
{
    const CustomerKeys first = next({}, 1, {{"north", {"n1", "n2"}}, {"south", {"s1"}}});
    const CustomerKeys second = next(first, 2, {{"north", {"n1"}}, {"south", {"s1", "n2"}}});
    CHECK(customerOf(second, "n2") == "south");
    const CustomerKeys third = next(second, 3, {{"north", {"n1"}}, {"south", {"s1"}}});
    CHECK(customerOf(third, "n2").empty());
    CHECK(customerOf(third, "n1") == "north");

    SUBCASE("a newer version may hold a withdrawn key again")
    {
        CHECK(customerOf(next(third, 4, {{"north", {"n2"}}}), "n2") == "north");
    }
    SUBCASE("another record of the same version may not, but may change the others")
    {
        const KeysOfCustomers withdrawn{{"north", {"n2", "n3"}}, {"south", {"s1"}}};
        const CustomerKeys replaced = next(third, 3, withdrawn);
        CHECK(customerOf(replaced, "n2").empty());
        CHECK(customerOf(replaced, "n3") == "north");
        CHECK(customerOf(replaced, "n1").empty());

        SUBCASE("however often the record is replaced")
        {
            const CustomerKeys again = next(replaced, 3, {{"north", {"n1", "n2", "n3"}}});
            CHECK(customerOf(again, "n1").empty());
            CHECK(customerOf(again, "n2").empty());
            CHECK(customerOf(again, "n3") == "north");
        }
        SUBCASE("until the next version")
        {
            CHECK(customerOf(next(replaced, 4, withdrawn), "n2") == "north");
        }
    }
}
