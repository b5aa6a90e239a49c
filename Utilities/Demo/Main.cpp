#include <Demo/Demo.h>

#include <docopt/docopt.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace {

using namespace chive;

constexpr const char *usage =
        R"(Drives the demonstration of Meta/demo.sh and prints its report.

Usage:
  chiverouter-demo --callers=LIST --targets=LIST --executions=LIST [--seed=N]
  chiverouter-demo --help

Options:
  --callers=LIST     The nodes' callers endpoints, with commas between.
  --targets=LIST     Targets of the service to overload; the last one is killed.
  --executions=LIST  Files in which the targets noted what they ran.
  --seed=N           Seed of the choice of nodes [default: 1].
)";

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

std::vector<Endpoint> endpoints(const std::string &text)
{
    std::vector<Endpoint> endpoints;
    for (const std::string &part : split(text)) {
        const Result<Endpoint> endpoint = parseEndpoint(part);
        LOG_IF(FATAL, !endpoint) << "error=\"" << endpoint.error().message << '"';
        endpoints.push_back(endpoint.value());
    }
    return endpoints;
}

/// The last line about each run; a target writes one at its begin and one at its end.
std::vector<RunRecord> readRuns(const std::vector<std::string> &files)
{
    std::vector<RunRecord> runs;
    for (const std::string &file : files) {
        std::map<std::uint64_t, RunRecord> bySequence;
        std::ifstream stream(file);
        for (std::string line; std::getline(stream, line);) {
            const auto json = nlohmann::json::parse(line, nullptr, false);
            if (!json.is_object())
                continue;
            RunRecord run = parseRunRecord(json);
            const std::uint64_t sequence = run.sequence;
            bySequence[sequence] = std::move(run);
        }
        for (auto &[sequence, run] : bySequence)
            runs.push_back(std::move(run));
    }
    return runs;
}

void printRecovery(const DemoReport &report, std::string_view event, std::size_t second)
{
    const int recovery = report.recoverySeconds(second);
    std::cout << "Recovery after " << event << " (at " << second << " s): ";
    if (recovery < 0)
        std::cout << "not within the run\n";
    else
        std::cout << recovery << " s\n";
}

} // namespace

int main(int argc, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    EventLoop loop;
    const SystemClock clock;
    Demo demo(loop, clock, endpoints(arguments.at("--callers").asString()),
              endpoints(arguments.at("--targets").asString()),
              static_cast<std::uint64_t>(arguments.at("--seed").asLong()));
    demo.run();
    demo.report().judge(readRuns(split(arguments.at("--executions").asString())));
    demo.report().print(std::cout);
    printRecovery(demo.report(), "the overload", demo.times().overloadEnds);
    printRecovery(demo.report(), "the death of a target", demo.times().targetDies);
    return demo.report().isTruthful() ? 0 : 1;
}
