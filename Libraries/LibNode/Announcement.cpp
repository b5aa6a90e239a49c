#include <LibNode/Announcement.h>

#include <nlohmann/json.hpp>

namespace chive {

namespace {

using nlohmann::json;

constexpr std::uint32_t maximumSlots = 100'000;

Error invalid(std::string message)
{
    return Error{Error::Kind::Invalid, std::move(message)};
}

Result<std::uint32_t> readCount(const json &body, const char *field, std::uint32_t maximum)
{
    const auto found = body.find(field);
    if (found == body.end() || !found->is_number_unsigned())
        return invalid(std::string(field) + ": expected a whole number");
    const auto value = found->get<std::uint64_t>();
    if (value < 1 || value > maximum)
        return invalid(std::string(field) + ": expected 1 to " + std::to_string(maximum));
    return static_cast<std::uint32_t>(value);
}

Result<std::string> readText(const json &body, const char *field)
{
    const auto found = body.find(field);
    if (found == body.end() || !found->is_string() || found->get_ref<const std::string &>().empty())
        return invalid(std::string(field) + ": expected a text that is not empty");
    return found->get<std::string>();
}

} // namespace

Result<Announcement> parseAnnouncement(std::string_view text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return invalid("expected a JSON object");
    Announcement announcement;
    CHIVE_TRY(service, readText(body, "service"));
    CHIVE_TRY(ip, readText(body, "ip"));
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
            return invalid("draining: expected true or false");
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
