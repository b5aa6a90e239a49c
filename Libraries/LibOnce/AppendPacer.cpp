#include <LibOnce/AppendPacer.h>

#include <algorithm>

namespace chive {

namespace {

constexpr Milliseconds shortestInterval{20};
constexpr Milliseconds longestInterval{500};
constexpr Milliseconds firstBackOff{100};
constexpr Milliseconds longestBackOff{1'000};
constexpr Milliseconds recoverySpread{100};
/// More than one, so that a slow response does not delay the records behind it.
constexpr std::size_t maximumInFlight = 4;
constexpr int narrowingPercent = 90;

Milliseconds spread(Milliseconds most, double jitter)
{
    return Milliseconds(
            most.count() / 2
            + static_cast<Milliseconds::rep>(jitter * static_cast<double>(most.count()) / 2));
}

} // namespace

bool AppendPacer::maySend(TimePoint now) const
{
    return now >= notBefore_ && inFlight_ < maximumInFlight;
}

void AppendPacer::handleSent(TimePoint now)
{
    ++inFlight_;
    notBefore_ = now + interval_;
}

void AppendPacer::handleOutcome(Outcome outcome, TimePoint now, double jitter)
{
    --inFlight_;
    switch (outcome) {
    case Outcome::Written:
        backOff_ = Milliseconds(0);
        interval_ = std::max(interval_ * narrowingPercent / 100, shortestInterval);
        return;
    case Outcome::RateLimited:
        interval_ = std::min(interval_ * 2, longestInterval);
        notBefore_ = now + spread(interval_, jitter);
        return;
    case Outcome::Unavailable:
    case Outcome::Unknown:
        backOff_ = std::clamp(backOff_ * 2, firstBackOff, longestBackOff);
        notBefore_ = now + spread(backOff_, jitter);
        return;
    }
}

void AppendPacer::handleReachable(TimePoint now, double jitter)
{
    backOff_ = Milliseconds(0);
    notBefore_ = std::min(notBefore_, now + spread(recoverySpread, jitter));
}

} // namespace chive
