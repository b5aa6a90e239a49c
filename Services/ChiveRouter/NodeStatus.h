#pragma once

#include <LibCore/Result.h>
#include <LibSettings/Settings.h>

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace chive {

/// Fetches a page of JSON from a node's admin endpoint and waits for it.
[[nodiscard]] Result<nlohmann::json> fetchJson(const Endpoint &admin, const std::string &path);

} // namespace chive
