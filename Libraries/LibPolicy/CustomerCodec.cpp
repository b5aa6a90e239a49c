#include <LibPolicy/CustomerCodec.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chive {

namespace {

using nlohmann::json;

/// The first element of the part, by which it is found among the elements of a message.
constexpr auto partName = "customers";

/// Amounts are sent as integers, which take one to three bytes in place of nine. The unit is this
/// part of a request a second, or of the share 1.
constexpr double rateUnits = 100.0;
constexpr double shareUnits = 10'000.0;

std::uint32_t inUnits(double amount, double units)
{
    return static_cast<std::uint32_t>(std::clamp(std::round(amount * units), 1.0, 4e9));
}

double readUnits(const json &value, double units)
{
    if (!value.is_number_unsigned())
        throw json::other_error::create(502, "an amount of a customer is not a number", &value);
    return static_cast<double>(value.get<std::uint64_t>()) / units;
}

/// Amounts of each customer by column; 0 stands for none. Names are sent once this way.
using RowsByCustomer = std::map<std::string_view, json>;

void addColumn(RowsByCustomer &rows, std::size_t column, const AmountByCustomer &amounts,
               double units)
{
    for (const auto &[customer, amount] : amounts) {
        json &row = rows.try_emplace(customer, json::array()).first->second;
        while (row.size() < column)
            row.push_back(0U);
        row.push_back(inUnits(amount, units));
    }
}

/// Returns the part, or null.
const json *findPart(const json &parts, std::size_t first)
{
    for (std::size_t i = first; i < parts.size(); ++i) {
        const json &part = parts.at(i);
        if (part.is_array() && !part.empty() && part.front() == partName)
            return &part;
    }
    return nullptr;
}

json encodeSet(const CustomerSet &set)
{
    if (set.none())
        return nullptr;
    std::vector<std::uint8_t> bytes(set.size() / 8);
    for (std::size_t i = 0; i < set.size(); ++i) {
        if (set.test(i))
            bytes[i / 8] |= static_cast<std::uint8_t>(1U << (i % 8));
    }
    return json::binary(std::move(bytes));
}

CustomerSet readSet(const json &value)
{
    CustomerSet set;
    if (value.is_null())
        return set;
    if (!value.is_binary() || value.get_binary().size() * 8 != set.size())
        throw json::other_error::create(503, "a set of customers has another size", &value);
    const auto &bytes = value.get_binary();
    for (std::size_t i = 0; i < set.size(); ++i)
        set.set(i, ((static_cast<unsigned>(bytes[i / 8]) >> (i % 8)) & 1U) != 0);
    return set;
}

} // namespace

void appendOffered(json &parts, const CustomerReport &report)
{
    if (report.offered.empty())
        return;
    json kinds = json::array();
    RowsByCustomer rows;
    for (const auto &[kind, customers] : report.offered) {
        addColumn(rows, kinds.size(), customers, rateUnits);
        kinds.push_back(kind);
    }
    parts.push_back(
            json::array({partName, std::move(kinds), json(rows), encodeSet(report.others)}));
}

CustomerReport readOffered(const json &parts, std::size_t first)
{
    CustomerReport report;
    const json *part = findPart(parts, first);
    if (part == nullptr)
        return report;
    const json &kinds = part->at(1);
    for (const auto &[customer, rates] : part->at(2).items()) {
        for (std::size_t i = 0; i < rates.size(); ++i) {
            const double rate = readUnits(rates.at(i), rateUnits);
            if (rate > 0.0)
                report.offered[kinds.at(i).get<std::string>()][customer] = rate;
        }
    }
    report.others = readSet(part->at(3));
    return report;
}

void appendShares(json &parts, const CustomerAmounts &shares)
{
    if (shares.empty())
        return;
    std::map<AmountByCustomer, json> kinds; // By the shares that they have in common.
    for (const auto &[kind, ofKind] : shares)
        kinds.try_emplace(ofKind, json::array()).first->second.push_back(kind);
    json groups = json::array();
    RowsByCustomer rows;
    for (const auto &[ofGroup, names] : kinds) {
        addColumn(rows, groups.size(), ofGroup, shareUnits);
        groups.push_back(names);
    }
    parts.push_back(json::array({partName, std::move(groups), json(rows)}));
}

CustomerAmounts readShares(const json &parts, std::size_t first)
{
    CustomerAmounts shares;
    const json *part = findPart(parts, first);
    if (part == nullptr)
        return shares;
    const json &groups = part->at(1);
    for (const auto &[customer, row] : part->at(2).items()) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const double share = std::min(1.0, readUnits(row.at(i), shareUnits));
            if (share <= 0.0)
                continue;
            for (const json &kind : groups.at(i))
                shares[kind.get<std::string>()][customer] = share;
        }
    }
    return shares;
}

} // namespace chive
