#include "QuotaWindows.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>

using namespace chive;

namespace {

const std::string customer = "northwind";
/// A configuration is in force everywhere after this time, and tokens lent before have expired 0.4
/// s later.
constexpr Milliseconds longestApply{2'100};
/// Two nodes act as the allocator for at most this long.
constexpr int longestSkew = 700;

/// The random faults of one run.
class Faults
{
public:
    Faults(QuotaSimulation &simulation, double rate)
        : simulation_(simulation)
        , isUp_(simulation.nodes(), true)
        , isCutOff_(simulation.nodes(), false)
        , limits_{{rate, simulation.now()}}
    {
        for (std::size_t i = 0; i < simulation.nodes(); ++i)
            simulation.setCatalogue(i, catalogueWith(customer, rate, 1));
    }

    void schedule(Milliseconds duration)
    {
        for (Milliseconds at{random(0, 2'000)}; at < duration;
             at += Milliseconds(random(300, 4'000)))
            simulation_.after(at, [this] { strike(); });
    }

    [[nodiscard]] const std::vector<Limit> &limits() const { return limits_; }

private:
    int random(int from, int until)
    {
        return std::uniform_int_distribution<int>(from, until)(simulation_.random());
    }

    std::size_t anyNode() { return static_cast<std::size_t>(random(0, nodeCount() - 1)); }
    [[nodiscard]] int nodeCount() const { return static_cast<int>(simulation_.nodes()); }

    void strike()
    {
        switch (random(0, 5)) {
        case 0:
            return partition();
        case 1:
            return restart(anyNode());
        case 2:
            return restart(simulation_.allocatorFor(anyNode(), customer));
        case 3:
            return freeze(simulation_.allocatorFor(anyNode(), customer));
        case 4:
            return suspectFalsely(simulation_.allocatorFor(anyNode(), customer));
        default:
            return changeLimit();
        }
    }

    /// Gives each node the members that it can reach, within the time that two nodes may both act.
    void spreadViews(int detection)
    {
        for (std::size_t i = 0; i < simulation_.nodes(); ++i) {
            simulation_.after(Milliseconds(detection + random(0, longestSkew)), [this, i] {
                std::vector<std::size_t> view;
                for (std::size_t j = 0; j < simulation_.nodes(); ++j) {
                    if (i == j || (isUp_[j] && isCutOff_[i] == isCutOff_[j]))
                        view.push_back(j);
                }
                simulation_.setView(i, view);
            });
        }
    }

    /// Members that are cut off are noticed one after the other, by each node at other times, as
    /// after a partition of many nodes.
    void spreadViewsSlowly(int detection)
    {
        for (std::size_t i = 0; i < simulation_.nodes(); ++i) {
            std::vector<std::size_t> lost;
            for (std::size_t j = 0; j < simulation_.nodes(); ++j) {
                if (isCutOff_[i] != isCutOff_[j])
                    lost.push_back(j);
            }
            std::shuffle(lost.begin(), lost.end(), simulation_.random());
            auto view = std::make_shared<std::vector<std::size_t>>(simulation_.nodes());
            std::iota(view->begin(), view->end(), 0);
            int at = detection;
            for (const std::size_t j : lost) {
                simulation_.after(Milliseconds(at), [this, i, j, view] {
                    if (isCutOff_[i] == isCutOff_[j])
                        return; // The partition has healed.
                    std::erase(*view, j);
                    simulation_.setView(i, *view);
                });
                at += random(0, 2'500);
            }
        }
    }

    void setCuts(bool isCut, bool isOneWay)
    {
        for (std::size_t i = 0; i < simulation_.nodes(); ++i) {
            for (std::size_t j = 0; j < simulation_.nodes(); ++j) {
                if (isCutOff_[i] && !isCutOff_[j]) {
                    simulation_.cut(i, j, isCut);
                    simulation_.cut(j, i, isCut && !isOneWay);
                }
            }
        }
    }

    void partition()
    {
        if (std::exchange(isBusy_, true))
            return;
        for (std::size_t i = 0; i < simulation_.nodes(); ++i)
            isCutOff_[i] = random(0, 2) == 0;
        setCuts(true, random(0, 1) == 0);
        const int detection = random(1'200, 4'000);
        if (random(0, 1) == 0)
            spreadViews(detection);
        else
            spreadViewsSlowly(detection);
        simulation_.after(Milliseconds(detection + random(1'000, 9'000)), [this] {
            setCuts(false, false);
            isCutOff_.assign(simulation_.nodes(), false);
            spreadViews(random(0, 1'000));
            simulation_.after(Milliseconds(2'000), [this] { isBusy_ = false; });
        });
    }

    /// A node that the others take for dead is not restarted, as both it and the one in its place
    /// would act as the allocator for long.
    void restart(std::size_t node)
    {
        if (!isUp_[node])
            return;
        simulation_.restart(node);
    }

    /// A long pause is detected and another node takes the role; a short one is not.
    void freeze(std::size_t node)
    {
        if (std::exchange(isBusy_, true))
            return;
        simulation_.freeze(node);
        const bool isLong = random(0, 1) == 0;
        const int pause = isLong ? random(2'500, 9'000) : random(50, 1'100);
        if (isLong) {
            isUp_[node] = false;
            spreadViews(1'300);
        }
        simulation_.after(Milliseconds(pause), [this, node] {
            simulation_.thaw(node);
            isUp_[node] = true;
            spreadViews(0);
            simulation_.after(Milliseconds(1'500), [this] { isBusy_ = false; });
        });
    }

    void suspectFalsely(std::size_t node)
    {
        if (std::exchange(isBusy_, true))
            return;
        std::vector<std::size_t> others(simulation_.nodes());
        std::iota(others.begin(), others.end(), 0);
        const std::vector<std::size_t> all = others;
        std::erase(others, node);
        for (std::size_t i = 0; i < simulation_.nodes(); ++i) {
            if (i == node)
                continue;
            simulation_.after(Milliseconds(random(0, 100)),
                              [this, i, others] { simulation_.setView(i, others); });
            simulation_.after(Milliseconds(random(101, longestSkew)),
                              [this, i, all] { simulation_.setView(i, all); });
        }
        simulation_.after(Milliseconds(1'000), [this] { isBusy_ = false; });
    }

    void changeLimit()
    {
        if (simulation_.now() - limits_.back().since < binding)
            return;
        limits_.push_back({limits_.back().rate * simulation_.draw(0.2, 3.0), simulation_.now()});
        limits_.back().rate = std::min(limits_.back().rate, 400.0);
        const auto catalogue = catalogueWith(customer, limits_.back().rate, limits_.size());
        for (std::size_t i = 0; i < simulation_.nodes(); ++i) {
            const int delay = random(0, static_cast<int>(longestApply.count()));
            simulation_.after(Milliseconds(delay),
                              [this, i, catalogue] { simulation_.setCatalogue(i, catalogue); });
        }
    }

    QuotaSimulation &simulation_;
    std::vector<bool> isUp_;
    std::vector<bool> isCutOff_;
    std::vector<Limit> limits_;
    bool isBusy_ = false; ///< One fault of the member lists at a time.
};

/// Callers that move between nodes and change their demand.
class Callers
{
public:
    Callers(QuotaSimulation &simulation, double rate, double most)
        : simulation_(simulation)
        , rate_(rate)
        , most_(most)
    {
        move();
        next();
    }

private:
    void move()
    {
        places_.clear();
        const auto count = static_cast<std::size_t>(simulation_.draw(1, 4));
        for (std::size_t i = 0; i < count; ++i)
            places_.push_back(static_cast<std::size_t>(
                    simulation_.draw(0, static_cast<double>(simulation_.nodes()) - 0.001)));
        demand_ = std::min(most_, rate_ * simulation_.draw(0.3, 5.0));
        const auto pause = Milliseconds(static_cast<int>(simulation_.draw(100, 3'000)));
        simulation_.after(pause, [this] { move(); });
    }

    void next()
    {
        std::exponential_distribution<double> gap(demand_);
        const auto delay = std::chrono::nanoseconds(
                static_cast<std::int64_t>(gap(simulation_.random()) * 1e9));
        simulation_.after(delay, [this] {
            const auto place = static_cast<std::size_t>(
                    simulation_.draw(0, static_cast<double>(places_.size()) - 0.001));
            simulation_.request(places_[place], customer);
            next();
        });
    }

    QuotaSimulation &simulation_;
    double rate_;
    double most_;
    double demand_ = 1.0;
    std::vector<std::size_t> places_;
};

double worstOfRun(std::uint64_t seed)
{
    QuotaSimulation::Options options;
    std::mt19937_64 random(seed);
    options.seed = seed;
    options.nodes = 2 + random() % 5;
    options.loss = random() % 3 == 0 ? 0.1 : 0.0;
    options.longestDelay = Milliseconds(2 + random() % (random() % 4 == 0 ? 300 : 12));
    QuotaSimulation simulation(options);
    const double rate = std::exp(simulation.draw(std::log(2.0), std::log(80.0)));
    constexpr Milliseconds duration{14'000};
    Faults faults(simulation, rate);
    faults.schedule(duration);
    Callers callers(simulation, rate, 250.0);
    simulation.setNotRun(random() % 2 == 0 ? 0.0 : 0.3);
    simulation.run(duration);
    return worstWindow(simulation.record(customer).uses, faults.limits());
}

} // namespace

// Guards against sending more than the quota allows in any window while allocators fail, change or
// freeze, nodes are cut off, messages are lost or late, limits change and callers move.
TEST_CASE("The quota over all nodes holds under every fault")
{
    constexpr std::uint64_t seeds = 4'000;
    double worst = 0.0;
    std::uint64_t over = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const double result = worstOfRun(seed);
        worst = std::max(worst, result);
        if (result > 1.0) {
            ++over;
            MESSAGE("seed " << seed << " used " << result << " of what is allowed");
        }
    }
    MESSAGE(seeds << " seeds, the fullest window used " << worst << " of what is allowed");
    CHECK(over == 0);
}
