#include <LibNode/ConfigurationFrame.h>

#include <LibCore/Cbor.h>

#include <nlohmann/json.hpp>

namespace chive {

std::string encodeConfigurationFrame(const ConfigurationFrame &frame)
{
    std::string bytes;
    nlohmann::json::to_cbor(nlohmann::json::array({frame.version, frame.record}), bytes);
    return bytes;
}

Result<ConfigurationFrame> decodeConfigurationFrame(std::string_view bytes)
{
    const nlohmann::json parts = parseCbor(bytes);
    const bool isValid = parts.is_array() && parts.size() == 2 && parts[0].is_number_unsigned()
                         && parts[1].is_string();
    if (!isValid)
        return Error{Error::Kind::Invalid, "malformed configuration frame"};
    return ConfigurationFrame{parts[0].get<std::uint64_t>(), parts[1].get<std::string>()};
}

} // namespace chive
