#pragma once

#include <LibCore/Clock.h>

#include <map>
#include <set>
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

/// The mean pressure of the targets of one service; 0 while nothing recent is known.
[[nodiscard]] double pressureOf(const PressureTable &table, std::string_view service,
                                TimePoint now);

/// The highest mean pressure among the service and all that its calls lead to; 0 while nothing
/// recent is known. Old reports are ignored.
[[nodiscard]] double pressureBelow(const PressureTable &table, std::string_view service,
                                   TimePoint now);

/// The kinds that only targets send. Callers sit on all VMs, so what they send enters beside
/// targets of every service; what a target sends enters only beside targets of its own service. A
/// kind that enters beside a part of the services only is taken for nested.
[[nodiscard]] std::set<std::string, std::less<>> nestedKinds(const PressureTable &table,
                                                             TimePoint now);

/// All services that the calls of this one lead to, itself not among them.
[[nodiscard]] std::set<std::string> servicesBelow(const PressureTable &table,
                                                  std::string_view service, TimePoint now);

/// Drops the reports that are too old to matter.
void forgetOldReports(PressureTable &table, TimePoint now);

} // namespace chive
