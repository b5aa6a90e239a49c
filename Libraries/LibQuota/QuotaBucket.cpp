#include <LibQuota/QuotaBucket.h>

#include <algorithm>
#include <cmath>

namespace chive {

namespace {

/// For how long two nodes may both act as the allocator of a customer. A new allocator waits for
/// the lifetime of a token, in which the old one mostly hears of the change too.
constexpr double handOverSeconds = 0.4;
/// Part of the permitted overage by which the refill exceeds the rate. Tokens that are lent and not
/// used in time are lost, so with the rate alone customers just within it would be refused.
constexpr double overageRefilled = 0.5;
constexpr double lifetimeSeconds = std::chrono::duration<double>(tokenLifetime).count();
/// Random arrivals at 0.9 of the rate find a bucket of this many tokens empty less than 1 time in
/// 200; half of the burst of a customer with a small rate would not suffice.
constexpr double fewTokens = 30.0;
/// Compensates the rounding of sums, so that a whole token counts as one.
constexpr double roundingTolerance = 1e-6;

double secondsBetween(TimePoint from, TimePoint until)
{
    return std::chrono::duration<double>(until - from).count();
}

} // namespace

double refillRateOf(const CustomerQuota &quota, const Settings::QuotaBound &bound)
{
    return quota.ratePerSecond * (1.0 + overageRefilled * bound.overage);
}

// In a window w, the tokens used were lent within w + lifetime, hence at most refill x (w +
// lifetime) + size, and refill x handOver more while two nodes lend. Setting this equal to the
// bound (rate x w + burst) x (1 + overage) + slack gives the room for `size`.
double bucketSizeOf(const CustomerQuota &quota, const Settings::QuotaBound &bound)
{
    const double rate = quota.ratePerSecond;
    const double window = std::chrono::duration<double>(bound.window).count();
    const double refill = refillRateOf(quota, bound);
    const double allowed = (rate * window + quota.burst) * (1.0 + bound.overage) + bound.slack;
    const double roomForOne = allowed - refill * (window + lifetimeSeconds);
    const double roomForTwo = roomForOne - refill * handOverSeconds;
    const double half = quota.burst / 2;
    // With a burst of less than about half a second of the rate there is no room for a hand-over.
    const double size
            = std::max(std::min(std::max(half, fewTokens), roomForTwo), std::min(half, roomForOne));
    return std::max(1.0, size);
}

QuotaBucket::QuotaBucket(TimePoint startsAt)
    : baseAt_(startsAt)
    , returnsPlannedTo_(startsAt)
{}

void QuotaBucket::setLimits(double rate, double size, TimePoint now)
{
    if (rate == rate_ && size == size_)
        return;
    if (now > baseAt_) {
        base_ = level(now);
        baseAt_ = now;
        leases_.clear();
    }
    rate_ = rate;
    size_ = size;
    base_ = std::min(base_, size);
}

double QuotaBucket::refilled(double level, TimePoint from, TimePoint until) const
{
    if (until <= from)
        return level;
    return std::min(size_, level + rate_ * secondsBetween(from, until));
}

double QuotaBucket::level(TimePoint now) const
{
    double level = base_;
    TimePoint at = baseAt_;
    for (const Lease &lease : leases_) {
        level = refilled(level, at, lease.last) - lease.tokens;
        at = lease.last;
    }
    return refilled(level, at, now);
}

std::uint32_t QuotaBucket::take(std::uint32_t wanted, LeaseStamp stamp, TimePoint now)
{
    forgetExpired(now);
    if (now < baseAt_)
        return 0;
    const double whole = std::floor(level(now) + roundingTolerance);
    if (whole < 1.0 || wanted == 0)
        return 0;
    const auto taken = static_cast<std::uint32_t>(std::min<double>(wanted, whole));
    if (leases_.empty() || leases_.back().stamp != stamp)
        leases_.push_back({stamp, now, 0});
    leases_.back().last = now;
    leases_.back().tokens += taken;
    return taken;
}

void QuotaBucket::giveBack(std::uint32_t count, LeaseStamp stamp, TimePoint now)
{
    forgetExpired(now);
    const auto lease = std::ranges::find(leases_, stamp, &Lease::stamp);
    if (lease != leases_.end())
        lease->tokens -= std::min(lease->tokens, count);
}

void QuotaBucket::forgetExpired(TimePoint now)
{
    while (!leases_.empty() && leases_.front().last + tokenLifetime < now) {
        base_ = refilled(base_, baseAt_, leases_.front().last) - leases_.front().tokens;
        baseAt_ = leases_.front().last;
        leases_.pop_front();
    }
}

Milliseconds QuotaBucket::timeUntil(double tokens, TimePoint now) const
{
    const Milliseconds untilStart
            = now < baseAt_ ? std::chrono::ceil<Milliseconds>(baseAt_ - now) : Milliseconds(0);
    const double missing = tokens - level(now);
    if (missing <= 0.0)
        return untilStart;
    const std::chrono::duration<double> longest(longestRetryAfter);
    if (missing >= rate_ * longest.count())
        return longestRetryAfter;
    const std::chrono::duration<double> refill(missing / rate_);
    return std::min(longestRetryAfter, untilStart + std::chrono::ceil<Milliseconds>(refill));
}

bool QuotaBucket::isFull(TimePoint now) const
{
    return leases_.empty() && now > baseAt_ && level(now) >= size_;
}

Milliseconds QuotaBucket::reserveReturn(std::uint32_t requests, TimePoint now)
{
    const TimePoint nextToken = now + timeUntil(1.0, now);
    returnsPlannedTo_ = std::max(returnsPlannedTo_, nextToken);
    const Milliseconds result = std::chrono::ceil<Milliseconds>(returnsPlannedTo_ - now);
    const double spacing = rate_ > 0.0 ? requests / rate_ : 1.0;
    const auto capped = std::chrono::ceil<Milliseconds>(
            std::chrono::duration<double>(std::min(spacing, 2.0)));
    returnsPlannedTo_ = std::min(returnsPlannedTo_ + capped, now + longestRetryAfter);
    return std::min(result, longestRetryAfter);
}

} // namespace chive
