#pragma once

#include <LibCatalogue/Customer.h>
#include <LibCore/Clock.h>
#include <LibQuota/QuotaTiming.h>
#include <LibSettings/Settings.h>

#include <cstdint>
#include <deque>

namespace chive {

/// Returns the tokens a second that the bucket of a customer gets.
[[nodiscard]] double refillRateOf(const CustomerQuota &quota, const Settings::QuotaBound &bound);

/// Returns how many tokens the bucket of a customer holds at most.
[[nodiscard]] double bucketSizeOf(const CustomerQuota &quota, const Settings::QuotaBound &bound);

/// The token bucket of one customer. Tokens that are returned count as never lent: the level is
/// computed again without them, so that lending and returning never raises it above what the
/// refill allows.
class QuotaBucket
{
public:
    /// The bucket is empty, and its refill begins at this time.
    explicit QuotaBucket(TimePoint startsAt);

    /// Sets the tokens a second and the most that it holds, from now on.
    void setLimits(double rate, double size, TimePoint now);

    [[nodiscard]] double level(TimePoint now) const;
    /// Takes whole tokens, at most `wanted`, and returns how many.
    [[nodiscard]] std::uint32_t take(std::uint32_t wanted, LeaseStamp stamp, TimePoint now);
    /// Takes back unused tokens that were lent with this stamp, unless they have expired.
    void giveBack(std::uint32_t count, LeaseStamp stamp, TimePoint now);

    /// Returns the time until this many whole tokens can be taken.
    [[nodiscard]] Milliseconds timeUntil(double tokens, TimePoint now) const;

    /// Whether it holds all that it can, so that a new bucket would be the same.
    [[nodiscard]] bool isFull(TimePoint now) const;

    /// Returns the time until this bucket has a token for one of `requests` more requests, after
    /// those that were told to return earlier.
    [[nodiscard]] Milliseconds reserveReturn(std::uint32_t requests, TimePoint now);

private:
    /// Tokens lent at nearly the same time.
    struct Lease
    {
        LeaseStamp stamp = 0;
        TimePoint last;
        std::uint32_t tokens = 0;
    };

    void forgetExpired(TimePoint now);
    [[nodiscard]] double refilled(double level, TimePoint from, TimePoint until) const;

    double rate_ = 0.0;
    double size_ = 0.0;
    double base_ = 0.0; ///< The level at `baseAt_`.
    TimePoint baseAt_;
    std::deque<Lease> leases_;   ///< Since `baseAt_`, in order of time.
    TimePoint returnsPlannedTo_; ///< When the last refused request was told to return.
};

} // namespace chive
