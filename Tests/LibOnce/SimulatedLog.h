#pragma once

#include <LibLog/LogPage.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace chive::test {

/// One stream of the log, in memory, with retention.
struct SimulatedLog
{
    std::uint64_t first = 0;
    std::vector<std::string> records; ///< Every record ever written, also below `first`.

    [[nodiscard]] std::uint64_t end() const { return records.size(); }

    void append(std::string payload) { records.push_back(std::move(payload)); }

    void retainFrom(std::uint64_t offset) { first = std::clamp(offset, first, end()); }

    [[nodiscard]] LogPage read(std::uint64_t from, std::size_t limit = 1000) const
    {
        LogPage page{first, end(), {}};
        for (std::uint64_t offset = std::max(from, first);
             offset < end() && page.records.size() < limit; ++offset)
            page.records.push_back({offset, records[offset]});
        return page;
    }
};

} // namespace chive::test
