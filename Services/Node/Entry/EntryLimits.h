#pragma once

#include <LibCore/Verdict.h>

namespace chive {

/// Refusals of an entry node that has no room of its own, whatever the targets could do.
[[nodiscard]] Verdict connectionLimitVerdict();
[[nodiscard]] Verdict memoryLimitVerdict();

} // namespace chive
