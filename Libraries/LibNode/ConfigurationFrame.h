#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace chive {

/// What nodes tell each other about the configuration: the version in force, and the record itself
/// for a peer that is behind. A CBOR list of both.
struct ConfigurationFrame
{
    std::uint64_t version = 0;
    std::string record; ///< Empty: only the version is told.
};

[[nodiscard]] std::string encodeConfigurationFrame(const ConfigurationFrame &frame);
[[nodiscard]] Result<ConfigurationFrame> decodeConfigurationFrame(std::string_view bytes);

} // namespace chive
