#include <LibPolicy/Retry.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace chive;

namespace {

constexpr TimePoint start{std::chrono::hours(1)};

/// The calls of one tree, each with its current allowance.
struct Tree
{
    struct Node
    {
        std::size_t parent = 0;
        Allowance lent;
        Allowance held;
        bool isOpen = true;
    };

    std::vector<Node> nodes;
    std::uint64_t retriesSpent = 0;
    std::uint64_t callsMade = 0;
};

Allowance totalHeldBy(const Tree &tree)
{
    Allowance sum;
    for (const Tree::Node &node : tree.nodes) {
        if (!node.isOpen)
            continue;
        sum.retries += node.held.retries;
        sum.calls += node.held.calls;
    }
    return sum;
}

void callChild(Tree &tree, std::size_t parent)
{
    const std::optional<Allowance> lent = reserveForChild(tree.nodes[parent].held);
    if (!lent)
        return;
    ++tree.callsMade;
    tree.nodes.push_back({parent, *lent, *lent, true});
}

void spendRetry(Tree &tree, std::size_t node)
{
    if (tree.nodes[node].held.retries == 0)
        return;
    --tree.nodes[node].held.retries;
    ++tree.retriesSpent;
}

void endCall(Tree &tree, std::size_t node, bool isAnswerLost)
{
    if (node == 0 || !tree.nodes[node].isOpen)
        return;
    const bool hasOpenChild = std::ranges::any_of(tree.nodes, [&](const Tree::Node &child) {
        return child.isOpen && child.parent == node && &child != &tree.nodes[node];
    });
    if (hasOpenChild)
        return;
    tree.nodes[node].isOpen = false;
    const Tree::Node &ended = tree.nodes[node];
    if (!isAnswerLost)
        returnUnspent(tree.nodes[ended.parent].held, ended.lent, ended.held);
}

Judged<Answer> refused(Execution execution, Reason reason)
{
    Verdict verdict = notRun(reason);
    verdict.execution = execution;
    return verdict;
}

struct Attempt
{
    Call call;
    AttemptOutcome end;
    Judged<Answer> result = notRun(Reason::Overloaded);
    Allowance allowance{2, 8};
    RetryBudget budget;

    Attempt()
    {
        call.deadline = start + Milliseconds(1'000);
        call.repetition = Repetition::AtMostOnce;
        end.hasOtherTarget = true;
    }

    bool retries()
    {
        end.result = &result;
        return takeRetry(call, end, allowance, budget, start);
    }
};

} // namespace

TEST_CASE("The allowance of a call tree")
{
    SUBCASE("a child receives half of the rest, rounded up, and returns what is unspent")
    {
        Allowance parent{3, 6};
        const Allowance lent = reserveForChild(parent).value();
        CHECK(lent == Allowance{2, 3});
        CHECK(parent == Allowance{1, 2});
        returnUnspent(parent, lent, {1, 3});
        CHECK(parent == Allowance{2, 5});
    }

    SUBCASE("a child cannot return more than it received")
    {
        Allowance parent{0, 0};
        returnUnspent(parent, {1, 1}, {9, 9});
        CHECK(parent == Allowance{1, 1});
    }

    SUBCASE("without calls left there is no nested call")
    {
        Allowance parent{5, 0};
        CHECK_FALSE(reserveForChild(parent).has_value());
    }

    SUBCASE("no sequence of calls, retries, returns and lost answers exceeds the grant")
    {
        const bool holds = rc::check([] {
            const auto retries = *rc::gen::inRange(0U, 20U);
            const auto calls = *rc::gen::inRange(0U, 100U);
            Tree tree;
            tree.nodes.push_back({0, {retries, calls}, {retries, calls}, true});
            const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
                    rc::gen::arbitrary<std::uint32_t>());
            for (const std::uint32_t step : steps) {
                const std::size_t node = (step / 8) % tree.nodes.size();
                if (!tree.nodes[node].isOpen)
                    continue;
                if (step % 8 < 4)
                    callChild(tree, node);
                else if (step % 8 == 4)
                    spendRetry(tree, node);
                else
                    endCall(tree, node, step % 8 == 5);
                const Allowance held = totalHeldBy(tree);
                RC_ASSERT(held.retries + tree.retriesSpent <= retries);
                RC_ASSERT(held.calls + tree.callsMade <= calls);
            }
        });
        CHECK(holds);
    }
}

