#include <LibNode/TargetRecord.h>

#include <limits>
#include <utility>

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
    record.candidate.reset();
    return AnnouncementEffect::Begun;
}

AnnouncementEffect updateHeld(TargetRecord &record, const Announcement &next, TimePoint now)
{
    const Announcement &held = *record.held;
    if (orderOf(held, next) == AnnouncementOrder::Stale)
        return AnnouncementEffect::None;
    const bool wasPresent = std::exchange(record.isPresent, true);
    const bool hasChanged = next.slots != held.slots || next.isDraining != held.isDraining
                            || next.service != held.service;
    record.held = next;
    record.heardAt = now;
    if (!wasPresent)
        return AnnouncementEffect::Begun;
    return hasChanged ? AnnouncementEffect::Changed : AnnouncementEffect::Refreshed;
}

AnnouncementEffect updateCandidate(TargetRecord &record, const Announcement &next,
                                   const TargetRules &rules, TimePoint now)
{
    TargetRecord::Candidate &candidate = *record.candidate;
    if (orderOf(candidate.announcement, next) == AnnouncementOrder::Stale)
        return AnnouncementEffect::None;
    candidate.announcement = next;
    candidate.heardAt = now;
    // Health checks may fail for other reasons than that the target leaves. Announcements that go
    // on for a whole lease are not delayed ones.
    if (now - candidate.firstHeardAt >= rules.lease)
        return begin(record, next, now);
    return AnnouncementEffect::Refreshed;
}

/// Whether the announcement is of an earlier start than the held one. After a step of the VM's
/// clock a later start may seem earlier; then the held one is silent.
bool isSuperseded(const TargetRecord &record, const Announcement &next, const TargetRules &rules,
                  TimePoint now)
{
    return record.isPresent && orderOf(*record.held, next) == AnnouncementOrder::Stale
           && now - record.heardAt < rules.lease / 2;
}

} // namespace

AnnouncementEffect applyAnnouncement(TargetRecord &record, const Announcement &announcement,
                                     const TargetRules &rules, TimePoint now)
{
    if (record.held && isSameStart(*record.held, announcement))
        return updateHeld(record, announcement, now);
    if (isSuperseded(record, announcement, rules, now))
        return AnnouncementEffect::Rejected;
    if (announcement.isDraining || !rules.needsConfirmation)
        return begin(record, announcement, now);
    if (record.candidate && isSameStart(record.candidate->announcement, announcement))
        return updateCandidate(record, announcement, rules, now);
    if (record.candidate
        && orderOf(record.candidate->announcement, announcement) == AnnouncementOrder::Stale)
        return AnnouncementEffect::Rejected;
    record.candidate = TargetRecord::Candidate{announcement, now, now};
    return AnnouncementEffect::Awaiting;
}

bool applyDeparture(TargetRecord &record, std::string_view targetId)
{
    const bool isCandidate
            = record.candidate && record.candidate->announcement.targetId == targetId;
    if (isCandidate) {
        record.held = record.candidate->announcement;
        record.candidate.reset();
    }
    if (!record.held || record.held->targetId != targetId)
        return false;
    record.held->isDraining = true;
    record.held->sequence = std::numeric_limits<std::uint64_t>::max();
    return true;
}

void confirmCandidate(TargetRecord &record)
{
    const TargetRecord::Candidate candidate = *record.candidate;
    begin(record, candidate.announcement, candidate.heardAt);
}

bool endLeases(TargetRecord &record, const TargetRules &rules, TimePoint now, bool hasInFlight)
{
    if (record.candidate && now - record.candidate->heardAt >= rules.lease)
        record.candidate.reset();
    if (!record.isPresent || hasInFlight || now - record.heardAt < rules.lease)
        return false;
    record.isPresent = false;
    return true;
}

} // namespace chive
