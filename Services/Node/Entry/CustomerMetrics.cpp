#include <Node/Entry/CustomerMetrics.h>

#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <string_view>

namespace chive {

namespace {

constexpr std::string_view others = "others";

} // namespace

CustomerMetrics::CustomerMetrics(prometheus::Registry &registry)
    : registry_(registry)
{}

void CustomerMetrics::countRequest(const Call &call, const Judged<Answer> &result)
{
    if (call.isNested || call.customer.empty())
        return;
    if (requests_ == nullptr)
        requests_ = &prometheus::BuildCounter()
                             .Name("chiverouter_customer_requests_total")
                             .Help("Callers' requests by customer (the largest, and others).")
                             .Register(registry_);
    const auto placing = largest_.add(call.customer);
    if (placing.ousted)
        remove(*placing.ousted);
    const std::string name(placing.isNamed ? std::string_view(call.customer) : others);
    const std::string outcome(result.has_value() ? "answer" : nameOf(result.error().reason));
    prometheus::Counter *&counter = counters_[name][outcome];
    if (counter == nullptr)
        counter = &requests_->Add({{"customer", name}, {"outcome", outcome}});
    counter->Increment();
}

/// The series would otherwise grow with every customer that was once among the largest.
void CustomerMetrics::remove(const std::string &customer)
{
    const auto found = counters_.find(customer);
    if (found == counters_.end() || customer == others)
        return;
    for (const auto &[outcome, counter] : found->second)
        requests_->Remove(counter);
    counters_.erase(found);
}

} // namespace chive
