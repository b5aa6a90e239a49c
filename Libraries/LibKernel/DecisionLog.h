#pragma once

#include <LibCore/Clock.h>
#include <LibKernel/EventLoop.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace chive {

/// How much a line matters when there is no room for all.
enum class LineWeight : std::uint8_t {
    Success, ///< Dropped first.
    Failure, ///< A refusal or an error that somebody may ask about.
};

/// Structured lines on standard output, one for each decision that touches a request. Lines wait in
/// a bounded buffer and are written without ever blocking; what finds no room is dropped, counted
/// and said.
class DecisionLog
{
public:
    /// Writes to the descriptor, which is switched to non-blocking and not closed.
    DecisionLog(EventLoop &loop, const Clock &clock, int descriptor);

    /// Adds one line, `key=value` pairs without the line's end.
    void add(LineWeight weight, std::string_view line);

    /// Whether a line of this weight would be taken now, so that it need not be composed.
    [[nodiscard]] bool takes(LineWeight weight);

    /// Writes as much of what waits as the descriptor takes now.
    void flush();

    /// Bytes that wait to be written.
    [[nodiscard]] std::size_t pendingBytes() const { return pending_.size(); }

private:
    /// Lines a second of one weight, with a second's worth of savings.
    struct Rate
    {
        double perSecond = 0.0;
        double tokens = 0.0;
        TimePoint lastRefill;
    };

    void refill(Rate &rate) const;

    const Clock &clock_;
    int descriptor_;
    std::string pending_;
    std::uint64_t dropped_ = 0;
    Rate successes_;
    Rate failures_;
    Timer flushTimer_;
};

} // namespace chive
