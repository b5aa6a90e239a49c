#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <future>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace chive {

/// A child process. It is killed when this object goes.
class Process
{
public:
    Process() = default;
    /// Output and errors are appended to `logFile`.
    Process(const std::string &program, const std::vector<std::string> &arguments,
            const std::string &logFile);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;

    [[nodiscard]] bool isRunning();

    /// The most resident memory that it has had, in bytes; 0 if it does not run.
    [[nodiscard]] std::size_t peakMemory() const;

    /// SIGKILL, and waits for the end.
    void kill();
    /// SIGTERM, without waiting.
    void terminate() const;
    /// SIGSTOP and SIGCONT.
    void freeze() const;
    void thaw() const;

    /// The exit status, or -signal; nothing when it still runs at the end of the wait.
    std::optional<int> waitForEnd(Milliseconds limit);

    /// From now on a thread of its own waits for the end, so that the time of the end does not
    /// depend on when the caller looks.
    void watchEnd();
    /// When the process ended; nothing while it runs or if nobody watches.
    [[nodiscard]] std::optional<TimePoint> endedAt();

private:
    void reap(int options);

    pid_t pid_ = 0;
    std::optional<int> status_;
    std::shared_future<TimePoint> end_;
};

} // namespace chive
