#include <LibCustomers/LargestCustomers.h>

namespace chive {

namespace {

/// More counters than names, so that a customer is known well before it is named.
constexpr std::size_t mostCounters = 4 * LargestCustomers::mostNamed;
/// Requests after which all counts are halved, so that customers that have become quiet give way.
constexpr std::uint64_t halvingInterval = 8'192;
/// A customer replaces a named one at this many times its count, so that names do not alternate.
constexpr std::uint64_t replacementFactor = 2;

} // namespace

LargestCustomers::Placing LargestCustomers::add(std::string_view customer)
{
    halveIfDue();
    const auto counter = countRequest(customer);
    if (counter->second.isNamed)
        return {true, std::nullopt};
    if (named_ < mostNamed) {
        counter->second.isNamed = true;
        ++named_;
        return {true, std::nullopt};
    }
    const auto last = smallest(true);
    if (counter->second.count <= replacementFactor * last->second.count)
        return {false, std::nullopt};
    last->second.isNamed = false;
    counter->second.isNamed = true;
    return {true, last->first};
}

LargestCustomers::Counters::iterator LargestCustomers::countRequest(std::string_view customer)
{
    const auto found = counters_.find(customer);
    if (found != counters_.end()) {
        ++found->second.count;
        return found;
    }
    std::uint64_t count = 1;
    if (counters_.size() >= mostCounters) {
        const auto last = smallest(false);
        count += last->second.count;
        counters_.erase(last);
    }
    return counters_.emplace(customer, Counter{count, false}).first;
}

/// The counter with the lowest count among those that are named, or among the others.
LargestCustomers::Counters::iterator LargestCustomers::smallest(bool isNamed)
{
    auto least = counters_.end();
    for (auto one = counters_.begin(); one != counters_.end(); ++one) {
        if (one->second.isNamed == isNamed
            && (least == counters_.end() || one->second.count < least->second.count))
            least = one;
    }
    return least;
}

void LargestCustomers::halveIfDue()
{
    if (++sinceHalving_ < halvingInterval)
        return;
    sinceHalving_ = 0;
    for (auto &[name, counter] : counters_)
        counter.count /= 2;
}

} // namespace chive
