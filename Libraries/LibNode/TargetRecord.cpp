#include <LibNode/TargetRecord.h>

#include <limits>

namespace chive {

namespace {

bool isSameStart(const Announcement &a, const Announcement &b)
{
    return a.targetId == b.targetId && a.startedAt == b.startedAt && a.endpoint == b.endpoint;
}

AnnouncementEffect begin(TargetRecord &record, const Announcement &announcement, TimePoint now)
{
    record.held = announcement;
    record.isPresent = true;
    record.heardAt = now;
    return AnnouncementEffect::Begun;
}

AnnouncementEffect updateHeld(TargetRecord &record, const Announcement &next, TimePoint now)
{
    const Announcement &held = *record.held;
    if (orderOf(held, next) == AnnouncementOrder::Stale)
        return AnnouncementEffect::None;
    if (!record.isPresent)
        return begin(record, next, now);
    const bool hasChanged = next.slots != held.slots || next.isDraining != held.isDraining
                            || next.service != held.service;
    record.held = next;
    record.heardAt = now;
    return hasChanged ? AnnouncementEffect::Changed : AnnouncementEffect::Refreshed;
}

} // namespace

AnnouncementEffect applyAnnouncement(TargetRecord &record, const Announcement &announcement,
                                     TimePoint now)
{
    if (record.held && isSameStart(*record.held, announcement))
        return updateHeld(record, announcement, now);
    // After a step of the VM's clock a later start may seem earlier. Then the held one is silent.
    if (record.isPresent && orderOf(*record.held, announcement) == AnnouncementOrder::Stale)
        return AnnouncementEffect::None;
    return begin(record, announcement, now);
}

bool applyDeparture(TargetRecord &record, std::string_view targetId)
{
    if (!record.held || record.held->targetId != targetId)
        return false;
    record.held->isDraining = true;
    record.held->sequence = std::numeric_limits<std::uint64_t>::max();
    return true;
}

bool endLease(TargetRecord &record, Milliseconds lease, TimePoint now, bool hasInFlight)
{
    if (!record.isPresent || hasInFlight || now - record.heardAt < lease)
        return false;
    record.isPresent = false;
    return true;
}

} // namespace chive
