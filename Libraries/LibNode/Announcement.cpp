#include <LibNode/Announcement.h>

#include <LibCore/JsonRead.h>

#include <nlohmann/json.hpp>

namespace chive {

namespace {

using nlohmann::json;

constexpr std::uint32_t maximumSlots = 100'000;

Result<std::uint32_t> readCount(const json &body, std::string_view field, std::uint32_t maximum)
{
    CHIVE_TRY(value, countField(body, field));
    if (value < 1 || value > maximum)
        return invalidField(field, "1 to " + std::to_string(maximum));
    return static_cast<std::uint32_t>(value);
}

} // namespace

Result<Announcement> parseAnnouncement(std::string_view text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return Error{Error::Kind::Invalid, "expected a JSON object"};
    Announcement announcement;
    CHIVE_TRY(service, textField(body, "service"));
    CHIVE_TRY(ip, textField(body, "ip"));
    CHIVE_TRY(port, readCount(body, "port", 65'535));
    CHIVE_TRY(slots, readCount(body, "slots", maximumSlots));
    CHIVE_TRY(connections, readCount(body, "connections", maximumSlots));
    announcement.service = std::move(service);
    announcement.endpoint = {std::move(ip), static_cast<std::uint16_t>(port)};
    announcement.slots = slots;
    announcement.connections = connections;
    const auto draining = body.find("draining");
    if (draining != body.end()) {
        if (!draining->is_boolean())
            return invalidField("draining", "true or false");
        announcement.isDraining = draining->get<bool>();
    }
    return announcement;
}

AnnouncementOrder orderOf(const Announcement &held, const Announcement &next)
{
    const bool isSameStart = held.targetId == next.targetId && held.startedAt == next.startedAt
                             && held.endpoint == next.endpoint;
    if (!isSameStart)
        return next.startedAt < held.startedAt ? AnnouncementOrder::Stale
                                               : AnnouncementOrder::NewStart;
    const bool isOrdered = next.sequence != 0;
    return isOrdered && next.sequence <= held.sequence ? AnnouncementOrder::Stale
                                                       : AnnouncementOrder::Update;
}

} // namespace chive
