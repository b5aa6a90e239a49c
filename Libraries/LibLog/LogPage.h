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

/// The answer to one read of a stream.
struct LogPage
{
    std::uint64_t first = 0; ///< The oldest offset that the log still keeps.
    std::uint64_t end = 0;   ///< One past the newest offset.
    std::vector<LogRecord> records;
};

/// Parses the body of the answer to a read from the offset `from`. Offsets must rise and lie within
/// what was asked for and what the log says it keeps; gaps are left to the reader to judge.
[[nodiscard]] Result<LogPage> parseLogPage(std::string_view body, std::uint64_t from);

/// Parses the body of the answer to an append: the offset of the new record.
[[nodiscard]] Result<std::uint64_t> parseAppendedOffset(std::string_view body);

} // namespace chive
