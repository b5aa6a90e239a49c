#include <LibCore/Cbor.h>

#include <nlohmann/json.hpp>

namespace chive {

nlohmann::json parseCbor(std::string_view bytes)
{
    try {
        nlohmann::json value = nlohmann::json::from_cbor(bytes, true, false);
        return value.is_discarded() ? nlohmann::json() : value;
    } catch (const nlohmann::json::exception &) {
        return nullptr;
    }
}

} // namespace chive
