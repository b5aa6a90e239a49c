#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// Typed access to untrusted JSON. Every error names the field and the expected value.
namespace chive {

[[nodiscard]] Error invalidField(std::string_view field, std::string_view expectation);

/// Fails on input that is nested so deeply that its use could exhaust the stack.
[[nodiscard]] Result<nlohmann::json> parseObject(std::string_view text);
[[nodiscard]] Result<nlohmann::json> objectField(const nlohmann::json &object,
                                                 std::string_view field);
[[nodiscard]] Result<nlohmann::json> arrayField(const nlohmann::json &object,
                                                std::string_view field);
[[nodiscard]] Result<std::string> textField(const nlohmann::json &object, std::string_view field);
[[nodiscard]] Result<std::uint64_t> countField(const nlohmann::json &object,
                                               std::string_view field);
[[nodiscard]] Result<double> numberField(const nlohmann::json &object, std::string_view field);

/// Reads a time in seconds, which may have a fraction, from 0 to 86400.
[[nodiscard]] Result<Milliseconds> secondsField(const nlohmann::json &object,
                                                std::string_view field);

} // namespace chive
