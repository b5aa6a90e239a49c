#include <LibMembership/SimulatedMesh.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <string>

namespace {

using namespace chive;

constexpr Milliseconds limit{300'000};
constexpr Milliseconds steadyTime{30'000};
constexpr double bytesPerKilobyte = 1'000.0;
constexpr std::size_t regions = 3;
constexpr std::size_t dataCentres = 9;

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double residentKilobytes()
{
    constexpr double pageSize = 4'096.0;
    std::ifstream statm("/proc/self/statm");
    double total = 0.0;
    double resident = 0.0;
    statm >> total >> resident;
    return resident * pageSize / bytesPerKilobyte;
}

/// What one phase of a run cost one node on average.
struct Phase
{
    Milliseconds length{0};
    double processorShare = 0.0; ///< Percent of a core, without sockets.
    double kilobytesPerSecond = 0.0;
    double messagesPerSecond = 0.0;
};

template<typename Act>
Phase measure(SimulatedMesh &mesh, Act act)
{
    const double processor = processorSeconds();
    const SimulatedMesh::Traffic before = mesh.traffic();
    Phase phase;
    phase.length = act();
    const double seconds
            = static_cast<double>(std::max<std::int64_t>(phase.length.count(), 1)) / 1'000.0;
    const double nodeSeconds = seconds * static_cast<double>(mesh.size());
    phase.processorShare = 100.0 * (processorSeconds() - processor) / nodeSeconds;
    phase.kilobytesPerSecond = static_cast<double>(mesh.traffic().bytes - before.bytes)
                               / bytesPerKilobyte / nodeSeconds;
    phase.messagesPerSecond
            = static_cast<double>(mesh.traffic().messages - before.messages) / nodeSeconds;
    return phase;
}

void print(const char *name, const Phase &phase)
{
    std::printf("  %-34s %7.1f s  cpu %6.3f %%  sent %7.2f KB/s  %6.1f messages/s\n", name,
                static_cast<double>(phase.length.count()) / 1'000.0, phase.processorShare,
                phase.kilobytesPerSecond, phase.messagesPerSecond);
    std::fflush(stdout);
}

void measureMesh(std::size_t count)
{
    std::printf("members %zu\n", count);
    const double before = residentKilobytes();
    SimulatedMesh mesh(1);
    const auto isConverged = [&] { return mesh.isConverged(); };
    const auto steady = [&] {
        mesh.run(steadyTime);
        return steadyTime;
    };
    print("all start at once, until all agree", measure(mesh, [&] {
              mesh.startMany(count);
              return mesh.runUntil(isConverged, limit);
          }));
    mesh.run(steadyTime);
    print("steady", measure(mesh, steady));
    const double perNode = (residentKilobytes() - before) / static_cast<double>(count);
    std::printf("  memory of one table %.0f KB\n", perNode);

    print("one leaves, until all know", measure(mesh, [&] {
              mesh.leave(1);
              return mesh.runUntil([&] { return mesh.everyoneHolds(1, MemberState::Leaving); },
                                   limit);
          }));
    print("one is killed, until all avoid it", measure(mesh, [&] {
              mesh.kill(2);
              return mesh.runUntil([&] { return mesh.everyoneHolds(2, MemberState::Suspect); },
                                   limit);
          }));
    mesh.kill(1);
    mesh.start(1, {3});
    mesh.start(2, {3});
    mesh.runUntil(isConverged, limit);

    print("a region is cut off, until both agree", measure(mesh, [&] {
              const auto isInside = [](std::size_t number) { return number % regions == 0; };
              const auto isOutside = [](std::size_t number) { return number % regions != 0; };
              mesh.cut(isInside);
              return mesh.runUntil(
                      [&] { return mesh.isConverged(isInside) && mesh.isConverged(isOutside); },
                      limit);
          }));
    print("cut off, steady", measure(mesh, steady));
    print("the cut heals, until all agree", measure(mesh, [&] {
              mesh.heal();
              return mesh.runUntil(isConverged, limit);
          }));
    print("a data centre is lost, until all agree", measure(mesh, [&] {
              for (std::size_t number = 0; number < count; number += dataCentres)
                  mesh.kill(number);
              return mesh.runUntil(isConverged, limit);
          }));
}

} // namespace

/// Sizes of the mesh to measure, as arguments.
int main(int argc, char **argv)
{
    for (int argument = 1; argument < argc; ++argument)
        measureMesh(std::strtoul(argv[argument], nullptr, 10));
    return 0;
}
