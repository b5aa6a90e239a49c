#pragma once

#include <LibCore/Clock.h>

#include <cstdint>

namespace chive {

/// A token is used within this time after it was asked for, or not at all.
inline constexpr Milliseconds tokenLifetime{400};
/// Unused tokens of this age are returned, which leaves time for the message.
inline constexpr Milliseconds returnAge{300};
/// The time after which a request is refused once the allocator has answered that it has no token.
inline constexpr Milliseconds longestTokenWait{100};
/// The same while the allocator has not answered, which does not mean that the quota is used up.
inline constexpr Milliseconds longestAnswerWait{400};
/// Between two questions of a node to one allocator.
inline constexpr Milliseconds questionInterval{50};
/// A question without an answer for this long is asked again, as its answer is probably lost.
inline constexpr Milliseconds answerTimeout{150};
/// The longest Retry-After before it is spread.
inline constexpr Milliseconds longestRetryAfter{2'000};

/// Identifies the time at which an allocator lent tokens, in units that only the allocator knows.
using LeaseStamp = std::uint64_t;

} // namespace chive
