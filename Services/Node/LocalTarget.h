#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibSettings/Settings.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace chive {

/// A target that has not announced itself for this long is taken for gone.
inline constexpr Milliseconds announcementLease{3'000};

/// What the target beside this node last said of itself (docs/PLATFORM.md, POST /announce).
struct Announcement
{
    std::string service;
    Endpoint endpoint;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    bool isDraining = false;

    bool operator==(const Announcement &) const = default;
};

/// Reads the JSON body of an announcement; the error says which field is wrong and what is
/// expected.
[[nodiscard]] Result<Announcement> parseAnnouncement(std::string_view json);

} // namespace chive
