#include <LibPolicy/MeshReport.h>

#include <LibCore/Cbor.h>

#include <nlohmann/json.hpp>

#include <cmath>
#include <set>
#include <utility>

namespace chive {

namespace {

using nlohmann::json;

/// Elements that are present only where there is something to say.
constexpr std::size_t callsIndex = 8;      ///< Of a report.
constexpr std::size_t rejectionsIndex = 5; ///< Of a summary.

/// Whole numbers take fewer bytes than fractions.
json encodeCalls(const CallsByKind &calls)
{
    json encoded = json::object();
    for (const auto &[kind, count] : calls) {
        encoded[kind] = json::array({static_cast<std::uint64_t>(count.calls),
                                     static_cast<std::uint64_t>(count.rejected),
                                     static_cast<std::uint64_t>(count.earlier)});
    }
    return encoded;
}

json encodeRoots(const MeshReport &report)
{
    json roots = json::object();
    for (const auto &[kind, count] : report.roots) {
        roots[kind] = json::array({count.service, static_cast<std::uint8_t>(count.importance),
                                   count.offered, count.admitted, count.inFlight,
                                   count.lowerQuartileLatency, count.objective});
    }
    return roots;
}

double readAmount(const json &value)
{
    const auto amount = value.get<double>();
    if (!std::isfinite(amount) || amount < 0.0)
        throw json::other_error::create(500, "an amount is negative or not finite", &value);
    return amount;
}

RootCount readRoot(const json &value)
{
    const auto importance = value.at(1).get<std::uint8_t>();
    if (importance >= importanceLevels)
        throw json::other_error::create(501, "unknown importance", &value);
    return {value.at(0).get<std::string>(), static_cast<Importance>(importance),
            readAmount(value.at(2)),        readAmount(value.at(3)),
            readAmount(value.at(4)),        readAmount(value.at(5)),
            readAmount(value.at(6))};
}

MeshReport readReport(const json &parts)
{
    MeshReport report;
    report.nodeId = parts.at(0).get<std::string>();
    report.target.service = parts.at(1).get<std::string>();
    report.target.pressure = readAmount(parts.at(2));
    report.target.capacity = {readAmount(parts.at(3)), readAmount(parts.at(4))};
    for (const auto &[kind, service] : parts.at(5).items())
        report.target.enteredKinds.emplace(kind, service.get<std::string>());
    for (const auto &[kind, count] : parts.at(6).items())
        report.roots.emplace(kind, readRoot(count));
    for (const auto &[kind, seconds] : parts.at(7).items())
        report.work.emplace(kind, readAmount(seconds));
    if (parts.size() > callsIndex) {
        for (const auto &[kind, count] : parts.at(callsIndex).items())
            report.calls.emplace(kind, CallCount{readAmount(count.at(0)), readAmount(count.at(1)),
                                                 readAmount(count.at(2))});
    }
    return report;
}

MeshSummary readSummary(const json &parts)
{
    MeshSummary summary;
    summary.collector = parts.at(0).get<std::string>();
    summary.reports = parts.at(1).get<std::size_t>();
    for (const auto &[name, value] : parts.at(2).items()) {
        ServicePressure &pressure = summary.mesh.services[name];
        pressure.own = readAmount(value.at(0));
        pressure.below = readAmount(value.at(1));
        pressure.servicesBelow = value.at(2).get<std::set<std::string>>();
    }
    summary.mesh.nestedKinds = parts.at(3).get<std::set<std::string, std::less<>>>();
    for (const auto &[kind, share] : parts.at(4).items())
        summary.mesh.rootShares.emplace(kind, readAmount(share));
    if (parts.size() > rejectionsIndex) {
        const json &rejections = parts.at(rejectionsIndex);
        for (const auto &[service, share] : rejections.at(0).items())
            summary.mesh.rejectedShares.emplace(service, readAmount(share));
        for (const auto &[kind, share] : rejections.at(1).items())
            summary.mesh.treeShares.emplace(kind, readAmount(share));
    }
    return summary;
}

/// Decodes with a reader whose accessors throw on a wrong type or a missing element.
template<typename Value, typename Reader>
Result<Value> decodeWith(std::string_view bytes, Reader reader)
{
    try {
        return reader(parseCbor(bytes));
    } catch (const json::exception &exception) {
        return Error{Error::Kind::Invalid, std::string("malformed report: ") + exception.what()};
    }
}

} // namespace

std::string encodeReport(const MeshReport &report)
{
    json parts = json::array({report.nodeId, report.target.service, report.target.pressure,
                              report.target.capacity.slots, report.target.capacity.wait,
                              json(report.target.enteredKinds), encodeRoots(report),
                              json(report.work)});
    if (!report.calls.empty())
        parts.push_back(encodeCalls(report.calls));
    std::string bytes;
    json::to_cbor(parts, bytes);
    return bytes;
}

Result<MeshReport> decodeReport(std::string_view bytes)
{
    return decodeWith<MeshReport>(bytes, readReport);
}

std::string encodeSummary(const MeshSummary &summary)
{
    json services = json::object();
    for (const auto &[name, pressure] : summary.mesh.services) {
        services[name] = json::array({pressure.own, pressure.below, json(pressure.servicesBelow)});
    }
    json parts = json::array({summary.collector, summary.reports, services,
                              json(summary.mesh.nestedKinds), json(summary.mesh.rootShares)});
    if (!summary.mesh.rejectedShares.empty())
        parts.push_back(
                json::array({json(summary.mesh.rejectedShares), json(summary.mesh.treeShares)}));
    std::string bytes;
    json::to_cbor(parts, bytes);
    return bytes;
}

Result<MeshSummary> decodeSummary(std::string_view bytes)
{
    return decodeWith<MeshSummary>(bytes, readSummary);
}

} // namespace chive
