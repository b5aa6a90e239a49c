#include <LibQuota/QuotaCounts.h>

#include <algorithm>

namespace chive {

namespace {

constexpr std::size_t mostCustomers = 64;
constexpr std::size_t mostLabels = 16;
/// A customer with one in so many decisions gets a label of its own.
constexpr std::uint64_t noticeablePart = 50;

} // namespace

void QuotaCounts::note(std::string_view customer, bool isGranted)
{
    ++all_;
    auto found = counts_.find(customer);
    if (found == counts_.end()) {
        Count count;
        if (counts_.size() >= mostCustomers) {
            const auto smallest = std::ranges::min_element(
                    counts_, {}, [](const auto &entry) { return entry.second.total; });
            count.total = smallest->second.total;
            counts_.erase(smallest);
        }
        found = counts_.emplace(std::string(customer), count).first;
    }
    ++found->second.total;
    ++(isGranted ? found->second.granted : found->second.refused);
}

std::vector<std::pair<std::string, QuotaCounts::Count>> QuotaCounts::largest(std::size_t most) const
{
    std::vector<std::pair<std::string, Count>> all(counts_.begin(), counts_.end());
    std::ranges::sort(all, std::ranges::greater{},
                      [](const auto &entry) { return entry.second.total; });
    all.resize(std::min(all.size(), most));
    return all;
}

std::string_view QuotaCounts::labelOf(std::string_view customer)
{
    const auto labelled = labels_.find(customer);
    if (labelled != labels_.end())
        return *labelled;
    const auto found = counts_.find(customer);
    const bool isNoticeable = found != counts_.end() && all_ >= noticeablePart
                              && found->second.total * noticeablePart >= all_;
    if (!isNoticeable || labels_.size() >= mostLabels)
        return "others";
    return *labels_.emplace(customer).first;
}

} // namespace chive
