#include <ChiveRouter/Usage.h>
#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>

#include <glog/logging.h>

#include <csignal>
#include <fcntl.h>
#include <iostream>
#include <optional>
#include <unistd.h>

namespace chive {

namespace {

/// Turns the first SIGTERM or SIGINT into a graceful shutdown and the second into an immediate one.
class Shutdown
{
public:
    explicit Shutdown(Kernel &kernel)
        : kernel_(kernel)
    {
        kernel.loop().onSignal(SIGTERM, [this] { handleSignal(); });
        kernel.loop().onSignal(SIGINT, [this] { handleSignal(); });
        kernel.bus().subscribe<Drained>([this](const Drained &) {
            // A request may have come since the message was posted.
            if (!hasBegun_ || kernel_.inFlight() != 0)
                return;
            LOG(INFO) << "event=drained";
            kernel_.loop().stop();
        });
    }

    [[nodiscard]] ExitCode exitCode() const { return exitCode_; }

private:
    void handleSignal()
    {
        if (hasBegun_) {
            abandon("second signal");
            return;
        }
        hasBegun_ = true;
        // The grace time also counts while the process does not run.
        const Milliseconds age = kernel_.loop().pause();
        const TimePoint now = kernel_.clock().now();
        LOG(INFO) << "event=stop-requested age_ms=" << age.count();
        const DrainSchedule schedule = drainScheduleOf(kernel_.settings(), now - age, now);
        kernel_.bus().post(StopRequested{schedule});
        limit_ = kernel_.loop().after(std::chrono::ceil<Milliseconds>(schedule.endsAt - now),
                                      [this] { abandon("drain timeout"); });
    }

    void abandon(std::string_view cause)
    {
        LOG(WARNING) << "event=stopped-before-drained cause=\"" << cause << "\" "
                     << kernel_.describeInFlight();
        exitCode_ = ExitCode::Failed;
        kernel_.loop().stop();
    }

    Kernel &kernel_;
    Timer limit_;
    bool hasBegun_ = false;
    ExitCode exitCode_ = ExitCode::Ok;
};

/// The settings name this node's own endpoints and cannot change under a running process; what has
/// changed is in force from the next start on.
void checkAgain(const std::string &path)
{
    const bool isValid = readSettings(path).has_value();
    LOG(INFO) << "event=settings-signal valid=" << isValid;
}

/// Lines that find no room are lost: whoever reads them must not be able to stop the process.
void writeErrorsWithoutBlocking()
{
    const int flags = fcntl(STDERR_FILENO, F_GETFL);
    if (flags != -1)
        fcntl(STDERR_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/// Whether the option is valid. It takes precedence over the settings file.
bool applyMemoryOption(const ParsedArguments &arguments, Settings &settings)
{
    const auto option = arguments.find("--memory-mb");
    if (option == arguments.end() || !option->second.isString())
        return true;
    const std::optional<std::size_t> memory = memoryFromMegabytes(option->second.asString());
    if (!memory) {
        std::cerr << "--memory-mb: expected a whole number of 16 to 1048576 MB\n";
        return false;
    }
    settings.memory = *memory;
    return true;
}

ExitCode runNode(ParsedArguments &arguments)
{
    std::optional<Settings> settings = readSettings(arguments["--settings"].asString());
    if (!settings || !applyMemoryOption(arguments, *settings))
        return ExitCode::InvalidInput;
    if (!settings->logDirectory.empty()) {
        FLAGS_logtostderr = false;
        FLAGS_log_dir = settings->logDirectory;
    }
    // A peer that closes its connection must not end this process.
    std::signal(SIGPIPE, SIG_IGN);
    writeErrorsWithoutBlocking();
    const SystemClock clock;
    Kernel kernel(*settings, clock);
    const Shutdown shutdown(kernel);
    const std::string path = arguments["--settings"].asString();
    kernel.loop().onSignal(SIGHUP, [&path] { checkAgain(path); });
    LOG(INFO) << "event=start node=" << settings->nodeId << " data_centre=" << settings->dataCentre
              << " memory=" << settings->memory;
    kernel.run();
    return shutdown.exitCode();
}

const Registration<CommandPlugin> registration{CommandPlugin{
        "node",
        "runs the node beside a target",
        "Runs the node beside a target until SIGTERM, then finishes what is in flight.\n\n"
        "Usage:\n"
        "  chiverouter node --settings=FILE [--memory-mb=MB]\n"
        "  chiverouter node (-h | --help)\n\n"
        "Options:\n"
        "  --settings=FILE  The settings of the node (TOML).\n"
        "  --memory-mb=MB   The memory of this process, in place of limits.memory_mb.\n",
        [](const CommandPlugin &command, std::span<const std::string> arguments) {
            return withArguments(command, arguments, runNode);
        },
}};

} // namespace

} // namespace chive
