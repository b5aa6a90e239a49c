#include <ChiveRouter/Command.h>

#include <docopt/docopt.h>
#include <glog/logging.h>

#include <iostream>
#include <vector>

namespace {

using namespace chive;

std::string usage()
{
    std::string text = "chiverouter: overload control for service call graphs.\n\n"
                       "Usage:\n"
                       "  chiverouter <command> [<arguments>...]\n"
                       "  chiverouter (-h | --help)\n"
                       "  chiverouter --version\n\n"
                       "Commands (chiverouter <command> --help tells more):\n";
    for (const CommandPlugin &command : Registry<CommandPlugin>::all()) {
        std::string name(command.name);
        name.resize(10, ' ');
        text += "  " + name + std::string(command.summary) + "\n";
    }
    text += "\nExit codes: 0 done, 1 failed, 2 invalid input, 3 note rejected, 4 unknown whether "
            "the note was appended, 5 log or node unavailable.\n";
    return text;
}

int exitWith(ExitCode code)
{
    return static_cast<int>(code);
}

int runCommand(const std::vector<std::string> &arguments)
{
    const CommandPlugin *command = Registry<CommandPlugin>::find(arguments.front());
    if (command == nullptr) {
        std::cerr << "unknown command " << arguments.front() << "\n\n" << usage();
        return exitWith(ExitCode::InvalidInput);
    }
    return exitWith(command->run(*command, arguments));
}

} // namespace

int main(int argc, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    try {
        docopt::docopt_parse(usage(), arguments, true, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage();
        return exitWith(ExitCode::Ok);
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "chiverouter " << CHIVE_VERSION << '\n';
        return exitWith(ExitCode::Ok);
    } catch (const docopt::DocoptArgumentError &error) {
        std::cerr << error.what() << '\n' << usage();
        return exitWith(ExitCode::InvalidInput);
    }
    return runCommand(arguments);
}
