#include <Node/Mesh/RootCounter.h>

#include <LibPolicy/LowerQuartile.h>

namespace chive {

void RootCounter::count(const RootDecided &decided, ImportanceOf importanceOf)
{
    const std::chrono::duration<double> objective = decided.objective;
    RootCount &count = counts_[decided.kind];
    if (count.service.empty() || importanceOf == ImportanceOf::Kind)
        count.importance = decided.importance;
    count.service = decided.service;
    count.objective = objective.count();
    count.offered += 1.0;
    if (!decided.isAdmitted)
        return;
    count.admitted += 1.0;
    count.inFlight += 1.0;
}

void RootCounter::count(const RootEnded &ended)
{
    const auto found = counts_.find(ended.kind);
    if (found == counts_.end())
        return;
    found->second.inFlight -= 1.0;
    if (!ended.wasServed)
        return;
    const std::chrono::duration<double> latency = ended.latency;
    LowerQuartile lowerQuartile{found->second.lowerQuartileLatency};
    addSample(lowerQuartile, latency.count());
    found->second.lowerQuartileLatency = lowerQuartile.value;
}

std::map<std::string, RootCount, std::less<>> RootCounter::take()
{
    auto counts = counts_;
    std::erase_if(counts_, [](const auto &entry) {
        return entry.second.offered == 0.0 && entry.second.inFlight == 0.0;
    });
    for (auto &[kind, count] : counts_)
        count.offered = count.admitted = 0.0;
    return counts;
}

} // namespace chive
