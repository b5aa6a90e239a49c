#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chive {

/// The importance of a kind of request. Under overload, higher values are shed first. It is set
/// once, at the entry node, and inherited by every nested call.
enum class Importance : std::uint8_t {
    Critical = 0,
    High = 1,
    Normal = 2,
    Low = 3,
};

inline constexpr std::size_t importanceLevels = 4;

[[nodiscard]] std::string_view nameOf(Importance importance);

} // namespace chive
