#include <LibCustomers/LargestCustomers.h>

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace chive;

TEST_CASE("The metrics name the largest customers only, however many there are")
{
    LargestCustomers largest;
    std::set<std::string> named;
    const auto add = [&](const std::string &name) {
        const auto placing = largest.add(name);
        if (placing.ousted)
            CHECK(named.erase(*placing.ousted) == 1);
        if (placing.isNamed)
            named.insert(name);
        CHECK(named.size() <= LargestCustomers::mostNamed);
    };

    SUBCASE("few customers are all named")
    {
        for (int i = 0; i < 100; ++i)
            add("c" + std::to_string(i % 5));
        CHECK(named.size() == 5);
    }
    SUBCASE("large ones replace small ones that came before")
    {
        for (int i = 0; i < 1'000; ++i)
            add("small-" + std::to_string(i));
        for (int i = 0; i < 100'000; ++i) {
            add("large-" + std::to_string(i % 3));
            add("small-" + std::to_string(i % 1'000));
        }
        for (int i = 0; i < 3; ++i)
            CHECK(named.contains("large-" + std::to_string(i)));
        CHECK(named.size() == LargestCustomers::mostNamed);
    }
    SUBCASE("and give way once they have become quiet")
    {
        for (int i = 0; i < 100'000; ++i)
            add("early-" + std::to_string(i % 16));
        for (int i = 0; i < 200'000; ++i)
            add("late-" + std::to_string(i % 16));
        for (int i = 0; i < 16; ++i)
            CHECK(named.contains("late-" + std::to_string(i)));
    }
}
