#include <StandIns/LogStreams.h>

#include <algorithm>
#include <utility>

namespace chive {

std::optional<std::uint64_t> LogStreams::append(std::string_view stream, std::string payload,
                                                TimePoint now)
{
    while (!recentAppends_.empty() && recentAppends_.front() <= now - std::chrono::seconds(1))
        recentAppends_.pop_front();
    if (limits_.appendsPerSecond != 0 && recentAppends_.size() >= limits_.appendsPerSecond)
        return std::nullopt;
    recentAppends_.push_back(now);
    ++appended_;
    Stream &kept = streams_[std::string(stream)];
    kept.records.push_back({kept.end, std::move(payload), now});
    return kept.end++;
}

StreamRead LogStreams::read(std::string_view stream, std::uint64_t from, std::size_t limit,
                            TimePoint now)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end())
        return {};
    Stream &kept = found->second;
    expire(kept, now);
    StreamRead result;
    result.end = kept.end;
    result.first = kept.end - kept.records.size();
    const std::uint64_t start = std::clamp(from, result.first, result.end);
    for (std::uint64_t offset = start; offset < result.end && result.records.size() < limit;
         ++offset)
        result.records.push_back(kept.records[offset - result.first]);
    return result;
}

void LogStreams::expire(Stream &stream, TimePoint now) const
{
    if (limits_.retention == Milliseconds::zero())
        return;
    while (!stream.records.empty() && stream.records.front().appended + limits_.retention < now)
        stream.records.pop_front();
}

} // namespace chive
