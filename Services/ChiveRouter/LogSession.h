#pragma once

#include <LibKernel/EventLoop.h>
#include <LibLog/LogClient.h>
#include <LibNotes/NotesFold.h>

#include <string>

namespace chive {

/// The log service for a command: each call waits for its answer.
class LogSession
{
public:
    explicit LogSession(const Endpoint &log)
        : client_(loop_, log)
    {}

    /// Reads the stream of release notes from where the fold stands to its end.
    [[nodiscard]] Result<void> readNotes(NotesFold &fold);

    [[nodiscard]] AppendOutcome appendNote(const std::string &payload);

    void wait(Milliseconds duration);

private:
    [[nodiscard]] Result<LogPage> read(std::uint64_t from);

    EventLoop loop_;
    LogClient client_;
};

} // namespace chive
