#pragma once

#include <cstdint>
#include <optional>

namespace chive {

/// The era of a store, which rises each time the store is restored from an older copy. Not set
/// while it is unknown.
using StoreEra = std::optional<std::uint64_t>;

/// Where a follower of a topic reads on. Offsets are given out again after a restore, so a position
/// is valid in one era only.
struct StorePosition
{
    StoreEra era;
    std::uint64_t nextOffset = 0; ///< Offset of the next change.
    bool isLoaded = false;        ///< The newest values have been read up to this offset.

    bool operator==(const StorePosition &) const = default;
};

/// How the era of an answer relates to the newest era seen.
enum class EraOrder : std::uint8_t {
    Current,  ///< The same, or unknown.
    Restored, ///< The store has been restored since.
    Late,     ///< The answer was made before the last restore; it says nothing about the store.
};

/// Compares an answer's era with the newest one seen, which it raises.
[[nodiscard]] EraOrder noteEra(StoreEra &newest, const StoreEra &seen);

/// Whether the topic's newest values must be read as a whole before changes can be followed.
[[nodiscard]] bool needsReload(const StorePosition &position, const StoreEra &newest);

/// The position after the newest values were read in this era.
[[nodiscard]] StorePosition positionAt(const StoreEra &era, std::uint64_t end);

} // namespace chive
