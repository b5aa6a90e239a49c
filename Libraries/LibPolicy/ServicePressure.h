#pragma once

#include <LibCore/Clock.h>
#include <LibNode/MeshPressure.h>
#include <LibPolicy/RootAdmission.h>

#include <map>
#include <string>
#include <string_view>

/// The utilisation of the services, from the reports of the nodes beside their targets, and the
/// services that each service calls directly or indirectly.
namespace chive {

/// The report of a node about the target beside it.
struct PressureReport
{
    std::string service;
    /// Running and waiting work as a share of the concurrency limit: 1 is full, above it work
    /// waits.
    double pressure = 0.0;
    /// Kinds of requests that entered at the node in the last seconds, with the service called.
    std::map<std::string, std::string, std::less<>> enteredKinds;
    ServiceCapacity capacity = {}; ///< Capacity of this target alone.
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

/// Summarizes the recent reports by service. Nested kinds are recognized by where they enter:
/// callers run on all VMs, so their requests enter beside targets of every service, while the calls
/// of a target enter only beside targets of its own service.
[[nodiscard]] MeshPressure summarize(const PressureTable &table, TimePoint now);

/// Returns the capacity of each service from the recent reports.
[[nodiscard]] std::map<std::string, ServiceCapacity, std::less<>>
capacitiesIn(const PressureTable &table, TimePoint now);

/// Drops expired reports.
void forgetOldReports(PressureTable &table, TimePoint now);

} // namespace chive
