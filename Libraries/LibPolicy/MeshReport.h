#pragma once

#include <LibCore/Result.h>
#include <LibPolicy/RootAdmission.h>
#include <LibPolicy/ServicePressure.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace chive {

/// What a node tells the collectors several times a second, in CBOR.
struct MeshReport
{
    std::string nodeId;
    PressureReport target; ///< Without a service while there is no target.
    std::map<std::string, RootCount, std::less<>> roots; ///< By kind, since the last report.
    WorkByKind work;                                     ///< Of the target, since the last report.
};

/// What a collector tells all nodes.
struct MeshSummary
{
    std::string collector;   ///< Its node id.
    std::size_t reports = 0; ///< Recent ones that it was made from.
    MeshPressure mesh;
};

[[nodiscard]] std::string encodeReport(const MeshReport &report);

/// Refuses what is not a report, amounts that are negative or not finite among it.
[[nodiscard]] Result<MeshReport> decodeReport(std::string_view bytes);

[[nodiscard]] std::string encodeSummary(const MeshSummary &summary);

/// As decodeReport().
[[nodiscard]] Result<MeshSummary> decodeSummary(std::string_view bytes);

} // namespace chive
