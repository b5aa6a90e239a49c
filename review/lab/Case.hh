#pragma once

#include "Lab.hh"

#include <algorithm>
#include <string>

namespace lab {

constexpr std::int64_t contactMs = 3'000;
constexpr std::size_t mostRetries = 3; ///< BUDGET: more than three retries break the rule.

inline std::string routeJson(const std::string &name, const std::string &prefix,
                             const std::string &service, const std::string &kind)
{
    return R"({"name":")" + name + R"(","pathPrefix":")" + prefix + R"(","service":")" + service
           + R"(","kind":")" + kind
           + R"(","timeoutS":5,"targetLatencyS":1.5,"maxAttempts":2,"priority":1})";
}

inline std::string configJson(const std::string &routes, const std::vector<std::string> &services)
{
    std::string list;
    for (const std::string &service : services)
        list += (list.empty() ? "" : ",") + (R"({"name":")" + service)
                + R"(","healthPath":"/health","maxConns":1000})";
    return R"({"version":7,"virtualHosts":[{"host":"ledger.example","routePaths":[)" + routes
           + R"(]}],"services":[)" + list
           + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":8388608,)"
             R"("headerTimeoutS":5,"idleTimeoutS":10}})";
}

inline Request clientRequest(const std::string &method, const std::string &target,
                             const std::string &id, const std::string &body = "")
{
    return {method,
            target,
            {{"Host", "ledger.example"},
             {"X-Chiverouter-Attempt-Id", id},
             {"X-Chiverouter-Deadline-Ms", "5000"}},
            body};
}

/// Judges by the runs that the backends have noted: `crashing` tells which of them crashed one.
template<typename IsCrashing>
int judgeCrashes(Deployment &deployment, IsCrashing crashing)
{
    std::vector<std::int64_t> arrivals;
    for (const Run &run : deployment.runs()) {
        if (run.event != "begin" || !crashing(run))
            continue;
        arrivals.push_back(run.at);
        deployment.record("the crashing request " + run.id + " begins at " + run.instance + " at "
                          + std::to_string(run.at) + " ms");
    }
    std::size_t retries = 0;
    if (arrivals.size() >= 3)
        retries = static_cast<std::size_t>(std::ranges::count_if(
                arrivals, [&](std::int64_t at) { return at > arrivals[2] + contactMs; }));
    deployment.record("it reached backends " + std::to_string(arrivals.size())
                      + " times, of these more than contactS after the third crash: "
                      + std::to_string(retries) + " (at most " + std::to_string(mostRetries) + ")");
    return retries > mostRetries ? broken : held;
}

} // namespace lab
