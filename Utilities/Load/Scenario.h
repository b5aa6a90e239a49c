#pragma once

#include <Load/Trace.h>

#include <cstdint>
#include <span>
#include <string_view>

namespace chive::load {

/// A way to generate a trace. The same seed yields the same trace.
struct Scenario
{
    std::string_view name;
    std::string_view summary;
    Trace (*build)(std::uint64_t seed) = nullptr;
};

[[nodiscard]] std::span<const Scenario> scenarios();

} // namespace chive::load
