#pragma once

#include <chrono>

namespace chive {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// A time on the monotonic clock. It has no meaning in other processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

/// A time on the wall clock, for logs and for ages that must be valid across restarts.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// The source of time. It is passed as an argument, so that tests can control time.
class Clock
{
public:
    virtual ~Clock() = default;

    [[nodiscard]] virtual TimePoint now() const = 0;
    [[nodiscard]] virtual WallTime wallNow() const = 0;
};

/// The clock of the operating system.
class SystemClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] WallTime wallNow() const override;
};

/// A clock that changes only in advance(), for tests and simulations.
class ManualClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override { return now_; }
    [[nodiscard]] WallTime wallNow() const override { return wallNow_; }

    void advance(std::chrono::nanoseconds step);

private:
    TimePoint now_{std::chrono::hours(1)};
    WallTime wallNow_{std::chrono::hours(1)};
};

} // namespace chive
