#include <Node/Entry/CustomerMetrics.h>

#include <doctest/doctest.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

using namespace chive;

namespace {

/// The counted requests by customer.
std::map<std::string, double> countsIn(const prometheus::Registry &registry)
{
    std::map<std::string, double> counts;
    for (const auto &family : registry.Collect()) {
        for (const auto &metric : family.metric) {
            for (const auto &label : metric.label) {
                if (label.name == "customer")
                    counts[label.value] += metric.counter.value;
            }
        }
    }
    return counts;
}

Call callOf(const std::string &customer)
{
    Call call;
    call.customer = customer;
    return call;
}

} // namespace

TEST_CASE("The metrics by customer stay bounded however many customers there are")
{
    prometheus::Registry registry;
    CustomerMetrics metrics(registry);
    for (int i = 0; i < 20'000; ++i) {
        metrics.countRequest(callOf("small-" + std::to_string(i % 10'000)), Answer{});
        metrics.countRequest(callOf("large"), notRun(Reason::QuotaExceeded));
    }
    const auto counts = countsIn(registry);
    CHECK(counts.size() <= LargestCustomers::mostNamed + 1);
    CHECK(counts.at("large") == 20'000);
    CHECK(counts.contains("others"));
}

TEST_CASE("Requests without a customer and nested calls do not count as requests of customers")
{
    prometheus::Registry registry;
    CustomerMetrics metrics(registry);
    Call nested = callOf("north");
    nested.isNested = true;
    metrics.countRequest(nested, Answer{});
    metrics.countRequest(callOf(""), Answer{});
    CHECK(registry.Collect().empty());
}
