#pragma once

#include <LibCore/Clock.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace chive {

enum class RunEnd : std::uint8_t {
    Running,
    Answered,
    Cancelled, ///< The node closed the connection first.
};

/// One request that a target stand-in has begun to run.
struct RunRecord
{
    std::uint64_t sequence = 0; ///< Counts from 0 in each process.
    std::string requestId;
    std::string call; ///< The Chive-Call header.
    std::string kind;
    std::string method;
    std::string path;
    std::string key;
    std::string bodyDigest;
    std::uint64_t bodySize = 0;
    std::int64_t deadlineMs = -1; ///< Time left as the node said; negative when it said none.
    bool wasDraining = false;     ///< Begun after this target announced that it drains.
    WallTime started;
    WallTime finished;
    RunEnd end = RunEnd::Running;
    int status = 0;
};

/// All requests that a target began. Each event also goes to a file as one line of JSON, which
/// outlives a crash or kill of the process.
class Executions
{
public:
    Executions(const Clock &clock, const std::string &fileName);
    ~Executions();
    Executions(const Executions &) = delete;
    Executions &operator=(const Executions &) = delete;

    /// Notes the begin of a run and returns its sequence.
    std::uint64_t begin(RunRecord record);
    void finish(std::uint64_t sequence, RunEnd end, int status);

    [[nodiscard]] const std::vector<RunRecord> &records() const { return records_; }

private:
    void write(const RunRecord &record) const;

    const Clock &clock_;
    int file_ = -1;
    std::vector<RunRecord> records_;
};

[[nodiscard]] nlohmann::json toJson(const RunRecord &record);

/// Reads back what `toJson` wrote; missing members keep their defaults.
[[nodiscard]] RunRecord parseRunRecord(const nlohmann::json &json);

} // namespace chive
