#include <LibKernel/DecisionLog.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

namespace chive {

namespace {

constexpr Milliseconds flushInterval{50};
/// A reader that stops costs this much memory and no more.
constexpr std::size_t mostPending = 256 * 1024; // bytes
/// Volume under load: a line is about 250 bytes, so this is some 60 KB/s a process.
constexpr double successesPerSecond = 40.0;
constexpr double failuresPerSecond = 200.0;

} // namespace

DecisionLog::DecisionLog(EventLoop &loop, const Clock &clock, int descriptor)
    : clock_(clock)
    , descriptor_(descriptor)
    , successes_{successesPerSecond, successesPerSecond, clock.now()}
    , failures_{failuresPerSecond, failuresPerSecond, clock.now()}
{
    const int flags = fcntl(descriptor_, F_GETFL);
    if (flags != -1)
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    flushTimer_ = loop.every(flushInterval, [this] { flush(); });
}

void DecisionLog::refill(Rate &rate) const
{
    const TimePoint now = clock_.now();
    const std::chrono::duration<double> passed = now - rate.lastRefill;
    rate.tokens = std::min(rate.perSecond, rate.tokens + rate.perSecond * passed.count());
    rate.lastRefill = now;
}

bool DecisionLog::takes(LineWeight weight)
{
    Rate &rate = weight == LineWeight::Failure ? failures_ : successes_;
    refill(rate);
    // The second half of the buffer is for failures.
    const std::size_t room = weight == LineWeight::Failure ? mostPending : mostPending / 2;
    if (rate.tokens >= 1.0 && pending_.size() < room)
        return true;
    ++dropped_;
    return false;
}

void DecisionLog::add(LineWeight weight, std::string_view line)
{
    Rate &rate = weight == LineWeight::Failure ? failures_ : successes_;
    rate.tokens -= 1.0;
    pending_.append(line).append("\n");
}

void DecisionLog::flush()
{
    if (pending_.empty())
        return;
    if (dropped_ > 0) {
        pending_ += "event=lines-dropped count=" + std::to_string(dropped_) + "\n";
        dropped_ = 0;
    }
    const ssize_t written = write(descriptor_, pending_.data(), pending_.size());
    if (written > 0)
        pending_.erase(0, static_cast<std::size_t>(written));
}

} // namespace chive
