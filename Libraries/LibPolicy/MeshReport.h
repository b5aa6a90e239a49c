#pragma once

#include <LibCore/Result.h>
#include <LibPolicy/RootAdmission.h>
#include <LibPolicy/ServicePressure.h>
#include <LibPolicy/TreeBudget.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace chive {

/// The report that a node sends to the collectors several times a second, encoded in CBOR.
struct MeshReport
{
    std::string nodeId;
    PressureReport target; ///< The service is empty while there is no target.
    std::map<std::string, RootCount, std::less<>> roots; ///< By kind, since the last report.
    /// Work of the target since the last report.
    WorkByKind work;
    CallsByKind calls; ///< Calls of the target; only when they are due, see takeCalls().
};

/// The summary that a collector sends to all nodes.
struct MeshSummary
{
    std::string collector;   ///< Node id of the collector.
    std::size_t reports = 0; ///< Number of recent reports that it was made from.
    MeshPressure mesh;
};

[[nodiscard]] std::string encodeReport(const MeshReport &report);

/// Returns Error::Kind::Invalid for malformed input, including amounts that are negative or not
/// finite.
[[nodiscard]] Result<MeshReport> decodeReport(std::string_view bytes);

[[nodiscard]] std::string encodeSummary(const MeshSummary &summary);

/// Fails as decodeReport() does.
[[nodiscard]] Result<MeshSummary> decodeSummary(std::string_view bytes);

} // namespace chive
