#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// One record that a stream keeps.
struct KeptRecord
{
    std::uint64_t offset = 0;
    std::string payload;
    TimePoint appended;
};

/// What one read of a stream yields.
struct StreamRead
{
    std::uint64_t first = 0; ///< The oldest offset still kept.
    std::uint64_t end = 0;   ///< One past the newest offset.
    std::vector<KeptRecord> records;
};

/// The streams of the log stand-in: offsets from 0, limited time of keeping, limited rate.
class LogStreams
{
public:
    struct Limits
    {
        Milliseconds retention{0};          ///< Zero keeps records for ever.
        std::uint32_t appendsPerSecond = 0; ///< Of all streams together; zero is no limit.
    };

    explicit LogStreams(Limits limits)
        : limits_(limits)
    {}

    /// The offset of the new record, or nothing when the rate limit is reached.
    std::optional<std::uint64_t> append(std::string_view stream, std::string payload,
                                        TimePoint now);

    /// Up to `limit` records from this offset on; starts at the oldest one kept.
    [[nodiscard]] StreamRead read(std::string_view stream, std::uint64_t from, std::size_t limit,
                                  TimePoint now);

    [[nodiscard]] std::uint64_t appended() const { return appended_; }

private:
    struct Stream
    {
        std::uint64_t end = 0;
        std::deque<KeptRecord> records;
    };

    void expire(Stream &stream, TimePoint now) const;

    Limits limits_;
    std::map<std::string, Stream, std::less<>> streams_;
    std::deque<TimePoint> recentAppends_; ///< Of the last second.
    std::uint64_t appended_ = 0;
};

} // namespace chive
