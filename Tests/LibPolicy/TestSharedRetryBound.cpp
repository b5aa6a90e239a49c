#include <LibPolicy/Retry.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <span>
#include <vector>

using namespace chive;

namespace {

constexpr double ratio = 0.2;
constexpr double constant = 50.0;
constexpr Milliseconds window{10'000};
constexpr Milliseconds step{100};
constexpr std::size_t stepsInWindow = window / step;
constexpr std::size_t steps = 4 * stepsInWindow;

/// Totals of all nodes in each step.
struct History
{
    std::vector<int> requests = std::vector<int>(steps);
    std::vector<int> retries = std::vector<int>(steps);
};

/// When the nodes spend the tokens that they have.
enum class Spending {
    AtOnce,
    InFaults, ///< All nodes together, now and then, for a quarter of a window.
};

bool spends(Spending spending, std::size_t at)
{
    constexpr std::size_t period = 2 * stepsInWindow - 3;
    return spending == Spending::AtOnce || at % period < stepsInWindow / 4;
}

/// Whether the nodes' processes end and begin anew now and then, without a memory of what they
/// spent.
enum class Processes {
    Live,
    Restart, ///< Each node once in about half a window.
};

/// Simulates nodes that spend every token that they may, under a load that varies at random.
History spendGreedily(std::size_t nodes, unsigned seed, Spending spending = Spending::AtOnce,
                      Processes processes = Processes::Live, unsigned mostLoad = 30)
{
    std::mt19937 random(seed);
    const RetryBudget fresh = sharedBudget(sharedLimits(ratio, constant, window, nodes));
    std::vector<RetryBudget> budgets(nodes, fresh);
    History history;
    TimePoint now{std::chrono::hours(1)};
    unsigned load = std::min(10U, mostLoad);
    for (std::size_t i = 0; i < steps; ++i, now += step) {
        if (i % 20 == 0)
            load = random() % mostLoad;
        if (processes == Processes::Restart) {
            for (RetryBudget &budget : budgets) {
                if (random() % (stepsInWindow / 2) == 0)
                    budget = fresh;
            }
        }
        for (RetryBudget &budget : budgets) {
            const int requests = static_cast<int>(random() % (load + 1));
            for (int request = 0; request < requests; ++request)
                noteFirstAttempt(budget, now);
            history.requests[i] += requests;
            while (spends(spending, i) && hasTokens(budget, 1.0, now)) {
                takeTokens(budget, 1.0);
                ++history.retries[i];
            }
        }
    }
    return history;
}

int sumOf(const std::vector<int> &counts, std::size_t from)
{
    const auto part = std::span(counts).subspan(from, stepsInWindow);
    return std::accumulate(part.begin(), part.end(), 0);
}

} // namespace

TEST_CASE("Nodes that spend every token stay within the shared bound")
{
    for (const std::size_t nodes : {1, 3, 10, 17, 90}) {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            CAPTURE(nodes);
            CAPTURE(seed);
            const History history = spendGreedily(nodes, seed);
            int mostRetries = 0;
            for (std::size_t from = stepsInWindow; from + stepsInWindow <= steps; ++from) {
                const int requests = std::max(sumOf(history.requests, from),
                                              sumOf(history.requests, from - stepsInWindow));
                const int retries = sumOf(history.retries, from);
                REQUIRE(retries <= ratio * requests + constant);
                mostRetries = std::max(mostRetries, retries);
            }
            CHECK(mostRetries > 0);
        }
    }
}

TEST_CASE("Nodes that save tokens for a fault stay within the shared bound")
{
    for (const std::size_t nodes : {1, 3, 10, 17, 90, 300}) {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            CAPTURE(nodes);
            CAPTURE(seed);
            const History history = spendGreedily(nodes, seed, Spending::InFaults);
            for (std::size_t from = stepsInWindow; from + stepsInWindow <= steps; ++from) {
                const int requests = std::max({sumOf(history.requests, from),
                                               sumOf(history.requests, from - stepsInWindow / 2),
                                               sumOf(history.requests, from - stepsInWindow)});
                REQUIRE(sumOf(history.retries, from) <= ratio * requests + constant);
            }
        }
    }
}

TEST_CASE("Nodes that restart spend more than the shared bound")
{
    for (const unsigned load : {1, 2, 30}) {
        for (const std::size_t nodes : {10, 17, 90, 300}) {
            CAPTURE(load);
            CAPTURE(nodes);
            const History history
                    = spendGreedily(nodes, 1, Spending::AtOnce, Processes::Restart, load);
            for (std::size_t from = stepsInWindow; from + stepsInWindow <= steps; ++from) {
                const int requests = std::max({sumOf(history.requests, from),
                                               sumOf(history.requests, from - stepsInWindow / 2),
                                               sumOf(history.requests, from - stepsInWindow)});
                REQUIRE(sumOf(history.retries, from) <= ratio * requests + constant);
            }
        }
    }
}

TEST_CASE("Nodes whose tokens come from the window before stay within the shared bound")
{
    // Every node changes its mode at times of its own, or all at once, while loads move between two
    // halves of the nodes, fall and return. All tokens are spent, always or in the faults.
    for (const std::size_t nodes : {1, 10, 17, 90}) {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            CAPTURE(nodes);
            CAPTURE(seed);
            std::mt19937 random(seed);
            const RetryBudget fresh = sharedBudget(
                    sharedLimits(ratio, constant, window, nodes, RetryPlanning::Trees));
            std::vector<RetryBudget> budgets(nodes, fresh);
            constexpr std::size_t length = 2 * steps;
            History history{std::vector<int>(length), std::vector<int>(length)};
            TimePoint now{std::chrono::hours(1)};
            for (std::size_t i = 0; i < length; ++i, now += step) {
                const bool isFault = i % 270 >= 185;
                const bool isMoved = seed >= 3 && i % 400 >= 200;
                for (std::size_t node = 0; node < nodes; ++node) {
                    RetryBudget &budget = budgets[node];
                    if (seed % 2 == 0)
                        budget.isShifted = isFault;
                    else if (random() % 100 == 0)
                        budget.isShifted = !budget.isShifted;
                    const bool isIdle = isFault || (seed >= 3 && (node % 2 == 0) == isMoved);
                    const int requests = static_cast<int>(random() % (isIdle ? 3 : 30));
                    for (int request = 0; request < requests; ++request)
                        noteFirstAttempt(budget, now);
                    history.requests[i] += requests;
                    while ((isFault || seed % 3 == 0) && hasTokens(budget, 1.0, now)) {
                        takeTokens(budget, 1.0);
                        ++history.retries[i];
                    }
                }
            }
            for (std::size_t from = stepsInWindow; from + stepsInWindow <= length; ++from) {
                const int requests = std::max({sumOf(history.requests, from),
                                               sumOf(history.requests, from - stepsInWindow / 2),
                                               sumOf(history.requests, from - stepsInWindow)});
                REQUIRE(sumOf(history.retries, from) <= ratio * requests + constant);
            }
        }
    }
}
