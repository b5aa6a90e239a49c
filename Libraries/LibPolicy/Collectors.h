#pragma once

#include <LibCore/Clock.h>
#include <LibNode/Messages.h>

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

/// Selects the collectors: the nodes that aggregate the reports of all nodes and send the summary
/// back to them. Every node derives them from its own member list. While lists differ there are
/// more collectors than usual, and the summary made from the most reports is used. With reports
/// from every node to every node, the number of messages would grow quadratically.
namespace chive {

/// Returns the collectors, one for each data centre, from the first data centres by name. Alive
/// nodes are preferred to suspects.
[[nodiscard]] std::vector<Member> collectorsOf(std::span<const Member> members);

inline constexpr Milliseconds shortestReportInterval{100};

/// The interval between the reports of a node. It grows with the number of nodes, so that the
/// message rate at a collector stays bounded.
[[nodiscard]] Milliseconds reportIntervalFor(std::size_t members);

/// How often a node reports and a collector sends its summary, in report intervals.
struct ReportPeriods
{
    int report = 1;
    int summary = 1;
};

/// Returns the periods of one of `members` nodes at this pressure of its own target. They are
/// longer while every service has room and everything is admitted, since nothing depends on the
/// reports then, but only with the shortest interval, as summaries expire.
[[nodiscard]] ReportPeriods reportPeriodsFor(const MeshPressure &mesh, double ownPressure,
                                             std::size_t members);

/// A received summary that could be used.
struct SummaryCandidate
{
    std::string_view collector;
    std::size_t reports = 0; ///< Number of reports that it was made from.
    TimePoint receivedAt;
};

/// Returns the index of the recent summary made from the most reports, or nothing if none is
/// recent.
[[nodiscard]] std::optional<std::size_t> selectSummary(std::span<const SummaryCandidate> offers,
                                                       TimePoint now);

} // namespace chive
