#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace chive {

/// The frame with which nodes distribute the configuration: the active version and, for a peer that
/// is behind, the record itself. It is encoded as a CBOR array of both.
struct ConfigurationFrame
{
    std::uint64_t version = 0;
    std::string record; ///< Empty: only the version is sent.
};

[[nodiscard]] std::string encodeConfigurationFrame(const ConfigurationFrame &frame);
[[nodiscard]] Result<ConfigurationFrame> decodeConfigurationFrame(std::string_view bytes);

} // namespace chive
