#include <LibCore/Cbor.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace chive {

namespace {

/// nlohmann::json decodes, copies and compares by recursion.
constexpr std::size_t maximumDepth = 64;

/// Major types, RFC 8949 section 3.1.
enum class Major : std::uint8_t {
    Unsigned,
    Negative,
    Bytes,
    Text,
    Array,
    Map,
    Tag,
    Other,
};

struct Head
{
    Major major = Major::Unsigned;
    std::uint64_t argument = 0;
};

/// Takes the head of an item off the front; nothing if it is cut, reserved or of indefinite length.
std::optional<Head> takeHead(std::string_view &bytes)
{
    constexpr unsigned argumentBits = 5;
    constexpr std::uint8_t firstLongArgument = 24;
    constexpr std::uint8_t lastLongArgument = 27;
    if (bytes.empty())
        return std::nullopt;
    const auto first = static_cast<std::uint8_t>(bytes.front());
    bytes.remove_prefix(1);
    const auto major = static_cast<Major>(first >> argumentBits);
    const std::uint8_t information = first & ((1U << argumentBits) - 1);
    if (information < firstLongArgument)
        return Head{major, information};
    if (information > lastLongArgument)
        return std::nullopt;
    const std::size_t size = std::size_t{1} << (information - firstLongArgument);
    if (size > bytes.size())
        return std::nullopt;
    Head head{major, 0};
    for (std::size_t i = 0; i < size; ++i)
        head.argument = head.argument << 8 | static_cast<std::uint8_t>(bytes[i]);
    bytes.remove_prefix(size);
    return head;
}

/// Whether the bytes begin with one whole item that is nested no deeper than the maximum depth.
bool isShallowItem(std::string_view bytes)
{
    std::vector<std::uint64_t> itemsLeft{1}; // In each open array and map.
    while (!itemsLeft.empty()) {
        if (itemsLeft.back() == 0) {
            itemsLeft.pop_back();
            continue;
        }
        --itemsLeft.back();
        const auto head = takeHead(bytes);
        if (!head)
            return false;
        const bool isString = head->major == Major::Bytes || head->major == Major::Text;
        const bool isContainer = head->major == Major::Array || head->major == Major::Map;
        // Each contained item takes a byte at least.
        if ((isString || isContainer) && head->argument > bytes.size())
            return false;
        if (isString)
            bytes.remove_prefix(head->argument);
        if (!isContainer)
            continue;
        if (itemsLeft.size() > maximumDepth)
            return false;
        const std::uint64_t itemsPerElement = head->major == Major::Map ? 2 : 1;
        itemsLeft.push_back(head->argument * itemsPerElement);
    }
    return true;
}

} // namespace

nlohmann::json parseCbor(std::string_view bytes)
{
    if (!isShallowItem(bytes))
        return nullptr;
    try {
        nlohmann::json value = nlohmann::json::from_cbor(bytes, true, false);
        return value.is_discarded() ? nlohmann::json() : value;
    } catch (const nlohmann::json::exception &) {
        return nullptr;
    }
}

} // namespace chive
