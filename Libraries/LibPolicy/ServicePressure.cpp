#include <LibPolicy/ServicePressure.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace chive {

namespace {

/// Reports come several times a second; a node that is silent for longer tells nothing.
constexpr Milliseconds reportLifetime{1'000};

struct ServiceState
{
    double sum = 0.0;
    std::size_t targets = 0;
    std::set<std::string_view> calls;

    [[nodiscard]] double mean() const
    {
        return targets == 0 ? 0.0 : sum / static_cast<double>(targets);
    }
};

std::map<std::string_view, ServiceState> collect(const PressureTable &table, TimePoint now)
{
    std::map<std::string_view, ServiceState> services;
    for (const auto &[nodeId, entry] : table.byNode) {
        if (now - entry.receivedAt > reportLifetime)
            continue;
        ServiceState &state = services[entry.report.service];
        state.sum += entry.report.pressure;
        ++state.targets;
        state.calls.insert(entry.report.calledServices.begin(), entry.report.calledServices.end());
    }
    return services;
}

/// The service and all that its calls lead to.
std::set<std::string_view> reachedFrom(const std::map<std::string_view, ServiceState> &services,
                                       std::string_view service)
{
    std::set<std::string_view> reached{service};
    std::vector<std::string_view> open{service};
    while (!open.empty()) {
        const auto found = services.find(open.back());
        open.pop_back();
        if (found == services.end())
            continue;
        for (const std::string_view called : found->second.calls) {
            if (reached.insert(called).second)
                open.push_back(called);
        }
    }
    return reached;
}

} // namespace

void noteReport(PressureTable &table, std::string_view nodeId, PressureReport report, TimePoint now)
{
    table.byNode.insert_or_assign(std::string(nodeId),
                                  PressureTable::Entry{std::move(report), now});
}

double pressureBelow(const PressureTable &table, std::string_view service, TimePoint now)
{
    const auto services = collect(table, now);
    double highest = 0.0;
    for (const std::string_view reached : reachedFrom(services, service)) {
        const auto found = services.find(reached);
        if (found != services.end())
            highest = std::max(highest, found->second.mean());
    }
    return highest;
}

std::set<std::string> servicesBelow(const PressureTable &table, std::string_view service,
                                    TimePoint now)
{
    const auto reached = reachedFrom(collect(table, now), service);
    std::set<std::string> below(reached.begin(), reached.end());
    below.erase(std::string(service));
    return below;
}

void forgetOldReports(PressureTable &table, TimePoint now)
{
    std::erase_if(table.byNode,
                  [&](const auto &entry) { return now - entry.second.receivedAt > reportLifetime; });
}

} // namespace chive
