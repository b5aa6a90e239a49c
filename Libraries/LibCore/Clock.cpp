#include <LibCore/Clock.h>

namespace chive {

TimePoint SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
}

void ManualClock::advance(std::chrono::nanoseconds step)
{
    now_ += step;
    wallNow_ += std::chrono::duration_cast<std::chrono::milliseconds>(step);
}

} // namespace chive
