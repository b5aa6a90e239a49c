#include <LibKernel/EventLoop.h>
#include <Load/Deployment.h>
#include <Load/Replay.h>
#include <Load/Report.h>
#include <Load/Scenario.h>
#include <Load/Trace.h>

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace {

using namespace chive;
using namespace chive::load;
using Arguments = std::map<std::string, docopt::value>;

constexpr const char *usage = R"(Replays traces of calls against real nodes and judges the outcome.

Usage:
  chiverouter-load generate SCENARIO [--seed=N]
  chiverouter-load scenarios
  chiverouter-load run TRACE --programs=DIR --work=DIR [--first-port=N] [--json=FILE]
                       [--only=DEPLOYMENT] [--choice=NAME] [--admission=NAME]
  chiverouter-load targets --trace=FILE --first-port=N --attempts=N
  chiverouter-load --help

Commands:
  generate   Write a trace of the scenario to standard output.
  scenarios  List the scenarios.
  run        Run the trace against both deployments in turn. Exit code 1 when an outcome is missed.
  targets    Used by run: the targets of a trace.

Options:
  --seed=N           Seed of the trace [default: 1].
  --programs=DIR     The build folder.
  --work=DIR         Folder for settings and the output of the processes.
  --first-port=N     The first of the ports to use [default: 25000].
  --json=FILE        Write the report as JSON too.
  --only=DEPLOYMENT  Run only "policy" or "baseline".
  --choice=NAME      Plug-in of the "policy" deployment [default: two-choices].
  --admission=NAME   Plug-in of the "policy" deployment [default: adaptive].
  --trace=FILE       The trace.
  --attempts=N       How often targets try each nested call.
)";

int fail(const std::string &message)
{
    std::cerr << message << '\n';
    return 2;
}

Result<Trace> readTrace(const std::string &file)
{
    std::ifstream stream(file);
    std::stringstream text;
    text << stream.rdbuf();
    return parseTrace(text.str());
}

int generate(const Arguments &arguments)
{
    const std::string name = arguments.at("SCENARIO").asString();
    const auto scenario = std::ranges::find(scenarios(), name, &Scenario::name);
    if (scenario == scenarios().end())
        return fail("no such scenario: " + name);
    std::cout << format(scenario->build(arguments.at("--seed").asLong()));
    return 0;
}

int listScenarios()
{
    for (const Scenario &scenario : scenarios())
        std::cout << scenario.name << ": " << scenario.summary << '\n';
    return 0;
}

Result<DeploymentRun> runOne(const Trace &trace, const DeploymentOptions &options,
                             const DeploymentPlace &place)
{
    EventLoop loop;
    CHIVE_TRY(deployment, Deployment::start(loop, trace, options, place));
    CHIVE_TRY(deployment.beginReplay(loop));
    DeploymentRun run{options.name, Replay(loop, trace, deployment.entries()).run(), {}};
    CHIVE_TRY(totals, deployment.totals(loop));
    run.totals = std::move(totals);
    return run;
}

std::vector<DeploymentOptions> chosenDeployments(const Arguments &arguments)
{
    DeploymentOptions policy = policyDeployment();
    policy.choice = arguments.at("--choice").asString();
    policy.admission = arguments.at("--admission").asString();
    std::vector<DeploymentOptions> deployments{policy, baselineDeployment()};
    if (arguments.at("--only")) {
        const std::string only = arguments.at("--only").asString();
        std::erase_if(deployments, [&](const auto &options) { return options.name != only; });
    }
    return deployments;
}

int run(const Arguments &arguments)
{
    const Result<Trace> trace = readTrace(arguments.at("TRACE").asString());
    if (!trace)
        return fail(trace.error().message);
    DeploymentPlace place{arguments.at("--programs").asString(), arguments.at("--work").asString(),
                          static_cast<std::uint16_t>(arguments.at("--first-port").asLong())};
    const std::filesystem::path directory = place.directory;
    std::vector<DeploymentRun> runs;
    for (const DeploymentOptions &options : chosenDeployments(arguments)) {
        place.directory = directory / options.name;
        Result<DeploymentRun> done = runOne(trace.value(), options, place);
        if (!done)
            return fail(options.name + ": " + done.error().message);
        runs.push_back(std::move(done.value()));
    }
    std::cout << tableOf(trace.value(), runs);
    if (arguments.at("--json"))
        std::ofstream(arguments.at("--json").asString()) << toJson(trace.value(), runs).dump(2);
    const auto judgements = judge(trace.value(), runs);
    return std::ranges::all_of(judgements, &Judgement::isMet) ? 0 : 1;
}

int serveTargets(const Arguments &arguments)
{
    const Result<Trace> trace = readTrace(arguments.at("--trace").asString());
    if (!trace)
        return fail(trace.error().message);
    const Result<void> served = runPlacedTargets(
            trace.value(), static_cast<std::uint16_t>(arguments.at("--first-port").asLong()),
            static_cast<std::uint32_t>(arguments.at("--attempts").asLong()));
    return served ? 0 : fail(served.error().message);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const Arguments arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    if (arguments.at("generate").asBool())
        return generate(arguments);
    if (arguments.at("scenarios").asBool())
        return listScenarios();
    if (arguments.at("targets").asBool())
        return serveTargets(arguments);
    return run(arguments);
}
