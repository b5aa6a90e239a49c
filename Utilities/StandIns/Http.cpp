#include <StandIns/Http.h>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include <cstdlib>

namespace chive {

HttpResponse jsonResponse(int status, const nlohmann::json &body)
{
    return {status, {{"Content-Type", "application/json"}}, makeBody(body.dump())};
}

std::uint64_t numberInQuery(const std::string &target, const char *name, std::uint64_t otherwise)
{
    const auto question = target.find('?');
    if (question == std::string::npos)
        return otherwise;
    evkeyvalq parameters{};
    evhttp_parse_query_str(target.c_str() + question + 1, &parameters);
    const char *text = evhttp_find_header(&parameters, name);
    const std::uint64_t value = text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
    evhttp_clear_headers(&parameters);
    return value;
}

} // namespace chive
