#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// One record of a stream of the platform's log.
struct LogRecord
{
    std::uint64_t offset = 0;
    std::string payload;

    bool operator==(const LogRecord &) const = default;
};

/// The result of one read of a stream.
struct LogPage
{
    std::uint64_t first = 0; ///< The oldest retained offset.
    std::uint64_t end = 0;   ///< One past the newest offset.
    std::vector<LogRecord> records;
};

/// Parses the response body of a read from the offset `from`. Offsets must be strictly ascending,
/// not below `from` and within the range that the log retains. Gaps are left to the reader. Fails
/// with Error::Kind::Invalid.
[[nodiscard]] Result<LogPage> parseLogPage(std::string_view body, std::uint64_t from);

/// Parses the response body of an append, which holds the offset of the new record. Fails with
/// Error::Kind::Invalid.
[[nodiscard]] Result<std::uint64_t> parseAppendedOffset(std::string_view body);

} // namespace chive
