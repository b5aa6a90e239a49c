#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibSettings/Settings.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace chive {

/// What the target beside this node last said of itself (docs/PLATFORM.md).
struct Announcement
{
    std::string service;
    Endpoint endpoint;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0; ///< 0: the target does not say.
    bool isDraining = false;
    bool isDeparture = false; ///< Says only that the target leaves; service and slots are unset.

    std::string targetId;        ///< Of this start of the target; empty where it says none.
    std::uint64_t startedAt = 0; ///< Start of the target, Unix milliseconds; 0: unknown.
    std::uint64_t sequence = 0;  ///< Rises with each announcement of one start; 0: unknown.

    bool operator==(const Announcement &) const = default;
};

/// What an announcement means beside the one that is held.
enum class AnnouncementOrder : std::uint8_t {
    NewStart, ///< Another start of the target; whatever was held is void.
    Update,   ///< A later word of the same start.
    Stale,    ///< Sent before the one that is held; it changes nothing.
};

/// Orders an announcement after the one that is held. Announcements may arrive seconds late, also
/// after their sender was replaced.
[[nodiscard]] AnnouncementOrder orderOf(const Announcement &held, const Announcement &next);

/// Reads the JSON body of an announcement; the error says which field is wrong and what is
/// expected.
[[nodiscard]] Result<Announcement> parseAnnouncement(std::string_view json);

} // namespace chive
