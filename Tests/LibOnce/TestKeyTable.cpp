#include <LibOnce/KeyTable.h>

#include <doctest/doctest.h>

using namespace chive;

namespace {

constexpr Milliseconds lifetime{80'000};
const TimePoint start{std::chrono::hours(1)};
const KeyDigest key = digestOfKey("entry-1");

OnceBatch intentOf(std::uint64_t holder, std::uint32_t sequence, std::uint64_t asOf = 0)
{
    OnceBatch batch;
    batch.holder = holder;
    batch.intents = {{key, 1, sequence, asOf}};
    return batch;
}

OnceBatch releaseOf(std::uint64_t holder, std::uint32_t sequence)
{
    OnceBatch batch;
    batch.holder = holder;
    batch.releases = {{key, sequence}};
    return batch;
}

} // namespace

TEST_CASE("KeyTable: holder of a key")
{
    KeyTable table(lifetime);
    const auto holder = [&] { return table.find(key)->nonce(); };
    applyBatch(table, intentOf(1, 1), 0, start);
    REQUIRE(holder() == Nonce{1, 1});

    SUBCASE("the first intent in the log wins over a later one")
    {
        applyBatch(table, intentOf(2, 1), 1, start);
        CHECK(holder() == Nonce{1, 1});
    }

    SUBCASE("the next intent after a release takes the key")
    {
        applyBatch(table, releaseOf(1, 1), 1, start);
        applyBatch(table, intentOf(2, 1), 2, start);
        CHECK(holder() == Nonce{2, 1});

        SUBCASE("delayed duplicates of the first attempt have no effect")
        {
            applyBatch(table, intentOf(1, 1), 3, start);
            applyBatch(table, releaseOf(1, 1), 4, start);
            CHECK(holder() == Nonce{2, 1});
            CHECK(table.find(key)->state == KeyState::Held);
        }
    }

    SUBCASE("only the attempt that holds the key can release it")
    {
        applyBatch(table, releaseOf(2, 1), 1, start);
        applyBatch(table, releaseOf(1, 2), 2, start);
        CHECK(table.find(key)->state == KeyState::Held);
    }

    SUBCASE("an intent takes the key if its writer had read the holder's record and found the key "
            "expired")
    {
        applyBatch(table, intentOf(2, 1, 0), 5, start);
        CHECK(holder() == Nonce{1, 1});
        applyBatch(table, intentOf(2, 2, 1), 6, start);
        CHECK(holder() == Nonce{2, 2});
    }
}

TEST_CASE("KeyTable: an intent that arrives after its own release never holds the key")
{
    KeyTable table(lifetime);
    applyBatch(table, releaseOf(1, 1), 0, start);
    applyBatch(table, intentOf(1, 1), 1, start);
    CHECK(table.find(key)->state == KeyState::Released);
}

TEST_CASE("KeyTable: a key is kept for its lifetime and little longer")
{
    KeyTable table(lifetime);
    applyBatch(table, intentOf(1, 1), 0, start);
    table.removeExpired(start + lifetime - Milliseconds(1));
    CHECK(table.find(key) != nullptr);

    SUBCASE("its age carries over through a snapshot")
    {
        const TimePoint later = start + lifetime / 2;
        const auto parts = makeSnapshot(table, 1, 1, later);
        KeyTable copy(lifetime);
        loadSnapshot(copy, parts.front().entries, later);
        copy.removeExpired(start + lifetime - Milliseconds(1));
        CHECK(copy.find(key) != nullptr);
        copy.removeExpired(start + lifetime * 3 / 2);
        CHECK(copy.size() == 0);
    }

    SUBCASE("it is removed after the lifetime and one more generation")
    {
        table.removeExpired(start + lifetime * 5 / 4);
        CHECK(table.size() == 0);
    }
}

TEST_CASE("KeyTable: a snapshot in several parts has every key once")
{
    KeyTable table(lifetime);
    constexpr std::size_t keys = 1'000;
    for (std::size_t i = 0; i < keys; ++i)
        table.put(digestOfKey(std::to_string(i)), {}, start + Milliseconds(i * 20));
    const auto parts = makeSnapshot(table, 1, 77, start + Milliseconds(20'000));
    KeyTable copy(lifetime);
    for (const SnapshotPart &part : parts) {
        CHECK(part.parts == parts.size());
        CHECK(part.asOf == 77);
        loadSnapshot(copy, part.entries, start + Milliseconds(20'000));
    }
    CHECK(parts.size() > 1);
    CHECK(copy.size() == keys);
}
