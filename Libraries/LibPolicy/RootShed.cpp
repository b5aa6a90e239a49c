#include <LibPolicy/RootShed.h>

#include <algorithm>
#include <array>

namespace chive {

namespace {

/// Where refusal begins, by importance: below a full service for what may wait, at a queue of its
/// own for what must go on.
constexpr std::array<double, importanceLevels> sheddingBegins{1.20, 1.10, 0.65, 0.55};
/// From the beginning to the refusal of all.
constexpr double sheddingWidth = 0.40;

/// Requests return within this part of their objective, so that they can still be worth much.
constexpr double leastReturn = 0.3;
constexpr double mostReturn = 0.8;
/// For requests without an objective.
constexpr Milliseconds usualObjective{1'000};

} // namespace

double shedShare(double pressure, Importance importance)
{
    const double begin = sheddingBegins[static_cast<std::size_t>(importance)];
    return std::clamp((pressure - begin) / sheddingWidth, 0.0, 1.0);
}

Milliseconds returnAfter(double pressure, Milliseconds objective, double draw)
{
    const Milliseconds base = objective == Milliseconds(0) ? usualObjective : objective;
    const double factor
            = (leastReturn + (mostReturn - leastReturn) * draw) * std::clamp(pressure, 1.0, 2.0);
    return Milliseconds(static_cast<std::int64_t>(factor * static_cast<double>(base.count())));
}

} // namespace chive
