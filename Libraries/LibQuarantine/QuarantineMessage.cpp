#include <LibQuarantine/QuarantineMessage.h>

#include <LibCore/Cbor.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace chive {

namespace {

using Json = nlohmann::json;

/// Older suspicions have expired. The limit keeps a corrupt age from overflowing a TimePoint.
constexpr std::int64_t maximumAge = 7 * 24 * 3'600 * 1'000LL; // milliseconds

std::int64_t ageOf(TimePoint at, TimePoint now)
{
    return std::chrono::duration_cast<Milliseconds>(now - at).count();
}

TimePoint timeOf(const Json &age, TimePoint now)
{
    return now - Milliseconds(std::clamp<std::int64_t>(age.get<std::int64_t>(), 0, maximumAge));
}

Json encodeSuspicion(const Suspicion &suspicion, TimePoint now)
{
    Json crashes = Json::array();
    for (const Crash &crash : suspicion.crashes)
        crashes.push_back(Json::array({crash.nodeId, crash.number, ageOf(crash.at, now)}));
    Json completed = nullptr;
    if (suspicion.completedAt.has_value())
        completed = ageOf(*suspicion.completedAt, now);
    return Json::array({suspicion.fingerprint, std::move(crashes), std::move(completed)});
}

Suspicion parseSuspicion(const Json &json, TimePoint now)
{
    Suspicion suspicion;
    suspicion.fingerprint = json.at(0).get<std::string>();
    for (const Json &crash : json.at(1))
        suspicion.crashes.push_back({crash.at(0).get<std::string>(),
                                     crash.at(1).get<std::uint64_t>(), timeOf(crash.at(2), now)});
    if (!json.at(2).is_null())
        suspicion.completedAt = timeOf(json.at(2), now);
    return suspicion;
}

} // namespace

std::string encodeSuspicions(std::span<const Suspicion> suspicions, TimePoint now)
{
    Json json = Json::array();
    for (const Suspicion &suspicion : suspicions)
        json.push_back(encodeSuspicion(suspicion, now));
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Result<std::vector<Suspicion>> parseSuspicions(std::string_view bytes, TimePoint now)
{
    try {
        const Json list = parseCbor(bytes);
        if (!list.is_array())
            return Error{Error::Kind::Invalid, "expected a CBOR array"};
        std::vector<Suspicion> suspicions;
        for (const Json &json : list)
            suspicions.push_back(parseSuspicion(json, now));
        return suspicions;
    } catch (const Json::exception &exception) {
        return Error{Error::Kind::Invalid, exception.what()};
    }
}

} // namespace chive
