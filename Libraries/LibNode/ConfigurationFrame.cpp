#include <LibNode/ConfigurationFrame.h>

#include <LibCore/Cbor.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace chive {

namespace {

constexpr std::size_t shortestFrame = 2; ///< Of releases that send no report and no confirmation.
constexpr std::size_t wholeFrame = 4;
constexpr std::uint64_t longestAge = 86'400'000; ///< ms; older confirmations are of no use.

bool isAge(const nlohmann::json &part)
{
    return part.is_null() || part.is_number_unsigned();
}

} // namespace

std::string encodeConfigurationFrame(const ConfigurationFrame &frame)
{
    std::string bytes;
    nlohmann::json parts
            = {frame.version, frame.record, static_cast<std::uint8_t>(frame.report), nullptr};
    if (frame.confirmedAgo)
        parts.back() = static_cast<std::uint64_t>(
                std::max<Milliseconds::rep>(frame.confirmedAgo->count(), 0));
    nlohmann::json::to_cbor(parts, bytes);
    return bytes;
}

Result<ConfigurationFrame> decodeConfigurationFrame(std::string_view bytes)
{
    const nlohmann::json parts = parseCbor(bytes);
    const bool isValid = parts.is_array() && parts.size() >= shortestFrame
                         && parts[0].is_number_unsigned() && parts[1].is_string();
    if (!isValid)
        return Error{Error::Kind::Invalid, "malformed configuration frame"};
    ConfigurationFrame frame{parts[0].get<std::uint64_t>(), parts[1].get<std::string>()};
    if (parts.size() < wholeFrame)
        return frame;
    if (!parts[2].is_number_unsigned() || !isAge(parts[3]))
        return Error{Error::Kind::Invalid, "malformed configuration frame"};
    if (parts[2].get<std::uint64_t>() == static_cast<std::uint64_t>(VersionReport::Missed))
        frame.report = VersionReport::Missed;
    if (!parts[3].is_null() && parts[3].get<std::uint64_t>() <= longestAge)
        frame.confirmedAgo = Milliseconds(parts[3].get<std::uint64_t>());
    return frame;
}

} // namespace chive
