#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <optional>

namespace chive {

/// Number of members per data centre that read the stream often and inform the others.
inline constexpr std::size_t readersPerDataCentre = 3;

/// Interval between reads of a reader. A note is in force on every node well within 7 s.
inline constexpr Milliseconds readerInterval{500};

/// Interval between reads of the other members. With 890 nodes they add 30 reads per second to the
/// load of the log.
inline constexpr Milliseconds listenerInterval{30'000};

/// A node that has heard from no peer for this long reads as often as a reader.
inline constexpr Milliseconds peerSilenceLimit{3'000};

/// Rank of a node and its contact with peers, which decide how often it reads.
struct ReaderView
{
    std::size_t rankInDataCentre = 0; ///< Among the live members there, in order of id, from 0.
    std::optional<TimePoint> lastHeardFromPeer;
    bool hasGap = false;
};

/// Interval between reads of the stream by the node.
[[nodiscard]] Milliseconds readInterval(const ReaderView &view, TimePoint now);

} // namespace chive
