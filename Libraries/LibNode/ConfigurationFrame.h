#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chive {

/// Whether waiting reads of the store reported a version.
enum class VersionReport : std::uint8_t {
    Received, ///< Yes, so that other nodes will most likely get it from the store as well.
    Missed,   ///< No, so that other nodes have to read the store again.
};

/// The frame with which nodes distribute the configuration: the active version and, for a peer that
/// is behind, the record itself. It is encoded as a CBOR array of its members; the last two are
/// missing in frames of earlier releases.
struct ConfigurationFrame
{
    std::uint64_t version = 0;
    std::string record; ///< Empty: only the version is sent.
    VersionReport report = VersionReport::Received;
    /// Time since the store confirmed to any node that no newer version exists.
    std::optional<Milliseconds> confirmedAgo = std::nullopt;
};

[[nodiscard]] std::string encodeConfigurationFrame(const ConfigurationFrame &frame);
[[nodiscard]] Result<ConfigurationFrame> decodeConfigurationFrame(std::string_view bytes);

} // namespace chive
