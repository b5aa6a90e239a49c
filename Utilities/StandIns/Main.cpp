#include <LibKernel/EventLoop.h>
#include <StandIns/CuttingTarget.h>
#include <StandIns/LogStandIn.h>
#include <StandIns/TargetStandIn.h>

#include <docopt/docopt.h>
#include <glog/logging.h>

#include <csignal>
#include <map>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace chive;
using Arguments = std::map<std::string, docopt::value>;

constexpr const char *usage =
        R"(Stand-ins for the platform, for tests on one machine.

Usage:
  chiverouter-standins log --listen=IP:PORT [--retention-ms=N] [--appends-per-second=N]
  chiverouter-standins target --service=S --listen=IP:PORT --node=IP:PORT --slots=N
                              [--connections=N] [--service-time-ms=N] [--cold-ms=N] [--seed=N]
                              [--calls=LIST] [--executions=FILE]
                              [--announce=IP:PORT]
  chiverouter-standins cutting-target --service=S --listen=IP:PORT --node=IP:PORT --slots=N
                              [--connections=N] [--executions=FILE]
  chiverouter-standins --help

Options:
  --listen=IP:PORT         Where to listen.
  --retention-ms=N         How long records are kept; 0 for ever [default: 0].
  --appends-per-second=N   Limit of appends; 0 for none [default: 0].
  --service=S              The service that the target announces.
  --node=IP:PORT           The target_calls endpoint of the node beside the target.
  --slots=N                Requests that run at once; more are answered with 503.
  --connections=N          Connections that the target announces [default: 1000].
  --service-time-ms=N      Mean time of one run [default: 1].
  --cold-ms=N              Time after the start in which runs take longer [default: 0].
  --seed=N                 Seed of the service times [default: 1].
  --calls=LIST             Calls that each run makes in order: SERVICE/PATH,SERVICE/PATH
  --executions=FILE        Append each begin and end of a run to this file, as lines of JSON.
  --announce=IP:PORT       Where the node is to connect, if not where the target listens.
)";

Endpoint endpointOf(const Arguments &arguments, const char *name)
{
    auto endpoint = parseEndpoint(arguments.at(name).asString());
    LOG_IF(FATAL, !endpoint) << name << ": " << endpoint.error().message;
    return endpoint.value();
}

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

TargetStandIn::Options targetOptions(const Arguments &arguments)
{
    TargetStandIn::Options options;
    options.service = arguments.at("--service").asString();
    options.listen = endpointOf(arguments, "--listen");
    options.announced
            = arguments.at("--announce") ? endpointOf(arguments, "--announce") : options.listen;
    options.node = endpointOf(arguments, "--node");
    options.slots = arguments.at("--slots").asLong();
    options.connections = arguments.at("--connections").asLong();
    options.serviceTime = Milliseconds(arguments.at("--service-time-ms").asLong());
    options.coldTime = Milliseconds(arguments.at("--cold-ms").asLong());
    options.seed = arguments.at("--seed").asLong();
    options.calls = arguments.at("--calls") ? split(arguments.at("--calls").asString())
                                            : std::vector<std::string>();
    if (arguments.at("--executions"))
        options.executionsFile = arguments.at("--executions").asString();
    return options;
}

CuttingTarget::Options cuttingTargetOptions(const Arguments &arguments)
{
    CuttingTarget::Options options;
    options.service = arguments.at("--service").asString();
    options.listen = endpointOf(arguments, "--listen");
    options.node = endpointOf(arguments, "--node");
    options.slots = arguments.at("--slots").asLong();
    options.connections = arguments.at("--connections").asLong();
    if (arguments.at("--executions"))
        options.executionsFile = arguments.at("--executions").asString();
    return options;
}

int reportStart(const Result<void> &started)
{
    if (started)
        return 0;
    LOG(ERROR) << "error=" << started.error().message;
    return 1;
}

} // namespace

int main(int argc, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    const Arguments arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    EventLoop loop;
    const SystemClock clock;
    loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    if (arguments.at("log").asBool()) {
        LogStandIn log(loop, clock,
                       {Milliseconds(arguments.at("--retention-ms").asLong()),
                        static_cast<std::uint32_t>(arguments.at("--appends-per-second").asLong())});
        const int status = reportStart(log.listen(endpointOf(arguments, "--listen")));
        if (status == 0)
            loop.run();
        return status;
    }
    if (arguments.at("cutting-target").asBool()) {
        CuttingTarget target(loop, clock, cuttingTargetOptions(arguments));
        const int status = reportStart(target.start());
        if (status == 0)
            loop.run();
        return status;
    }
    TargetStandIn target(loop, clock, targetOptions(arguments));
    const int status = reportStart(target.start());
    if (status == 0)
        loop.run();
    return status;
}
