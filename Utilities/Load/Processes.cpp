#include <Load/Processes.h>

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace chive::load {

Result<ChildProcess> ChildProcess::start(const std::vector<std::string> &command,
                                         const std::string &outputFile)
{
    std::vector<std::string> words = command;
    std::vector<char *> arguments;
    for (std::string &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = 0;
    const int error = posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        return Error{Error::Kind::Unavailable, command[0] + ": " + std::strerror(error)};
    return ChildProcess(pid);
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : pid_(std::exchange(other.pid_, 0))
{}

int ChildProcess::wait()
{
    int status = 0;
    waitpid(std::exchange(pid_, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

ChildProcess::~ChildProcess()
{
    if (pid_ == 0)
        return;
    // The run is over, so there is no work in flight that deserves a graceful shutdown.
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
}

} // namespace chive::load
