#include <FaultProxy/FaultProxy.h>
#include <LibKernel/EventLoop.h>

#include <docopt/docopt.h>
#include <glog/logging.h>

#include <csignal>
#include <map>
#include <string>

namespace {

constexpr const char *usage =
        R"(A TCP proxy that injects faults, for tests on one machine.

Usage:
  chiverouter-fault-proxy --listen=IP:PORT --to=IP:PORT --control=IP:PORT [--seed=N]
  chiverouter-fault-proxy --help

Options:
  --listen=IP:PORT   Where clients connect.
  --to=IP:PORT       The server behind.
  --control=IP:PORT  Where POST /control sets the faults.
  --seed=N           Seed of jitter and loss [default: 1].
)";

} // namespace

int main(int argc, char **argv)
{
    using namespace chive;
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto endpointOf = [&](const char *name) {
        const auto endpoint = parseEndpoint(arguments.at(name).asString());
        LOG_IF(FATAL, !endpoint) << name << ": " << endpoint.error().message;
        return endpoint.value();
    };
    EventLoop loop;
    const SystemClock clock;
    loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    FaultProxy proxy(loop, clock,
                     {endpointOf("--listen"), endpointOf("--to"), endpointOf("--control"),
                      static_cast<std::uint64_t>(arguments.at("--seed").asLong())});
    if (const auto started = proxy.start(); !started) {
        LOG(ERROR) << "error=" << started.error().message;
        return 1;
    }
    loop.run();
    return 0;
}
