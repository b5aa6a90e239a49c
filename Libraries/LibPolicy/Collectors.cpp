#include <LibPolicy/Collectors.h>

#include <algorithm>
#include <map>

namespace chive {

namespace {

/// The second one continues while the failure of the first is not yet detected.
constexpr std::size_t collectorCount = 2;
/// Upper bound of the reports per second that one collector receives.
constexpr std::size_t reportsPerSecond = 330;
/// Several report intervals, so that the shares survive one late summary.
constexpr Milliseconds summaryLifetime{1'000};
/// A target or a service below this pressure has room.
constexpr double pressureWithRoom = 0.6;
constexpr int calmReportPeriod = 2;
/// With the shortest interval, a third of the lifetime of a summary.
constexpr int calmSummaryPeriod = 3;

bool comesBefore(const Member &left, const Member &right)
{
    if (left.state != right.state)
        return left.state < right.state;
    return left.nodeId < right.nodeId;
}

} // namespace

std::vector<Member> collectorsOf(std::span<const Member> members)
{
    std::map<std::string_view, const Member *> firstOf; // By data centre.
    for (const Member &member : members) {
        if (member.state == MemberState::Dead || member.state == MemberState::Leaving)
            continue;
        const Member *&first = firstOf[member.dataCentre];
        if (first == nullptr || comesBefore(member, *first))
            first = &member;
    }
    std::vector<Member> collectors;
    for (const auto &[dataCentre, member] : firstOf) {
        if (collectors.size() < collectorCount)
            collectors.push_back(*member);
    }
    return collectors;
}

Milliseconds reportIntervalFor(std::size_t members)
{
    const Milliseconds paced{1'000 * members / reportsPerSecond};
    return std::max(shortestReportInterval, paced);
}

ReportPeriods reportPeriodsFor(const MeshPressure &mesh, double ownPressure, std::size_t members)
{
    const bool hasRoom = ownPressure < pressureWithRoom
                         && std::ranges::all_of(mesh.services, [](const auto &service) {
                                return service.second.own < pressureWithRoom;
                            });
    const bool isAllAdmitted = std::ranges::all_of(
            mesh.rootShares, [](const auto &share) { return share.second >= 1.0; });
    const bool hasShortInterval = reportIntervalFor(members) == shortestReportInterval;
    if (mesh.services.empty() || !hasRoom || !isAllAdmitted || !mesh.rejectedShares.empty()
        || !hasShortInterval)
        return {};
    return {calmReportPeriod, calmSummaryPeriod};
}

std::optional<std::size_t> selectSummary(std::span<const SummaryCandidate> offers, TimePoint now)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < offers.size(); ++i) {
        if (now - offers[i].receivedAt > summaryLifetime)
            continue;
        if (!best || offers[i].reports > offers[*best].reports)
            best = i;
    }
    return best;
}

} // namespace chive
