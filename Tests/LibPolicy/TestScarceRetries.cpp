#include <LibPolicy/Retry.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace chive;

namespace {

constexpr Milliseconds tick{50};
constexpr double tickSeconds = 0.05;
constexpr int ticksAbove = 5;  ///< Work of a tree before its first call of the leaf.
constexpr int callsOfTree = 5; ///< One after the other, a tick each.
constexpr double retryRatio = 0.2;
constexpr double retryConstant = 49.0;
constexpr Milliseconds retryWindow{10'000};
constexpr std::size_t nodes = 15;

struct KindOfRoot
{
    std::string name;
    Importance importance = Importance::Normal;
    double perSecond = 0.0;
    double value = 1.0;
};

struct Totals
{
    double offered = 0.0;
    double completed = 0.0;

    [[nodiscard]] double completedShare() const { return completed / offered; }
};

/// How a call that was rejected is retried.
enum class Policy {
    /// At each target once, with tokens that the current calls add.
    EachTargetOnce,
    /// Also at targets that rejected it, with the tokens that sharedLimits() sets.
    RejectingTargetsToo,
};

/// Call trees of several kinds that all call one leaf on three targets, which have free slots and
/// reject a share of the calls. A tree breaks off where a call is given up. Three nodes make the
/// calls.
class SharedLeaf
{
public:
    SharedLeaf(Policy policy, unsigned seed)
        : mostAttempts_(policy == Policy::EachTargetOnce ? 3 : 8)
        , random_(seed)
    {
        for (RetryBudget &budget : budgets_) {
            budget.limits = sharedLimits(retryRatio, retryConstant, retryWindow, nodes);
            if (policy == Policy::RejectingTargetsToo)
                continue;
            budget.limits.perFirstAttempt = 0.65 * retryRatio;
            budget.limits.perFirstAttemptLater = {0.0, 0.0};
        }
    }

    void runFor(double seconds, const std::vector<KindOfRoot> &kinds, double acceptedShare)
    {
        for (double passed = 0.0; passed < seconds; passed += tickSeconds, now_ += tick) {
            for (const KindOfRoot &kind : kinds)
                offer(kind);
            std::erase_if(trees_, [&](Tree &tree) { return !step(tree, acceptedShare); });
        }
    }

    void resetTotals() { totals_.clear(); }
    [[nodiscard]] const Totals &of(const std::string &kind) { return totals_[kind]; }

    [[nodiscard]] double value(const std::vector<KindOfRoot> &kinds)
    {
        double sum = 0.0;
        for (const KindOfRoot &kind : kinds)
            sum += kind.value * totals_[kind.name].completed;
        return sum;
    }

private:
    struct Tree
    {
        KindOfRoot kind;
        double draw = 0.0;
        std::size_t node = 0;
        int ticksLeft = ticksAbove;
        int callsLeft = callsOfTree;
        int attempts = 0; ///< Of the call that is out.
    };

    double random() { return std::uniform_real_distribution<double>(0.0, 1.0)(random_); }

    void offer(const KindOfRoot &kind)
    {
        for (due_[kind.name] += kind.perSecond * tickSeconds; due_[kind.name] >= 1.0;
             due_[kind.name] -= 1.0) {
            totals_[kind.name].offered += 1.0;
            trees_.push_back({kind, random(), random_() % budgets_.size()});
        }
    }

    /// Lets a tree work or make its next call; false when it broke off or is complete.
    bool step(Tree &tree, double acceptedShare)
    {
        if (tree.ticksLeft > 0) {
            --tree.ticksLeft;
            return true;
        }
        if (tree.attempts++ == 0)
            noteFirstAttempt(budgets_[tree.node], now_);
        if (random() >= acceptedShare)
            return tree.attempts < mostAttempts_ && mayRetry(tree);
        tree.attempts = 0;
        if (--tree.callsLeft > 0)
            return true;
        totals_[tree.kind.name].completed += 1.0;
        return false;
    }

    bool mayRetry(const Tree &tree)
    {
        Call call;
        call.importance = tree.kind.importance;
        call.treeDraw = tree.draw;
        call.repetition = Repetition::Idempotent;
        call.deadline = now_ + Milliseconds(700);
        Verdict verdict = notRun(Reason::Overloaded);
        verdict.hasReachedTarget = true;
        const Judged<Answer> result = verdict;
        AttemptOutcome end;
        end.result = &result;
        end.hasOtherTarget = true;
        end.isAtRejectingTarget = true;
        Allowance allowance;
        return takeRetry(call, end, allowance, budgets_[tree.node], now_);
    }

    int mostAttempts_;
    std::mt19937 random_;
    std::array<RetryBudget, 3> budgets_;
    std::map<std::string, double> due_;
    std::map<std::string, Totals> totals_;
    std::vector<Tree> trees_;
    TimePoint now_{std::chrono::hours(1)};
};

/// Two kinds that lead to the leaf, more than the retry bound can complete while it rejects calls.
const std::vector<KindOfRoot> surge{
        {"order", Importance::Critical, 120.0, 3.0},
        {"browse", Importance::Normal, 320.0, 1.0},
};
constexpr double acceptedInFault = 0.45;

} // namespace

TEST_CASE("Call trees whose common leaf rejects 55 of 100 calls")
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        SharedLeaf before(Policy::EachTargetOnce, seed);
        SharedLeaf now(Policy::RejectingTargetsToo, seed);
        for (SharedLeaf *mesh : {&before, &now})
            mesh->runFor(20.0, surge, 1.0);

        // Trees that began before the fault end in its first second.
        for (SharedLeaf *mesh : {&before, &now}) {
            mesh->runFor(1.0, surge, acceptedInFault);
            mesh->resetTotals();
            mesh->runFor(7.5, surge, acceptedInFault);
        }
        MESSAGE("value before ", before.value(surge), " now ", now.value(surge), " orders ",
                before.of("order").completed, " ", now.of("order").completed, " of ",
                now.of("order").offered, " browse ", before.of("browse").completed, " ",
                now.of("browse").completed);

        // Callers get more in the fault, the important kind first.
        CHECK(now.value(surge) > before.value(surge));
        CHECK(now.of("order").completedShare() >= now.of("browse").completedShare());

        // Nothing breaks off once it is over.
        now.runFor(1.0, surge, 1.0);
        now.resetTotals();
        now.runFor(2.0, surge, 1.0);
        for (const KindOfRoot &kind : surge)
            CHECK(now.of(kind.name).completedShare() >= 0.95);
    }
}

TEST_CASE("A leaf that rejects a tenth of the calls breaks no tree off")
{
    SharedLeaf mesh(Policy::RejectingTargetsToo, 1);
    mesh.runFor(20.0, surge, 1.0);
    mesh.resetTotals();
    mesh.runFor(10.0, surge, 0.9);
    for (const KindOfRoot &kind : surge)
        CHECK(mesh.of(kind.name).completedShare() >= 0.95);
}
