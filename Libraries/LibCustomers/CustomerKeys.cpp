#include <LibCustomers/CustomerKeys.h>

#include <LibCustomers/KeyDigest.h>

namespace chive {

CustomerKeys buildCustomerKeys(const Catalogue &catalogue, const CustomerKeys &previous)
{
    CustomerKeys table;
    table.version = catalogue.version;
    if (catalogue.version <= previous.version)
        table.withdrawn = previous.withdrawn;
    for (const auto &[name, customer] : catalogue.customers) {
        for (const std::string &digest : customer.keys) {
            if (!table.withdrawn.contains(digest))
                table.customers.emplace(digest, name);
        }
    }
    for (const auto &[digest, name] : previous.customers) {
        if (!table.customers.contains(digest))
            table.withdrawn.insert(digest);
    }
    return table;
}

std::string_view customerOf(const CustomerKeys &table, std::string_view key)
{
    if (key.empty() || table.customers.empty())
        return {};
    const auto found = table.customers.find(keyDigest(key));
    return found == table.customers.end() ? std::string_view() : found->second;
}

} // namespace chive
