#include <LibQuarantine/Quarantine.h>

#include <algorithm>

namespace chive {

namespace {

constexpr std::size_t crashesToQuarantine = 2;
constexpr std::chrono::minutes firstQuarantine{10};
constexpr std::size_t maximumDoublings = 7;
constexpr std::chrono::hours suspicionLifetime{24};
constexpr std::size_t maximumSuspicions = 4'096;

TimePoint latestCrash(const Suspicion &suspicion)
{
    TimePoint latest{};
    for (const Crash &crash : suspicion.crashes)
        latest = std::max(latest, crash.at);
    return latest;
}

/// Each crash after a release doubles the quarantine time, so that a request that is sent forever
/// crashes targets less and less often.
bool isQuarantined(const Suspicion &suspicion, TimePoint now)
{
    const std::size_t count = suspicion.crashes.size();
    if (count < crashesToQuarantine)
        return false;
    const std::size_t doublings = std::min(count - crashesToQuarantine, maximumDoublings);
    return now < latestCrash(suspicion) + firstQuarantine * (1 << doublings);
}

bool dropClearedCrashes(Suspicion &suspicion)
{
    if (!suspicion.completedAt.has_value())
        return false;
    const std::size_t dropped = std::erase_if(suspicion.crashes, [&](const Crash &crash) {
        return crash.at <= *suspicion.completedAt;
    });
    return dropped > 0;
}

bool addCrash(Suspicion &suspicion, const Crash &crash)
{
    const bool isCleared = suspicion.completedAt.has_value() && crash.at <= *suspicion.completedAt;
    const bool isKnown = std::any_of(
            suspicion.crashes.begin(), suspicion.crashes.end(), [&](const Crash &known) {
                return known.nodeId == crash.nodeId && known.number == crash.number;
            });
    if (isCleared || isKnown)
        return false;
    suspicion.crashes.push_back(crash);
    return true;
}

TimePoint latestUpdate(const Suspicion &suspicion)
{
    return std::max(latestCrash(suspicion), suspicion.completedAt.value_or(TimePoint{}));
}

} // namespace

bool Quarantine::merge(const Suspicion &suspicion, TimePoint now)
{
    if (now >= latestUpdate(suspicion) + suspicionLifetime)
        return false;
    const bool isUnknown = suspicions_.find(suspicion.fingerprint) == suspicions_.end();
    if (isUnknown && suspicions_.size() >= maximumSuspicions)
        return false;
    Suspicion &held = suspicions_[suspicion.fingerprint];
    held.fingerprint = suspicion.fingerprint;
    bool hasChanged = false;
    if (suspicion.completedAt.has_value()
        && suspicion.completedAt > held.completedAt.value_or(TimePoint{})) {
        held.completedAt = suspicion.completedAt;
        // Transmitted ages are slightly inexact, so a later completion time alone is no change that
        // others need; only a dropped crash is.
        hasChanged = dropClearedCrashes(held);
    }
    for (const Crash &crash : suspicion.crashes)
        hasChanged = addCrash(held, crash) || hasChanged;
    return hasChanged;
}

bool Quarantine::noteCompletion(const std::string &fingerprint, TimePoint now)
{
    const auto found = suspicions_.find(fingerprint);
    if (found == suspicions_.end())
        return false;
    found->second.completedAt = now;
    return dropClearedCrashes(found->second);
}

bool Quarantine::expire(TimePoint now)
{
    const std::size_t dropped = std::erase_if(suspicions_, [&](const auto &entry) {
        return now >= latestUpdate(entry.second) + suspicionLifetime;
    });
    return dropped > 0;
}

std::vector<std::string> Quarantine::suspects(TimePoint now) const
{
    std::vector<std::string> found;
    for (const auto &[fingerprint, suspicion] : suspicions_) {
        if (!suspicion.crashes.empty() && !isQuarantined(suspicion, now))
            found.push_back(fingerprint);
    }
    return found;
}

std::vector<std::string> Quarantine::quarantined(TimePoint now) const
{
    std::vector<std::string> found;
    for (const auto &[fingerprint, suspicion] : suspicions_) {
        if (isQuarantined(suspicion, now))
            found.push_back(fingerprint);
    }
    return found;
}

bool Quarantine::isSuspected(std::string_view fingerprint) const
{
    const auto found = suspicions_.find(fingerprint);
    return found != suspicions_.end() && !found->second.crashes.empty();
}

std::vector<Suspicion> Quarantine::suspicions() const
{
    std::vector<Suspicion> all;
    for (const auto &[fingerprint, suspicion] : suspicions_)
        all.push_back(suspicion);
    return all;
}

} // namespace chive
