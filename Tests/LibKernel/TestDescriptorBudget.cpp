#include <LibKernel/DescriptorBudget.h>

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <utility>

using namespace chive;

TEST_CASE("The descriptors of a process are divided among their uses")
{
    static constexpr std::array<std::size_t, 6> limits{128, 256, 1'024, 4'100, 8'192, 1'048'576};

    SUBCASE("no use can take those of another")
    {
        for (const std::size_t limit : limits) {
            CAPTURE(limit);
            const DescriptorBudget budget = divideDescriptors(limit);
            CHECK(budget.files + budget.callers + budget.targetCalls + budget.target + budget.peers
                          + budget.platform + budget.admin
                  <= limit);
        }
    }

    SUBCASE("each use gets some of a low limit")
    {
        const DescriptorBudget budget = divideDescriptors(limits.front());
        const DescriptorShares shares(budget);
        CHECK(budget.files > 0);
        forEachShare(shares, [](std::string_view name, const DescriptorShare &share) {
            CAPTURE(std::string(name));
            CHECK(share.most() >= 8);
        });
    }

    SUBCASE("a limit of 4,100 leaves 200 to files, and room for the links of a large mesh")
    {
        constexpr std::size_t controlLinks = 889;
        const DescriptorBudget budget = divideDescriptors(4'100);
        CHECK(budget.files == 200);
        CHECK(budget.callers == 1'521);
        CHECK(budget.peers >= controlLinks);
    }

    SUBCASE("a configured maximum above the operating system's limit has no effect")
    {
        const std::size_t limit = descriptorLimit(0);
        CHECK(limit > 0);
        CHECK(descriptorLimit(limit + 1) == limit);
        CHECK(descriptorLimit(100) == 100);
    }
}

TEST_CASE("A share counts the descriptors that are in use")
{
    DescriptorShare share(2);
    DescriptorLease first(share);
    CHECK(share.used() == 1);
    CHECK(!share.isFull());

    SUBCASE("a moved lease counts once")
    {
        const DescriptorLease moved = std::move(first);
        CHECK(share.used() == 1);
    }

    SUBCASE("a lease gives its descriptor back at its end")
    {
        {
            const DescriptorLease second(share);
            CHECK(share.isFull());
        }
        first = DescriptorLease();
        CHECK(share.used() == 0);
    }
}
