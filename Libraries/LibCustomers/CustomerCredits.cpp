#include <LibCustomers/CustomerCredits.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <span>

namespace chive {

namespace {

/// Entries in which one key may be stored.
constexpr std::size_t associativity = 4;
/// Maximum credit in requests, so that a pause in the arrivals does not allow a burst.
constexpr float maximumCredit = 2.0F;
/// A request may be admitted this much earlier or later than the credit of its customer says, so
/// that the admissions of all customers are evenly spread.
constexpr float maximumShift = 0.5F;
/// Shift for each request by which the admissions of all customers are early or late, and the
/// largest number that is remembered.
constexpr float shiftPerRequest = 0.25F;
constexpr float maximumBalance = 10.0F;

std::uint64_t digestOf(const CustomerCreditKey &key)
{
    XXH64_hash_t digest = XXH3_64bits(key.kind.data(), key.kind.size());
    digest = XXH3_64bits_withSeed(key.service.data(), key.service.size(), digest);
    digest = XXH3_64bits_withSeed(key.customer.data(), key.customer.size(), digest);
    return std::max<std::uint64_t>(digest, 1); // 0 marks an unused entry.
}

CustomerCredits::Entry &entryOf(CustomerCredits &credits, std::uint64_t key, double draw)
{
    if (credits.entries.empty())
        credits.entries.resize(CustomerCredits::entryCount);
    const std::size_t first = key % (CustomerCredits::entryCount / associativity) * associativity;
    const std::span<CustomerCredits::Entry> set(&credits.entries[first], associativity);
    const std::uint32_t now = ++credits.decisions;
    auto found = std::ranges::find(set, key, &CustomerCredits::Entry::key);
    if (found == set.end()) {
        found = std::ranges::max_element(set, {}, [now](const CustomerCredits::Entry &entry) {
            return now - entry.usedAt; // The counter may wrap around.
        });
        *found = {key, static_cast<float>(draw), now};
    }
    found->usedAt = now;
    return *found;
}

} // namespace

bool admitCustomer(CustomerCredits &credits, const CustomerCreditKey &key, double share,
                   double draw)
{
    if (share >= 1.0)
        return true;
    const auto earned = static_cast<float>(share);
    CustomerCredits::Entry &all = entryOf(credits, digestOf({key.kind, key.service, {}}), 0.0);
    all.credit = std::min(maximumBalance, all.credit + earned);
    CustomerCredits::Entry &own = entryOf(credits, digestOf(key), draw);
    own.credit = std::min(maximumCredit, own.credit + earned);
    const float shift = std::clamp(shiftPerRequest * all.credit, -maximumShift, maximumShift);
    if (own.credit < 1.0F - shift)
        return false;
    own.credit -= 1.0F;
    all.credit = std::max(-maximumBalance, all.credit - 1.0F);
    return true;
}

} // namespace chive
