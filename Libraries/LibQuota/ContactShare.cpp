#include <LibQuota/ContactShare.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace chive {

namespace {

/// The share of the round before also counts, so a loss of contact is noticed within twice this
/// time. The others need at least 1.2 s to suspect the allocator (MembershipTiming).
constexpr Milliseconds roundInterval{400};
/// Longer than a round trip between data centres.
constexpr Milliseconds echoTime{40};
/// Bounds the messages; a sample of this size gives the share within a few hundredths.
constexpr std::size_t mostProbed = 128;

} // namespace

void ContactShare::advance(TimePoint now)
{
    if (current_.number != 0 && now - current_.begin < roundInterval)
        return;
    probes_.clear();
    std::ranges::sample(others_, std::back_inserter(probes_), mostProbed, random_);
    previous_ = current_;
    current_ = {nextNumber_++, now, probes_.size(), 0};
}

void ContactShare::reset()
{
    current_ = {};
    previous_ = {};
    probes_.clear();
}

std::vector<Endpoint> ContactShare::takeProbes()
{
    return std::exchange(probes_, {});
}

void ContactShare::noteEcho(std::uint64_t round)
{
    for (Round *known : {&current_, &previous_}) {
        if (known->number == round && known->echoed < known->probed)
            ++known->echoed;
    }
}

double ContactShare::shareOf(const Round &round)
{
    return static_cast<double>(round.echoed + 1) / static_cast<double>(round.probed + 1);
}

std::optional<double> ContactShare::share(TimePoint now) const
{
    std::optional<double> best;
    if (previous_.number != 0)
        best = shareOf(previous_);
    if (current_.number != 0 && now - current_.begin >= echoTime)
        best = std::max(best.value_or(0.0), shareOf(current_));
    return best;
}

} // namespace chive
