#pragma once

#include <LibCore/Result.h>
#include <LibCustomers/LargestCustomers.h>
#include <LibNode/Call.h>

#include <map>
#include <string>

namespace prometheus {
class Counter;
class Registry;
template<typename Metric>
class Family;
} // namespace prometheus

namespace chive {

/// Counts the requests of customers by outcome: of the largest customers by name, of all others
/// together.
class CustomerMetrics
{
public:
    explicit CustomerMetrics(prometheus::Registry &registry);

    /// Does nothing for a nested call and for a request without a customer.
    void countRequest(const Call &call, const Judged<Answer> &result);

private:
    using ByOutcome = std::map<std::string, prometheus::Counter *, std::less<>>;

    void remove(const std::string &customer);

    prometheus::Registry &registry_;
    prometheus::Family<prometheus::Counter> *requests_ = nullptr; ///< Since the first request.
    LargestCustomers largest_;
    std::map<std::string, ByOutcome, std::less<>> counters_; ///< By customer.
};

} // namespace chive
