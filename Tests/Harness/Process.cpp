#include <Harness/Process.h>

#include <cerrno>
#include <csignal>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace chive {

namespace {

constexpr Milliseconds pollInterval{5};
constexpr int logFileMode = 0644;

} // namespace

Process::Process(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &logFile)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, logFileMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::vector<char *> argv{const_cast<char *>(program.c_str())};
    for (const std::string &argument : arguments)
        argv.push_back(const_cast<char *>(argument.c_str()));
    argv.push_back(nullptr);
    const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    REQUIRE_MESSAGE(error == 0, "cannot start ", program);
}

Process::~Process()
{
    kill();
}

Process::Process(Process &&other) noexcept
    : pid_(std::exchange(other.pid_, 0))
    , status_(std::exchange(other.status_, std::nullopt))
    , end_(std::exchange(other.end_, {}))
{}

Process &Process::operator=(Process &&other) noexcept
{
    if (this != &other) {
        kill();
        pid_ = std::exchange(other.pid_, 0);
        status_ = std::exchange(other.status_, std::nullopt);
        end_ = std::exchange(other.end_, {});
    }
    return *this;
}

bool Process::isRunning()
{
    reap(WNOHANG);
    return pid_ != 0 && !status_;
}

std::size_t Process::peakMemory() const
{
    constexpr std::size_t bytesPerKilobyte = 1'024;
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string name; status >> name;) {
        std::size_t kilobytes = 0;
        if (name == "VmHWM:" && status >> kilobytes)
            return kilobytes * bytesPerKilobyte;
    }
    return 0;
}

void Process::kill()
{
    if (!isRunning())
        return;
    ::kill(pid_, SIGKILL);
    reap(0);
}

void Process::terminate() const
{
    if (pid_ != 0 && !status_)
        ::kill(pid_, SIGTERM);
}

void Process::freeze() const
{
    if (pid_ != 0 && !status_)
        ::kill(pid_, SIGSTOP);
}

void Process::thaw() const
{
    if (pid_ != 0 && !status_)
        ::kill(pid_, SIGCONT);
}

std::optional<int> Process::waitForEnd(Milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (isRunning() && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(pollInterval);
    return status_;
}

void Process::watchEnd()
{
    end_ = std::async(std::launch::async, [pid = pid_] {
               siginfo_t info{};
               while (waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOWAIT) != 0
                      && errno == EINTR) {
               }
               return SystemClock().now();
           }).share();
}

std::optional<TimePoint> Process::endedAt()
{
    if (!end_.valid() || isRunning())
        return std::nullopt;
    return end_.get();
}

void Process::reap(int options)
{
    if (pid_ == 0 || status_)
        return;
    int status = 0;
    if (waitpid(pid_, &status, options) != pid_)
        return;
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace chive
