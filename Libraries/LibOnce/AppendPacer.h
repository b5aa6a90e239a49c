#pragma once

#include <LibCore/Clock.h>

#include <cstddef>

namespace chive {

/// Decides when one service's next record may be appended. Records gather meanwhile, so a slower
/// pace means larger batches, not less work. All nodes share the log's limit of appends a second:
/// each widens its interval when the log refuses one, and narrows it slowly when it takes them.
class AppendPacer
{
public:
    enum class Outcome {
        Written,
        RateLimited,
        Unavailable, ///< Nothing was written.
        Unknown,
    };

    [[nodiscard]] bool maySend(TimePoint now) const;
    void handleSent(TimePoint now);

    /// `jitter` in [0, 1) spreads the nodes' attempts.
    void handleOutcome(Outcome outcome, TimePoint now, double jitter);

    /// The log answers again: the next record need not wait for the end of the back-off.
    void handleReachable(TimePoint now, double jitter);

    [[nodiscard]] Milliseconds interval() const { return interval_; }
    [[nodiscard]] std::size_t inFlight() const { return inFlight_; }

private:
    Milliseconds interval_{20};
    Milliseconds backOff_{0}; ///< Zero while the log takes records.
    TimePoint notBefore_{};
    std::size_t inFlight_ = 0;
};

} // namespace chive