TEST_CASE("Retry decisions")
{
    Attempt attempt;

    SUBCASE("work that did not run is retried, also when it may run only once")
    {
        CHECK(attempt.retries());
        CHECK(attempt.allowance.retries == 1);
    }

    SUBCASE("work that may have run is retried only when it is idempotent")
    {
        attempt.result = refused(Execution::MayHaveRun, Reason::LinkLost);
        CHECK_FALSE(attempt.retries());
        attempt.call.repetition = Repetition::Guarded;
        CHECK_FALSE(attempt.retries());
        attempt.call.repetition = Repetition::Idempotent;
        CHECK(attempt.retries());
    }

    SUBCASE("a failure that a lower hop has retried is not retried again")
    {
        attempt.end.failedBelow = true;
        CHECK_FALSE(attempt.retries());
        attempt.end.failedBelow = false;
        attempt.result.error().retriedBelow = true;
        CHECK_FALSE(attempt.retries());
    }

    SUBCASE("no attempt is started that cannot meet its deadline")
    {
        attempt.end.expectedLatency = Milliseconds(1'000);
        CHECK_FALSE(attempt.retries());
    }

    SUBCASE("nothing is retried without another target or for a reason that holds everywhere")
    {
        attempt.end.hasOtherTarget = false;
        CHECK_FALSE(attempt.retries());
        attempt.end.hasOtherTarget = true;
        attempt.result = refused(Execution::NotRun, Reason::DuplicateKey);
        CHECK_FALSE(attempt.retries());
    }

    SUBCASE("the request's allowance is an upper bound")
    {
        CHECK(attempt.retries());
        CHECK(attempt.retries());
        CHECK_FALSE(attempt.retries());
    }

    SUBCASE("after a temporary error status the work counts as possibly run")
    {
        attempt.result = Answer{503, {}, nullptr};
        CHECK_FALSE(attempt.retries());
        attempt.call.repetition = Repetition::Idempotent;
        CHECK(attempt.retries());
    }
}

TEST_CASE("The retry budget of a service")
{
    Attempt attempt;
    int granted = 0;
    for (int i = 0; i < 1'000; ++i) {
        noteFirstAttempt(attempt.budget, start);
        attempt.allowance = {2, 8};
        granted += attempt.retries() ? 1 : 0;
    }
    CHECK(granted >= 100);
    CHECK(granted <= 104);
}

TEST_CASE("A scarce budget completes some trees of calls instead of a few calls of each")
{
    // Every target refuses a third of the calls; a tree completes only if all of its eight calls
    // do.
    constexpr int trees = 4'000;
    constexpr int callsInTree = 8;
    constexpr double refusedShare = 1.0 / 3.0;
    const auto completed = [&](double reservedShare) {
        std::minstd_rand random(1);
        std::uniform_real_distribution<double> draw(0.0, 1.0);
        RetryBudget budget;
        budget.limits = sharedLimits(0.2, 0.0, Milliseconds(10'000), 10);
        budget.limits.reservedShare = reservedShare;
        Verdict refusal = notRun(Reason::Overloaded);
        refusal.hasReachedTarget = true;
        const Judged<Answer> refused = refusal;
        int whole = 0;
        TimePoint now = start;
        for (int tree = 0; tree < trees; ++tree, now += Milliseconds(2)) {
            Call call;
            call.deadline = now + Milliseconds(1'000);
            call.treeDraw = draw(random);
            bool isWhole = true;
            for (int i = 0; i < callsInTree; ++i) {
                noteFirstAttempt(budget, now);
                Allowance allowance{2, 0};
                bool isServed = draw(random) >= refusedShare;
                while (!isServed
                       && takeRetry(call, {&refused, false, true}, allowance, budget, now))
                    isServed = draw(random) >= refusedShare;
                isWhole = isWhole && isServed;
            }
            whole += isWhole ? 1 : 0;
        }
        return whole;
    };
    CHECK(completed(0.8) >= 1.5 * completed(0.0));
}
