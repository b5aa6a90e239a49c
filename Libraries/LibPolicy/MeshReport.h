#pragma once

#include <LibCore/Result.h>
#include <LibPolicy/RootAdmission.h>
#include <LibPolicy/ServicePressure.h>

#include <map>
#include <string>
#include <string_view>

namespace chive {

/// What a node tells all others several times a second, in CBOR.
struct MeshReport
{
    std::string nodeId;
    PressureReport target; ///< Without a service while there is no target.
    std::map<std::string, RootCount, std::less<>> roots; ///< By kind, since the last report.
    WorkByKind work;                                     ///< Of the target, since the last report.
};

[[nodiscard]] std::string encodeReport(const MeshReport &report);

/// Refuses what is not a report, amounts that are negative or not finite among it.
[[nodiscard]] Result<MeshReport> decodeReport(std::string_view bytes);

} // namespace chive
