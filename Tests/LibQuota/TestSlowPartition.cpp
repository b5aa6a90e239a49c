#include "QuotaWindows.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <numeric>

using namespace chive;

namespace {

const std::string customer = "northwind";

/// A partition in which each node notices only that its allocator is out of reach, one after the
/// other, and the other members not at all, until lists agree slowly after it has healed.
class UnnoticedPartition
{
public:
    explicit UnnoticedPartition(QuotaSimulation &simulation)
        : simulation_(simulation)
        , isCutOff_(simulation.nodes())
        , views_(simulation.nodes())
    {
        for (std::size_t i = 0; i < simulation.nodes(); ++i) {
            isCutOff_[i] = simulation.draw(0, 3) < 1;
            views_[i].resize(simulation.nodes());
            std::iota(views_[i].begin(), views_[i].end(), 0);
        }
    }

    void begin(bool isOneWay)
    {
        setCuts(true, isOneWay);
        for (std::size_t i = 0; i < simulation_.nodes(); ++i)
            check(i);
    }

    void heal()
    {
        isHealed_ = true;
        setCuts(false, false);
        for (std::size_t i = 0; i < simulation_.nodes(); ++i) {
            views_[i].resize(simulation_.nodes());
            std::iota(views_[i].begin(), views_[i].end(), 0);
            simulation_.after(Milliseconds(static_cast<int>(simulation_.draw(0, 4'000))),
                              [this, i] { simulation_.setView(i, views_[i]); });
        }
    }

private:
    void setCuts(bool isCut, bool isOneWay)
    {
        for (std::size_t i = 0; i < simulation_.nodes(); ++i) {
            for (std::size_t j = 0; j < simulation_.nodes(); ++j) {
                if (!isCutOff_[i] || isCutOff_[j])
                    continue;
                simulation_.cut(i, j, isCut);
                simulation_.cut(j, i, isCut && !isOneWay);
            }
        }
    }

    void check(std::size_t node)
    {
        const auto delay = Milliseconds(static_cast<int>(simulation_.draw(1'200, 1'900)));
        simulation_.after(delay, [this, node] {
            if (isHealed_)
                return;
            const std::size_t allocator = simulation_.allocatorFor(node, customer);
            if (isCutOff_[allocator] != isCutOff_[node]) {
                std::erase(views_[node], allocator);
                simulation_.setView(node, views_[node]);
            }
            check(node);
        });
    }

    QuotaSimulation &simulation_;
    std::vector<bool> isCutOff_;
    std::vector<std::vector<std::size_t>> views_;
    bool isHealed_ = false;
};

} // namespace

// Guards against two sides of a partition that refill at the whole rate each while their member
// lists have not agreed yet, which takes many seconds with many nodes.
TEST_CASE("The quota holds while a partition is noticed slowly")
{
    double worst = 0.0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        QuotaSimulation::Options options;
        options.nodes = 12;
        options.seed = seed;
        QuotaSimulation simulation(options);
        constexpr double rate = 100.0;
        for (std::size_t i = 0; i < simulation.nodes(); ++i)
            simulation.setCatalogue(i, catalogueWith(customer, rate, 1));
        std::function<void()> next = [&] {
            simulation.after(Microseconds(static_cast<int>(simulation.draw(0, 5'000))), [&] {
                simulation.request(simulation.random()() % simulation.nodes(), customer);
                next();
            });
        };
        next();
        UnnoticedPartition partition(simulation);
        simulation.run(std::chrono::seconds(5));
        partition.begin(seed % 2 == 0);
        simulation.run(std::chrono::seconds(15));
        partition.heal();
        simulation.run(std::chrono::seconds(10));
        const double result = worstWindow(simulation.record(customer).uses,
                                          {{rate, simulation.now() - std::chrono::hours(1)}});
        worst = std::max(worst, result);
        CHECK_MESSAGE(result <= 1.0, "seed " << seed);
    }
    MESSAGE("the fullest window used " << worst << " of what is allowed");
}
