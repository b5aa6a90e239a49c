#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace chive {

/// Reads the fields of a JSON object and records whether all were present with the expected type
/// and range. A missing or invalid field reads as empty, false or 0.
class JsonFields
{
public:
    explicit JsonFields(const nlohmann::json &object)
        : object_(object)
        , isValid_(object.is_object())
    {}

    [[nodiscard]] std::string text(std::string_view key)
    {
        const nlohmann::json *field = find(key);
        if (field == nullptr || !field->is_string())
            return fail(std::string());
        return field->get<std::string>();
    }

    [[nodiscard]] std::uint64_t
    number(std::string_view key, std::uint64_t most = std::numeric_limits<std::int64_t>::max())
    {
        const nlohmann::json *field = find(key);
        if (field == nullptr || !field->is_number_unsigned() || field->get<std::uint64_t>() > most)
            return fail(std::uint64_t{0});
        return field->get<std::uint64_t>();
    }

    [[nodiscard]] bool flag(std::string_view key)
    {
        const nlohmann::json *field = find(key);
        if (field == nullptr || !field->is_boolean())
            return fail(false);
        return field->get<bool>();
    }

    [[nodiscard]] const nlohmann::json &array(std::string_view key)
    {
        const nlohmann::json *field = find(key);
        if (field == nullptr || !field->is_array())
            return fail<const nlohmann::json &>(emptyArray());
        return *field;
    }

    [[nodiscard]] bool isValid() const { return isValid_; }

private:
    [[nodiscard]] const nlohmann::json *find(std::string_view key) const
    {
        if (!object_.is_object())
            return nullptr;
        const auto found = object_.find(key);
        return found == object_.end() ? nullptr : &*found;
    }

    template<typename Value>
    Value fail(Value fallback)
    {
        isValid_ = false;
        return fallback;
    }

    static const nlohmann::json &emptyArray()
    {
        static const nlohmann::json empty = nlohmann::json::array();
        return empty;
    }

    const nlohmann::json &object_;
    bool isValid_;
};

} // namespace chive
