#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibSettings/Settings.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace chive {

/// The latest announcement of the local target (docs/PLATFORM.md).
struct Announcement
{
    std::string service;
    Endpoint endpoint;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0; ///< 0: not given.
    bool isDraining = false;
    bool isDeparture = false; ///< The target deregisters; service and slots are unset.

    std::string targetId;        ///< Identifies this start of the target; empty if not given.
    std::uint64_t startedAt = 0; ///< Start time of the target, Unix milliseconds; 0: unknown.
    std::uint64_t sequence = 0;  ///< Increases with each announcement of one start; 0: unknown.

    bool operator==(const Announcement &) const = default;
};

/// How an announcement relates to the current one.
enum class AnnouncementOrder : std::uint8_t {
    NewStart, ///< From another start of the target; it replaces the current one.
    Update,   ///< A later announcement of the same start.
    Stale,    ///< Sent before the current one; it must be ignored.
};

/// Compares a received announcement with the current one. Announcements may arrive seconds late,
/// even after their sender was replaced.
[[nodiscard]] AnnouncementOrder orderOf(const Announcement &held, const Announcement &next);

/// Parses the JSON body of an announcement. The error names the invalid field and the expected
/// value.
[[nodiscard]] Result<Announcement> parseAnnouncement(std::string_view json);

} // namespace chive
