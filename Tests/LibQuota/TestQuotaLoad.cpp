#include "QuotaSimulation.h"

#include <doctest/doctest.h>

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <numeric>

using namespace chive;

namespace {

struct Load
{
    std::size_t nodes = 87;
    std::size_t customers = 86;
    double requests = 2'000; ///< A second, over all nodes.
    Milliseconds duration{10'000};
};

std::string nameOf(std::size_t customer)
{
    return "customer-" + std::to_string(customer);
}

/// The customers' shares of the demand; a few are large.
std::vector<double> sharesOf(std::size_t customers)
{
    std::vector<double> shares(customers);
    for (std::size_t i = 0; i < customers; ++i)
        shares[i] = 1.0 / static_cast<double>(i + 1);
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    for (double &share : shares)
        share /= sum;
    return shares;
}

struct Cost
{
    double messages = 0.0; ///< Sent a second.
    double bytes = 0.0;    ///< Sent a second.
};

struct Costs
{
    Cost mean;
    Cost most;
    double refused = 0.0; ///< Share of the requests.
    double waited = 0.0;  ///< Share of the requests.
    std::size_t memory = 0;
};

std::size_t memoryInUse()
{
    return mallinfo2().uordblks;
}

Costs costsOf(const Load &load)
{
    auto catalogue = std::make_shared<Catalogue>();
    catalogue->version = 1;
    const std::vector<double> shares = sharesOf(load.customers);
    for (std::size_t i = 0; i < load.customers; ++i) {
        const double rate = 1.6 * load.requests * shares[i];
        catalogue->customers[nameOf(i)] = {nameOf(i), {}, std::nullopt, {rate, rate}};
    }
    const std::size_t before = memoryInUse();
    QuotaSimulation::Options options;
    options.nodes = load.nodes;
    options.isMeasured = true;
    QuotaSimulation simulation(options);
    for (std::size_t i = 0; i < load.nodes; ++i)
        simulation.setCatalogue(i, catalogue);
    simulation.run(std::chrono::seconds(15)); // Buckets are empty at the start.
    std::exponential_distribution<double> gap(load.requests);
    std::discrete_distribution<std::size_t> customer(shares.begin(), shares.end());
    std::function<void()> next = [&] {
        simulation.after(
                std::chrono::nanoseconds(static_cast<std::int64_t>(gap(simulation.random()) * 1e9)),
                [&] {
                    const std::size_t node = simulation.random()() % load.nodes;
                    simulation.request(node, nameOf(customer(simulation.random())));
                    next();
                });
    };
    next();
    simulation.run(std::chrono::seconds(2)); // The demand is known from here on.
    const std::vector<QuotaSimulation::Traffic> begin = simulation.sent();
    simulation.run(load.duration);
    Costs costs;
    const double seconds = std::chrono::duration<double>(load.duration).count();
    for (std::size_t i = 0; i < load.nodes; ++i) {
        const auto &end = simulation.sent()[i];
        const Cost cost{static_cast<double>(end.messages - begin[i].messages) / seconds,
                        static_cast<double>(end.bytes - begin[i].bytes) / seconds};
        costs.mean.messages += cost.messages / static_cast<double>(load.nodes);
        costs.mean.bytes += cost.bytes / static_cast<double>(load.nodes);
        costs.most.messages = std::max(costs.most.messages, cost.messages);
        costs.most.bytes = std::max(costs.most.bytes, cost.bytes);
    }
    double granted = 0.0;
    double refused = 0.0;
    double waited = 0.0;
    for (std::size_t i = 0; i < load.customers; ++i) {
        const auto &record = simulation.record(nameOf(i));
        granted += static_cast<double>(record.uses.size());
        refused += static_cast<double>(record.refused);
        waited += static_cast<double>(record.waited);
    }
    costs.refused = refused / (granted + refused);
    costs.waited = waited / (granted + refused);
    costs.memory = (memoryInUse() - before) / load.nodes;
    return costs;
}

void print(const Load &load, const Costs &costs)
{
    MESSAGE(load.nodes << " nodes, " << load.customers << " customers, " << load.requests
                       << " requests a second: sent by a node " << costs.mean.messages
                       << " messages and " << costs.mean.bytes
                       << " bytes a second, the busiest allocator " << costs.most.messages
                       << " and " << costs.most.bytes << "; refused " << costs.refused
                       << ", waited " << costs.waited << ", memory of a node "
                       << costs.memory / 1'000 << " KB");
}

} // namespace

// Guards against control traffic and memory that grow with the number of nodes or customers.
TEST_CASE("Quotas take under a tenth of what a node may use for control")
{
    static constexpr double mostBytes = 29'000.0 / 10;
    static constexpr std::size_t mostMemory = 64'000'000 / 10;
    const auto check = [](const Load &load) {
        const Costs costs = costsOf(load);
        print(load, costs);
        CHECK(costs.mean.bytes < mostBytes);
        CHECK(costs.memory < mostMemory);
    };

    SUBCASE("with 87 nodes and 86 customers")
    {
        check({87, 86, 1'000});
        check({87, 86, 2'000});
    }

    SUBCASE("with 890 nodes and 10,000 customers")
    {
        check({890, 10'000, 38'000, Milliseconds(2'000)});
    }
}
