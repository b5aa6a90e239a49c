#pragma once

#include <LibCore/Result.h>

#include <string>
#include <sys/types.h>
#include <vector>

namespace chive::load {

/// A child process, ended when this object goes. Its output goes to a file.
class ChildProcess
{
public:
    [[nodiscard]] static Result<ChildProcess> start(const std::vector<std::string> &command,
                                                    const std::string &outputFile);

    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) = delete;
    ~ChildProcess();

    /// Waits for the end and returns the exit code, or -1 after a signal.
    int wait();

private:
    explicit ChildProcess(pid_t pid)
        : pid_(pid)
    {}

    pid_t pid_ = 0;
};

} // namespace chive::load
