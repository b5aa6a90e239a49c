#pragma once

#include <LibCore/Clock.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chive {

/// What a target stand-in does with the Chive-Call header on its own calls.
enum class CallHeader : std::uint8_t {
    Copy,
    Drop,
    Forge,  ///< An invented value.
    Repeat, ///< The value of the first request that it ever ran.
};

/// The misbehaviour of a target stand-in, set through `POST /control`.
struct TargetFaults
{
    double slowFactor = 1.0;                ///< Multiplies the service time.
    int failStatus = 0;                     ///< Answer every request so after running it; 0 is off.
    std::string crashMarker;                ///< A path or body with it ends the process at once.
    std::uint32_t answersToTruncate = 0;    ///< Answers cut in the middle of the body.
    std::uint32_t answersToRepeat = 0;      ///< Answers sent twice on one connection.
    std::uint32_t answersToSwallow = 0;     ///< Connections closed in place of the answer.
    std::uint32_t answersWithoutLength = 0; ///< Answers that end only with their connection.
    Milliseconds answerDelay{0};
    bool isDraining = false;
    bool isAnnouncing = true;
    bool isHealthy = true;                     ///< What /health says, whatever is true.
    std::optional<std::uint32_t> reportedLoad; ///< What /load says, whatever is true.
    Milliseconds loadLag{0};                   ///< Age of what /load says.
    CallHeader callHeader = CallHeader::Copy;
    std::uint32_t nestedAttempts = 1; ///< How often the target tries each nested call.

    /// Changes the members that the order names; others stay.
    void apply(const nlohmann::json &order);
};

[[nodiscard]] CallHeader callHeaderFromString(std::string_view text);

} // namespace chive
