#include <StandIns/Executions.h>

#include <fcntl.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <utility>

namespace chive {

namespace {

std::int64_t toMilliseconds(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime fromMilliseconds(std::int64_t count)
{
    return WallTime(Milliseconds(count));
}

} // namespace

Executions::Executions(const Clock &clock, const std::string &fileName)
    : clock_(clock)
{
    if (fileName.empty())
        return;
    file_ = open(fileName.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    PCHECK(file_ >= 0) << "cannot open " << fileName;
}

Executions::~Executions()
{
    if (file_ >= 0)
        close(file_);
}

std::uint64_t Executions::begin(RunRecord record)
{
    record.sequence = records_.size();
    record.started = clock_.wallNow();
    records_.push_back(std::move(record));
    write(records_.back());
    return records_.back().sequence;
}

void Executions::finish(std::uint64_t sequence, RunEnd end, int status)
{
    RunRecord &record = records_.at(sequence);
    record.finished = clock_.wallNow();
    record.end = end;
    record.status = status;
    write(record);
}

void Executions::write(const RunRecord &record) const
{
    if (file_ < 0)
        return;
    const std::string line = toJson(record).dump() + "\n";
    PCHECK(::write(file_, line.data(), line.size()) == static_cast<ssize_t>(line.size()));
}

nlohmann::json toJson(const RunRecord &record)
{
    return {{"sequence", record.sequence},
            {"request_id", record.requestId},
            {"call", record.call},
            {"kind", record.kind},
            {"method", record.method},
            {"path", record.path},
            {"key", record.key},
            {"body_digest", record.bodyDigest},
            {"body_size", record.bodySize},
            {"deadline_ms", record.deadlineMs},
            {"was_draining", record.wasDraining},
            {"started_ms", toMilliseconds(record.started)},
            {"finished_ms", toMilliseconds(record.finished)},
            {"end", static_cast<int>(record.end)},
            {"status", record.status}};
}

RunRecord parseRunRecord(const nlohmann::json &json)
{
    RunRecord record;
    record.sequence = json.value("sequence", std::uint64_t{0});
    record.requestId = json.value("request_id", "");
    record.call = json.value("call", "");
    record.kind = json.value("kind", "");
    record.method = json.value("method", "");
    record.path = json.value("path", "");
    record.key = json.value("key", "");
    record.bodyDigest = json.value("body_digest", "");
    record.bodySize = json.value("body_size", std::uint64_t{0});
    record.deadlineMs = json.value("deadline_ms", std::int64_t{-1});
    record.wasDraining = json.value("was_draining", false);
    record.started = fromMilliseconds(json.value("started_ms", std::int64_t{0}));
    record.finished = fromMilliseconds(json.value("finished_ms", std::int64_t{0}));
    record.end = static_cast<RunEnd>(json.value("end", 0));
    record.status = json.value("status", 0);
    return record;
}

} // namespace chive
