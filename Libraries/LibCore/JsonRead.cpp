#include <LibCore/JsonRead.h>

#include <cmath>

namespace chive {

namespace {

using nlohmann::json;

constexpr double maximumSeconds = 86'400.0;
/// nlohmann::json copies, compares and dumps values by recursion.
constexpr std::size_t maximumDepth = 64;

/// Whether brackets outside of strings are nested beyond the maximum depth.
bool isTooDeep(std::string_view text)
{
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInString && c == '\\')
            ++i; // The escaped character.
        else if (c == '"')
            isInString = !isInString;
        else if (!isInString && (c == '[' || c == '{') && ++depth > maximumDepth)
            return true;
        else if (!isInString && (c == ']' || c == '}') && depth > 0)
            --depth;
    }
    return false;
}

const json *find(const json &object, std::string_view field)
{
    if (!object.is_object())
        return nullptr;
    const auto found = object.find(field);
    return found == object.end() ? nullptr : &*found;
}

} // namespace

Error invalidField(std::string_view field, std::string_view expectation)
{
    return {Error::Kind::Invalid, std::string(field).append(": expected ").append(expectation)};
}

Result<json> parseObject(std::string_view text)
{
    if (isTooDeep(text))
        return invalidField("body", "less nesting");
    json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object())
        return invalidField("body", "a JSON object");
    return parsed;
}

Result<json> objectField(const json &object, std::string_view field)
{
    const json *value = find(object, field);
    if (value == nullptr || !value->is_object())
        return invalidField(field, "an object");
    return *value;
}

Result<json> arrayField(const json &object, std::string_view field)
{
    const json *value = find(object, field);
    if (value == nullptr || !value->is_array())
        return invalidField(field, "an array");
    return *value;
}

Result<std::string> textField(const json &object, std::string_view field)
{
    const json *value = find(object, field);
    if (value == nullptr || !value->is_string() || value->get_ref<const std::string &>().empty())
        return invalidField(field, "a non-empty string");
    return value->get<std::string>();
}

Result<std::uint64_t> countField(const json &object, std::string_view field)
{
    const json *value = find(object, field);
    if (value == nullptr || !value->is_number_unsigned())
        return invalidField(field, "a non-negative integer");
    return value->get<std::uint64_t>();
}

Result<double> numberField(const json &object, std::string_view field)
{
    const json *value = find(object, field);
    if (value == nullptr || !value->is_number() || !std::isfinite(value->get<double>()))
        return invalidField(field, "a number");
    return value->get<double>();
}

Result<Milliseconds> secondsField(const json &object, std::string_view field)
{
    CHIVE_TRY(seconds, numberField(object, field));
    if (seconds < 0.0 || seconds > maximumSeconds)
        return invalidField(field, "seconds from 0 to 86400");
    return Milliseconds(std::llround(seconds * 1000.0));
}

} // namespace chive
