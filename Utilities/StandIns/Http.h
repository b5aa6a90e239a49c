#pragma once

#include <LibHttp/HttpMessage.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

namespace chive {

[[nodiscard]] HttpResponse jsonResponse(int status, const nlohmann::json &body);

/// The number that the query of a request target gives a parameter.
[[nodiscard]] std::uint64_t numberInQuery(const std::string &target, const char *name,
                                          std::uint64_t otherwise);

} // namespace chive
