#include <LibPolicy/ServicePressure.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace chive {

namespace {

/// Nodes report several times a second; an older report is ignored.
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

bool isRecent(const PressureTable::Entry &entry, TimePoint now)
{
    return now - entry.receivedAt <= reportLifetime;
}

/// The kinds that do not enter beside every service, which marks them as nested.
std::set<std::string, std::less<>> nestedKindsIn(const PressureTable &table, TimePoint now)
{
    std::set<std::string_view> services;
    /// Services beside which each kind enters.
    std::map<std::string_view, std::set<std::string_view>> entries;
    for (const auto &[nodeId, entry] : table.byNode) {
        if (!isRecent(entry, now))
            continue;
        for (const auto &[kind, service] : entry.report.enteredKinds) {
            services.insert(entry.report.service);
            entries[kind].insert(entry.report.service);
        }
    }
    std::set<std::string, std::less<>> nested;
    for (const auto &[kind, entered] : entries) {
        if (entered.size() < services.size())
            nested.emplace(kind);
    }
    return nested;
}

std::map<std::string_view, ServiceState>
collect(const PressureTable &table, const std::set<std::string, std::less<>> &nested, TimePoint now)
{
    std::map<std::string_view, ServiceState> services;
    for (const auto &[nodeId, entry] : table.byNode) {
        if (!isRecent(entry, now))
            continue;
        ServiceState &state = services[entry.report.service];
        state.sum += entry.report.pressure;
        ++state.targets;
        for (const auto &[kind, service] : entry.report.enteredKinds) {
            if (nested.contains(kind))
                state.calls.insert(service);
        }
    }
    return services;
}

/// The service and all services that it calls directly or indirectly.
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

MeshPressure summarize(const PressureTable &table, TimePoint now)
{
    MeshPressure mesh;
    mesh.nestedKinds = nestedKindsIn(table, now);
    const auto services = collect(table, mesh.nestedKinds, now);
    for (const auto &[name, state] : services) {
        ServicePressure &pressure = mesh.services[std::string(name)];
        pressure.own = state.mean();
        for (const std::string_view reached : reachedFrom(services, name)) {
            const auto found = services.find(reached);
            if (found != services.end())
                pressure.below = std::max(pressure.below, found->second.mean());
            if (reached != name)
                pressure.servicesBelow.emplace(reached);
        }
    }
    return mesh;
}

std::map<std::string, ServiceCapacity, std::less<>> capacitiesIn(const PressureTable &table,
                                                                 TimePoint now)
{
    std::map<std::string, ServiceCapacity, std::less<>> capacities;
    for (const auto &[nodeId, entry] : table.byNode) {
        if (!isRecent(entry, now))
            continue;
        const ServiceCapacity &added = entry.report.capacity;
        ServiceCapacity &total = capacities[entry.report.service];
        const double slots = total.slots + added.slots;
        if (slots > 0.0)
            total.wait = (total.wait * total.slots + added.wait * added.slots) / slots;
        total.slots = slots;
    }
    return capacities;
}

void forgetOldReports(PressureTable &table, TimePoint now)
{
    std::erase_if(table.byNode, [&](const auto &entry) { return !isRecent(entry.second, now); });
}

} // namespace chive
