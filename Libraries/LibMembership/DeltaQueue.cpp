#include <LibMembership/DeltaQueue.h>

#include <algorithm>
#include <cmath>

namespace chive {

namespace {

constexpr double transmissionsPerDecade = 4.0;

} // namespace

void DeltaQueue::push(const std::string &nodeId)
{
    remove(nodeId);
    entries_.push_back({nodeId, 0});
}

void DeltaQueue::remove(const std::string &nodeId)
{
    std::erase_if(entries_, [&](const Entry &entry) { return entry.nodeId == nodeId; });
}

std::vector<std::string> DeltaQueue::take(std::size_t maximum, std::uint32_t transmissions)
{
    const auto lessSent = [](const Entry &a, const Entry &b) { return a.sent < b.sent; };
    std::stable_sort(entries_.begin(), entries_.end(), lessSent);
    std::vector<std::string> taken;
    for (Entry &entry : entries_) {
        if (taken.size() == maximum)
            break;
        taken.push_back(entry.nodeId);
        ++entry.sent;
    }
    std::erase_if(entries_, [&](const Entry &entry) { return entry.sent >= transmissions; });
    return taken;
}

std::uint32_t transmissionsFor(std::size_t members)
{
    const double decades = std::log10(static_cast<double>(members) + 1.0);
    return static_cast<std::uint32_t>(std::ceil(transmissionsPerDecade * std::max(decades, 1.0)));
}

} // namespace chive
