#include <LibLog/StorePosition.h>

#include <doctest/doctest.h>

using namespace chive;

TEST_CASE("A position in the store is valid in one era only")
{
    StoreEra newest;
    CHECK(needsReload({}, newest));
    REQUIRE(noteEra(newest, 4) == EraOrder::Current);
    const StorePosition position = positionAt(newest, 7);
    CHECK(position == StorePosition{4, 7, true});
    CHECK_FALSE(needsReload(position, newest));

    SUBCASE("answers of the same era, or without one, leave it valid")
    {
        CHECK(noteEra(newest, 4) == EraOrder::Current);
        CHECK(noteEra(newest, {}) == EraOrder::Current);
        CHECK_FALSE(needsReload(position, newest));
    }

    SUBCASE("a higher era ends it")
    {
        CHECK(noteEra(newest, 5) == EraOrder::Restored);
        CHECK(needsReload(position, newest));

        SUBCASE("once")
        {
            CHECK(noteEra(newest, 5) == EraOrder::Current);
            CHECK_FALSE(needsReload(positionAt(newest, 2), newest));
        }

        SUBCASE("and a late answer of the era before changes nothing")
        {
            CHECK(noteEra(newest, 4) == EraOrder::Late);
            CHECK(newest == 5);
            CHECK(needsReload(positionAt(4, 9), newest));
        }

        SUBCASE("and so does a second restore")
        {
            const StorePosition second = positionAt(newest, 2);
            CHECK(noteEra(newest, 9) == EraOrder::Restored);
            CHECK(needsReload(second, newest));
        }
    }

    SUBCASE("a position of unknown era is read anew once the era is known")
    {
        CHECK(needsReload(positionAt({}, 7), newest));
    }
}
