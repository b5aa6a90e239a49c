#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <optional>

namespace chive {

/// Members of each data centre that read the stream often and tell the others.
inline constexpr std::size_t readersPerDataCentre = 3;

/// Time between two reads of a reader; a note is in force everywhere well within 7 s.
inline constexpr Milliseconds readerInterval{500};

/// Time between two reads of the others. At 890 nodes they cost the log 30 reads a second.
inline constexpr Milliseconds listenerInterval{30'000};

/// A node that no peer told anything for this long reads by itself.
inline constexpr Milliseconds peerSilenceLimit{3'000};

/// What one node knows about its place among the members.
struct ReaderView
{
    std::size_t rankInDataCentre = 0; ///< Among the live members there, by id from 0.
    std::optional<TimePoint> lastHeardFromPeer;
    bool hasGap = false;
};

/// How often the node reads the stream.
[[nodiscard]] Milliseconds readInterval(const ReaderView &view, TimePoint now);

} // namespace chive
