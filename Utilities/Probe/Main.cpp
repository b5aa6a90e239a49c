#include <LibCore/Clock.h>
#include <LibHttp/HttpClient.h>
#include <LibKernel/EventLoop.h>

#include <docopt/docopt.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace chive;

constexpr const char *usage =
        R"(Measures the latency that the way through the nodes adds to a call.

Calls go in turn straight to the target and through a node, one at a time, so that both see the
same machine.

Usage:
  chiverouter-probe --direct=IP:PORT --through=IP:PORT --service=S [--path=P] [--calls=N]
                    [--warm-up=N] [--pause-ms=N]
  chiverouter-probe --help

Options:
  --direct=IP:PORT   The target itself.
  --through=IP:PORT  The callers endpoint of a node; one without that target adds a link.
  --service=S        The service of the target.
  --path=P           The path below the service [default: /read/probe].
  --calls=N          Calls each way [default: 2000].
  --warm-up=N        Calls each way before, which do not count [default: 200].
  --pause-ms=N       Pause between two calls [default: 1].
)";

constexpr std::size_t maximumBodySize = 16 * 1024 * 1024;
constexpr Milliseconds callTimeout{10'000};

struct Way
{
    std::string name;
    HttpClient client;
    std::string target;
    std::vector<double> latencies;               ///< In milliseconds.
    std::map<std::string, std::size_t> failures; ///< By what the response or its lack says.
};

/// Empty for a served call.
std::string failureOf(const HttpClient::Outcome &outcome)
{
    if (!outcome.has_value())
        return outcome.error().message;
    if (outcome.value().status == 200)
        return {};
    return std::to_string(outcome.value().status) + " "
           + std::string(findHeader(outcome.value().headers, "Chive-Reason"));
}

void callOnce(EventLoop &loop, Way &way)
{
    const SystemClock clock;
    const TimePoint begin = clock.now();
    std::optional<std::string> failure;
    way.client.send({"GET", way.target, {}, nullptr}, callTimeout,
                    [&](const HttpClient::Outcome &outcome) {
                        failure = failureOf(outcome);
                        loop.stop();
                    });
    while (!failure)
        loop.run();
    const std::chrono::duration<double, std::milli> took = clock.now() - begin;
    if (failure->empty())
        way.latencies.push_back(took.count());
    else
        ++way.failures[*failure];
}

void pauseFor(EventLoop &loop, Milliseconds pause)
{
    bool isOver = false;
    const Timer timer = loop.after(pause, [&] {
        isOver = true;
        loop.stop();
    });
    while (!isOver)
        loop.run();
}

/// The value that this share of the sorted values does not exceed, by nearest rank.
double quantile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(rank, sorted.size() - 1)];
}

nlohmann::json report(Way &way)
{
    std::sort(way.latencies.begin(), way.latencies.end());
    const nlohmann::json result = {{"calls", way.latencies.size()},
                                   {"failures", way.failures},
                                   {"p50_ms", quantile(way.latencies, 0.50)},
                                   {"p90_ms", quantile(way.latencies, 0.90)},
                                   {"p99_ms", quantile(way.latencies, 0.99)}};
    std::size_t failures = 0;
    for (const auto &[reason, count] : way.failures)
        failures += count;
    std::printf("%-8s %8zu %8zu %9.3f %9.3f %9.3f\n", way.name.c_str(), way.latencies.size(),
                failures, result["p50_ms"].get<double>(), result["p90_ms"].get<double>(),
                result["p99_ms"].get<double>());
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto endpointOf = [&](const char *name) {
        const auto endpoint = parseEndpoint(arguments.at(name).asString());
        LOG_IF(FATAL, !endpoint) << name << ": " << endpoint.error().message;
        return endpoint.value();
    };
    const std::string path = arguments["--path"].asString();
    const long calls = arguments["--calls"].asLong();
    const long warmUp = arguments["--warm-up"].asLong();
    const Milliseconds pause(arguments["--pause-ms"].asLong());

    EventLoop loop;
    Way direct{"direct", {loop, endpointOf("--direct"), maximumBodySize}, path, {}, {}};
    Way through{"through",
                {loop, endpointOf("--through"), maximumBodySize},
                "/" + arguments["--service"].asString() + path,
                {},
                {}};
    for (long i = 0; i < warmUp + calls; ++i) {
        if (i == warmUp) {
            direct.latencies.clear();
            through.latencies.clear();
            direct.failures.clear();
            through.failures.clear();
        }
        for (Way *way : {&direct, &through}) {
            callOnce(loop, *way);
            pauseFor(loop, pause);
        }
    }
    std::printf("%-8s %8s %8s %9s %9s %9s\n", "way", "calls", "failures", "p50 ms", "p90 ms",
                "p99 ms");
    nlohmann::json result = {{"direct", report(direct)}, {"through", report(through)}};
    for (const char *name : {"p50_ms", "p90_ms", "p99_ms"})
        result["added"][name]
                = result["through"][name].get<double>() - result["direct"][name].get<double>();
    std::cout << result.dump() << '\n';
    return direct.failures.empty() && through.failures.empty() ? 0 : 1;
}
