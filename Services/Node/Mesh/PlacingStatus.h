#pragma once

#include <LibPolicy/Choice.h>

#include <nlohmann/json_fwd.hpp>

namespace chive {

/// For each target of one service what the policy "least-work" takes it for, and why it gets little
/// work, if it does.
[[nodiscard]] nlohmann::json placingOf(const ChoiceState &state, TimePoint now);

} // namespace chive
