#pragma once

#include <LibCore/Clock.h>

#include <cstdint>

namespace chive {

/// A token is used within this time after it was asked for, or not at all.
inline constexpr Milliseconds tokenLifetime{400};
/// Unused tokens of this age are returned, which leaves time for the message.
inline constexpr Milliseconds returnAge{300};
/// The time after which a request without a token is refused.
inline constexpr Milliseconds longestTokenWait{100};
/// Between two questions of a node to one allocator.
inline constexpr Milliseconds questionInterval{50};
/// A question without an answer for this long is asked again, as its answer is probably lost.
inline constexpr Milliseconds answerTimeout{150};
/// The longest Retry-After before it is spread.
inline constexpr Milliseconds longestRetryAfter{2'000};

/// Identifies the time at which an allocator lent tokens, in milliseconds of its own clock.
using LeaseStamp = std::uint64_t;

} // namespace chive
