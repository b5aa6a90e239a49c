#pragma once

#include <LibCore/Clock.h>

#include <cstddef>

namespace chive {

/// Decides when the next record of one service may be appended. Changes accumulate between appends,
/// so a longer interval makes the batches larger; it does not reduce the amount of work. All nodes
/// share the log's limit on appends per second: each node doubles its interval when the log rejects
/// an append for its rate, and shortens it slowly after successful appends.
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

    /// `jitter`, in [0, 1), spreads the retries of the nodes over time.
    void handleOutcome(Outcome outcome, TimePoint now, double jitter);

    /// The log can be reached again: ends the back-off early. `jitter` is in [0, 1).
    void handleReachable(TimePoint now, double jitter);

    [[nodiscard]] Milliseconds interval() const { return interval_; }
    [[nodiscard]] std::size_t inFlight() const { return inFlight_; }

private:
    Milliseconds interval_{20};
    Milliseconds backOff_{0}; ///< Zero while appends succeed.
    TimePoint notBefore_{};
    std::size_t inFlight_ = 0;
};

} // namespace chive
