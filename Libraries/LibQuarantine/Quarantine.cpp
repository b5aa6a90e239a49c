#include <LibQuarantine/Quarantine.h>

#include <algorithm>

namespace chive {

namespace {

constexpr std::size_t crashesToQuarantine = 2;
constexpr std::chrono::minutes firstQuarantine{10};
constexpr std::size_t mostDoublings = 7;
constexpr std::chrono::hours memory{24};
constexpr std::size_t maximumSuspicions = 4'096;

TimePoint latestCrash(const Suspicion &suspicion)
{
    TimePoint latest{};
    for (const Crash &crash : suspicion.crashes)
        latest = std::max(latest, crash.at);
    return latest;
}

/// Each crash after a release doubles the time, so that a request that is sent for ever crashes
/// fewer and fewer targets.
bool isQuarantined(const Suspicion &suspicion, TimePoint now)
{
    const std::size_t count = suspicion.crashes.size();
    if (count < crashesToQuarantine)
        return false;
    const std::size_t doublings = std::min(count - crashesToQuarantine, mostDoublings);
    return now < latestCrash(suspicion) + firstQuarantine * (1 << doublings);
}

bool dropAcquitted(Suspicion &suspicion)
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
    const bool isAcquitted
            = suspicion.completedAt.has_value() && crash.at <= *suspicion.completedAt;
    const bool isKnown = std::any_of(
            suspicion.crashes.begin(), suspicion.crashes.end(), [&](const Crash &known) {
                return known.nodeId == crash.nodeId && known.number == crash.number;
            });
    if (isAcquitted || isKnown)
        return false;
    suspicion.crashes.push_back(crash);
    return true;
}

TimePoint latestNews(const Suspicion &suspicion)
{
    return std::max(latestCrash(suspicion), suspicion.completedAt.value_or(TimePoint{}));
}

} // namespace

bool Quarantine::merge(const Suspicion &suspicion, TimePoint now)
{
    if (now >= latestNews(suspicion) + memory)
        return false;
    const bool isUnknown = suspicions_.find(suspicion.fingerprint) == suspicions_.end();
    if (isUnknown && suspicions_.size() >= maximumSuspicions)
        return false;
    Suspicion &held = suspicions_[suspicion.fingerprint];
    held.fingerprint = suspicion.fingerprint;
    bool isNews = false;
    if (suspicion.completedAt.has_value()
        && suspicion.completedAt > held.completedAt.value_or(TimePoint{})) {
        held.completedAt = suspicion.completedAt;
        // Ages that travel are a little off; only an acquittal matters to anybody.
        isNews = dropAcquitted(held);
    }
    for (const Crash &crash : suspicion.crashes)
        isNews = addCrash(held, crash) || isNews;
    return isNews;
}

bool Quarantine::noteCompletion(const std::string &fingerprint, TimePoint now)
{
    const auto found = suspicions_.find(fingerprint);
    if (found == suspicions_.end())
        return false;
    found->second.completedAt = now;
    return dropAcquitted(found->second);
}

bool Quarantine::expire(TimePoint now)
{
    const std::size_t dropped = std::erase_if(suspicions_, [&](const auto &entry) {
        return now >= latestNews(entry.second) + memory;
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
