#include "QuotaSimulation.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace chive;

namespace {

const std::string customer = "northwind";

std::shared_ptr<const Catalogue> catalogueWith(double rate)
{
    auto catalogue = std::make_shared<Catalogue>();
    catalogue->version = 1;
    catalogue->customers[customer] = {customer, {}, std::nullopt, {rate, rate}};
    return catalogue;
}

/// Random arrivals at some of the nodes.
class Arrivals
{
public:
    Arrivals(QuotaSimulation &simulation, double demand, std::size_t places)
        : simulation_(simulation)
        , gap_(demand)
        , places_(places)
    {
        next();
    }

    void setDemand(double demand) { gap_ = std::exponential_distribution<double>(demand); }
    void setFirst(std::size_t first) { first_ = first; }

private:
    void next()
    {
        const auto delay = std::chrono::nanoseconds(
                static_cast<std::int64_t>(gap_(simulation_.random()) * 1e9));
        simulation_.after(delay, [this] {
            simulation_.request((first_ + simulation_.random()() % places_) % simulation_.nodes(),
                                customer);
            next();
        });
    }

    QuotaSimulation &simulation_;
    std::exponential_distribution<double> gap_;
    std::size_t places_;
    std::size_t first_ = 0;
};

struct Outcome
{
    double granted = 0.0;
    double refused = 0.0;
    double waited = 0.0;
    Milliseconds longestRetryAfter{0};
};

double shareOf(double part, const Outcome &result)
{
    return part / (result.granted + result.refused);
}

struct Load
{
    std::size_t nodes = 87;
    double rate = 100.0;
    double demand = 0.9; ///< Of the rate.
    std::size_t places = 87;
    bool isMoving = false; ///< The callers go on to other nodes every second.
    double notRun = 0.0;
    std::size_t seconds = 200;
};

Outcome resultOf(const Load &load)
{
    QuotaSimulation::Options options;
    options.nodes = load.nodes;
    QuotaSimulation simulation(options);
    for (std::size_t i = 0; i < load.nodes; ++i)
        simulation.setCatalogue(i, catalogueWith(load.rate));
    simulation.setNotRun(load.notRun);
    simulation.run(std::chrono::seconds(2)); // Every node is started and has its role.
    Arrivals arrivals(simulation, load.rate * load.demand, load.places);
    for (std::size_t second = 0; second < load.seconds; ++second) {
        if (load.isMoving)
            arrivals.setFirst(second * load.places);
        simulation.run(std::chrono::seconds(1));
    }
    const auto &record = simulation.record(customer);
    return {static_cast<double>(record.uses.size()), static_cast<double>(record.refused),
            static_cast<double>(record.waited), record.longestRetryAfter};
}

} // namespace

// Guards against refusing requests within the quota where tokens are spread over many nodes, expire
// unused or come late.
TEST_CASE("A customer below its rate is not refused")
{
    const auto check = [](Load load) {
        load.seconds = static_cast<std::size_t>(std::max(200.0, 20'000.0 / load.rate));
        const Outcome result = resultOf(load);
        MESSAGE(load.rate << " a second at " << load.places << " of " << load.nodes
                          << " nodes: " << result.refused << " refused, " << result.waited
                          << " waited, of " << result.granted + result.refused);
        CHECK(shareOf(result.refused, result) < 0.005);
    };

    SUBCASE("whose callers are at three nodes of 87")
    {
        for (double rate : {10.0, 40.0, 100.0, 400.0})
            check({87, rate, 0.9, 3});
    }

    SUBCASE("whose callers are at all nodes, also with a small rate")
    {
        check({60, 5.0, 0.9, 60});
        for (double rate : {2.0, 40.0, 100.0, 400.0})
            check({87, rate, 0.9, 87});
    }

    SUBCASE("whose callers move between nodes every second")
    {
        for (double rate : {5.0, 100.0, 400.0})
            check({87, rate, 0.9, 3, true});
    }

    SUBCASE("of whose requests some are refused later without having run")
    {
        check({87, 100.0, 0.9, 12, false, 0.3});
    }
}

// Guards against buckets that lose their tokens while nobody asks.
TEST_CASE("A customer that comes back after a pause has its burst")
{
    QuotaSimulation simulation({});
    for (std::size_t i = 0; i < simulation.nodes(); ++i)
        simulation.setCatalogue(i, catalogueWith(100.0));
    simulation.run(std::chrono::seconds(90));
    for (std::size_t round = 0; round < 2; ++round) {
        for (std::size_t i = 0; i < 40; ++i)
            simulation.request(i % simulation.nodes(), customer);
        simulation.run(std::chrono::seconds(90));
    }
    CHECK(simulation.record(customer).uses.size() == 80);
    CHECK(simulation.record(customer).refused == 0);
}

TEST_CASE("A customer above its rate")
{
    SUBCASE("gets all of its rate, and Retry-After stays within a few seconds")
    {
        for (double rate : {5.0, 100.0}) {
            for (std::size_t places : {3, 60}) {
                const Outcome result = resultOf({60, rate, 3.0, places});
                const double served = result.granted / (200 * rate);
                MESSAGE(rate << " a second at " << places << " nodes: " << served
                             << " of the rate used, longest Retry-After "
                             << result.longestRetryAfter.count() << " ms");
                CHECK(served > 0.95);
                CHECK(result.longestRetryAfter <= Milliseconds(3'000));
            }
        }
    }
}
