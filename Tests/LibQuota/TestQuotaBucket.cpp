#include <LibQuota/QuotaBucket.h>

#include <doctest/doctest.h>

using namespace chive;

namespace {

const TimePoint start{std::chrono::hours(100)};
const Settings::QuotaBound bound{Milliseconds(5'000), 0.1, 20.0};

double secondsOf(Milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

TEST_CASE("Size of the bucket of a customer")
{
    SUBCASE("is half of the burst for a large customer")
    {
        CHECK(bucketSizeOf({300.0, 300.0}, bound) == doctest::Approx(150.0));
    }

    SUBCASE("holds some whole requests for a small one, so that random arrivals find a token")
    {
        CHECK(bucketSizeOf({5.0, 5.0}, bound) == doctest::Approx(22.55));
    }

    SUBCASE("leaves room for a hand-over between two allocators within the bound")
    {
        for (double rate = 0.5; rate < 5'000.0; rate *= 1.3) {
            const double size = bucketSizeOf({rate, rate}, bound);
            const double used = refillRateOf({rate, rate}, bound)
                                        * (secondsOf(bound.window + tokenLifetime) + 0.4)
                                + size;
            const double allowed
                    = (rate * secondsOf(bound.window) + rate) * (1 + bound.overage) + bound.slack;
            CHECK(used <= allowed + 1e-6);
        }
    }

    SUBCASE("without any slack it still holds one token")
    {
        CHECK(bucketSizeOf({5.0, 0.0}, {Milliseconds(5'000), 0.0, 0.0}) >= 1.0);
    }
}

TEST_CASE("Tokens of a bucket")
{
    QuotaBucket bucket(start);
    bucket.setLimits(100.0, 50.0, start);
    const auto at = [](int milliseconds) { return start + Milliseconds(milliseconds); };

    SUBCASE("come at the rate, up to the size")
    {
        CHECK(bucket.take(10, 0, start) == 0);
        CHECK(bucket.take(100, 5, at(100)) == 10);
        CHECK(bucket.take(100, 500, at(10'000)) == 50);
    }

    SUBCASE("that are returned do not let more be lent than the refill allows")
    {
        CHECK(bucket.take(50, 50, at(1'000)) == 50);
        // The bucket would have overflowed meanwhile, if these tokens had never been lent.
        CHECK(bucket.take(20, 60, at(1'200)) == 20);
        bucket.giveBack(50, 50, at(1'200));
        CHECK(bucket.level(at(1'200)) == doctest::Approx(30.0));
    }

    SUBCASE("are not taken back twice, late, or with an unknown stamp")
    {
        CHECK(bucket.take(50, 50, at(1'000)) == 50);
        bucket.giveBack(10, 50, at(1'000));
        CHECK(bucket.level(at(1'000)) == doctest::Approx(10.0));
        bucket.giveBack(100, 50, at(1'000));
        CHECK(bucket.level(at(1'000)) == doctest::Approx(50.0));
        bucket.giveBack(100, 50, at(1'000));
        bucket.giveBack(100, 7, at(1'000));
        CHECK(bucket.level(at(1'000)) == doctest::Approx(50.0));
        CHECK(bucket.take(50, 51, at(1'020)) == 50);
        bucket.giveBack(50, 51, at(1'430));
        CHECK(bucket.level(at(1'430)) == doctest::Approx(41.0));
    }

    SUBCASE("are cut at once when the limit is lowered")
    {
        bucket.setLimits(10.0, 5.0, at(10'000));
        CHECK(bucket.level(at(10'000)) == doctest::Approx(5.0));
        CHECK(bucket.timeUntil(6.0, at(10'000)) == Milliseconds(100));
    }

    SUBCASE("refused requests are told times at which tokens come, one after the other")
    {
        CHECK(bucket.take(50, 50, at(1'000)) == 50);
        CHECK(bucket.reserveReturn(20, at(1'000)) == Milliseconds(10));
        CHECK(bucket.reserveReturn(20, at(1'000)) == Milliseconds(210));
        CHECK(bucket.reserveReturn(100'000, at(1'000)) == Milliseconds(410));
        CHECK(bucket.reserveReturn(1, at(1'000)) == longestRetryAfter);
    }
}
