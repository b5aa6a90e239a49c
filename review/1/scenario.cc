#include "Case.hh"

#include <cstdio>
#include <cstdlib>

using namespace lab;

namespace {

constexpr std::int64_t silentMs = 4'500;     ///< The store is down for so long.
constexpr std::int64_t configApplyMs = 2'000;
constexpr std::int64_t watchedMs = 45'000;   ///< After the change.

void run(Backend &backend, const Request &request, Connection &connection)
{
    if (Backend::work(connection, 20))
        backend.succeed(request, connection, backend.options().service);
}

std::string configuration(int version, const std::string &service)
{
    std::string json = configJson(routeJson("unit-history", "/history/", service, "safe"),
                                  {"portal", "lookup", "archive"});
    return json.replace(json.find(":7"), 2, ":" + std::to_string(version));
}

int runCase(const std::string &program, const std::string &folder)
{
    Deployment deployment(program, folder);
    Machine &entry = deployment.add("portal-1", "portal");
    for (const char *name : {"lookup-1", "lookup-2"})
        deployment.add(name, "lookup");
    for (const char *name : {"archive-1", "archive-2"})
        deployment.add(name, "archive");
    deployment.configure(configuration(7, "lookup"));
    for (const auto &machine : deployment.machines) {
        deployment.startNode(*machine);
        deployment.startBackend(*machine);
    }
    if (!deployment.waitUntilReady(20'000))
        return notRun;

    if (hasTrouble())
        deployment.store().putThenBeSilent("keyed.op", "config", configuration(8, "archive"),
                                           silentMs);
    else
        deployment.configure(configuration(8, "archive"));
    const std::int64_t acknowledgedAt = nowMs();
    deployment.record("the store acknowledges version 8: /history/ moves from lookup to archive");
    const std::int64_t outage = hasTrouble() ? silentMs + contactMs : 0;
    // The store is back and has been stable for contactS; besides, all of configApplyS once more.
    const std::int64_t boundAt = acknowledgedAt + outage + configApplyMs;

    int late = 0;
    int lateByOld = 0;
    std::int64_t lastByOld = 0;
    for (int i = 0; nowMs() < acknowledgedAt + watchedMs; ++i) {
        const std::string id = "request-" + std::to_string(i);
        const std::int64_t sentAt = nowMs();
        const Response answer
                = call(entry.outbound(), clientRequest("GET", "/history/" + id, id), 6'000);
        const bool isOld = answer.status == 200 && answer.body == "lookup";
        if (i % 10 == 0 || answer.status != 200)
            deployment.record(id + " is answered " + std::to_string(answer.status) + " by "
                              + answer.body);
        if (isOld)
            lastByOld = sentAt - acknowledgedAt;
        if (sentAt > boundAt) {
            ++late;
            lateByOld += isOld ? 1 : 0;
        }
        sleepMs(100);
    }
    deployment.record("sent after the bound (" + std::to_string(boundAt - acknowledgedAt)
                      + " ms after the acknowledgement): " + std::to_string(late) + ", run by the old service: "
                      + std::to_string(lateByOld) + "; the last run by it was sent "
                      + std::to_string(lastByOld) + " ms after the acknowledgement");
    return lateByOld > 0 ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "backend")
        Backend(backendOptions(argc, argv), run).serveForever();
    if (argc < 3)
        return notRun;
    const int result = runCase(argv[0], argv[2]);
    std::printf("%s\n", result == held ? "held" : result == broken ? "broken" : "not run");
    return result;
}
