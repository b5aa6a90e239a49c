#pragma once

#include <LibCore/Clock.h>
#include <LibNode/MeshPressure.h>
#include <LibPolicy/RootAdmission.h>

#include <map>
#include <string>
#include <string_view>

/// How full the services of the mesh are, from what the nodes beside their targets report, and
/// which services the work of a service leads to.
namespace chive {

/// What the node beside a target tells all others about it.
struct PressureReport
{
    std::string service;
    /// Work that runs or waits as a share of what may run at once: 1 is full, above it work waits.
    double pressure = 0.0;
    /// Kinds of requests that entered at the node in the last seconds, with their service.
    std::map<std::string, std::string, std::less<>> enteredKinds;
    ServiceCapacity capacity = {}; ///< Of the one target.
};

/// The latest report of each node.
struct PressureTable
{
    struct Entry
    {
        PressureReport report;
        TimePoint receivedAt;
    };

    std::map<std::string, Entry, std::less<>> byNode; ///< By node id.
};

void noteReport(PressureTable &table, std::string_view nodeId, PressureReport report,
                TimePoint now);

/// What the recent reports say of each service. Kinds are taken for nested by where they enter:
/// callers sit on all VMs, so what they send enters beside targets of every service; what a target
/// sends enters only beside targets of its own service.
[[nodiscard]] MeshPressure summarize(const PressureTable &table, TimePoint now);

/// The room of each service, from the recent reports.
[[nodiscard]] std::map<std::string, ServiceCapacity, std::less<>>
capacitiesIn(const PressureTable &table, TimePoint now);

/// Drops the reports that are too old to matter.
void forgetOldReports(PressureTable &table, TimePoint now);

} // namespace chive
