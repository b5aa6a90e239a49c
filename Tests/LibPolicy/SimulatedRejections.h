#pragma once

#include <LibPolicy/Retry.h>
#include <LibPolicy/TreeBudget.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chive {

inline constexpr Milliseconds tick{10};
inline constexpr int ticksPerSecond = 100;
inline constexpr int ticksAbove = 10;   ///< Work of a tree before its first call of the leaf.
inline constexpr int ticksOfCall = 3;   ///< Of an accepted call.
inline constexpr int ticksToRetry = 2;  ///< A rejection and the pause after it.
inline constexpr int strandsOfTree = 2; ///< Chains of calls of the leaf that run at once.
inline constexpr int callsOfStrand = 4;
inline constexpr int mostAttempts = 12;
inline constexpr Milliseconds reportInterval{100};
inline constexpr Milliseconds summaryDelay{100}; ///< From a report to the entry nodes.
inline constexpr std::size_t callingNodes
        = 14; ///< Nodes beside targets of the service above the leaf.
inline constexpr double acceptedInFault = 0.45;
inline constexpr int ticksOfFault = 850;
inline constexpr int ticksOfWindow = 10 * ticksPerSecond;

struct KindOfRoot
{
    std::string name;
    Importance importance = Importance::Normal;
    double perSecond = 0.0;
    bool isTree = true; ///< Otherwise it makes one call of the leaf.
};

struct Deployment
{
    std::string name;
    std::size_t nodes = 0;
    SharedRetryBound bound;
    std::vector<KindOfRoot> kinds;
};

struct Totals
{
    double offered = 0.0;
    double refused = 0.0;
    double completed = 0.0;
    double failed = 0.0;
};

/// Whether the shares of the collector are used.
enum class Limits {
    Ignored,
    Used,
};

/// The roots of a deployment, the nodes that call its leaf service, and a collector.
class Simulation
{
public:
    Simulation(const Deployment &deployment, Limits limits, unsigned seed)
        : deployment_(deployment)
        , limits_(limits)
        , random_(seed)
    {
        const SharedRetryBound &bound = deployment.bound;
        statistics_.bound = bound;
        budgets_.assign(deployment.nodes,
                        sharedBudget(sharedLimits(bound.ratio, bound.constant, bound.window,
                                                  deployment.nodes, RetryPlanning::Trees)));
    }

    void runFor(int ticks, double acceptedShare)
    {
        for (int i = 0; i < ticks; ++i, now_ += tick) {
            requests_.push_back(0);
            retries_.push_back(0);
            for (const KindOfRoot &kind : deployment_.kinds)
                offer(kind);
            for (Strand &strand : strands_)
                step(strand, acceptedShare);
            std::erase_if(strands_, [](const Strand &strand) { return strand.callsLeft == 0; });
            if (static_cast<int>(requests_.size()) % (reportInterval / tick) == 0)
                report();
            while (!summaries_.empty() && now_ >= summaries_.front().at) {
                if (limits_ == Limits::Used)
                    limitsInUse_ = summaries_.front().limits;
                summaries_.pop_front();
            }
        }
    }

    [[nodiscard]] Totals &of(const std::string &kind) { return totals_[kind]; }
    void resetTotals() { totals_.clear(); }

    [[nodiscard]] Totals all(bool onlyTrees)
    {
        Totals sum;
        for (const KindOfRoot &kind : deployment_.kinds) {
            if (onlyTrees && !kind.isTree)
                continue;
            const Totals &totals = of(kind.name);
            sum.offered += totals.offered;
            sum.refused += totals.refused;
            sum.completed += totals.completed;
            sum.failed += totals.failed;
        }
        return sum;
    }

    /// The retries that the bound allows in the window that ends now.
    [[nodiscard]] double allowedRetries() const
    {
        return allowedRetries(static_cast<int>(requests_.size()));
    }

    /// The largest share of the allowed retries that was made in any window.
    [[nodiscard]] double usedShareOfBound() const
    {
        double most = 0.0;
        for (int end = ticksOfWindow; end <= static_cast<int>(retries_.size()); ++end)
            most = std::max(most, sumOf(retries_, end - ticksOfWindow, end) / allowedRetries(end));
        return most;
    }

private:
    struct Tree
    {
        KindOfRoot kind;
        double draw = 0.0;
        int strandsLeft = 0;
        bool hasFailed = false;
    };

    struct Strand
    {
        std::shared_ptr<Tree> tree;
        std::size_t node = 0;
        int ticksLeft = 0;
        int callsLeft = 0;
        int attempts = 0; ///< Of the call that is out.
        bool waitsForToken = false;
        TimePoint deadline;
    };

    struct Summary
    {
        TimePoint at;
        TreeLimits limits;
    };

    double random() { return std::uniform_real_distribution<double>(0.0, 1.0)(random_); }

    static double sumOf(const std::vector<int> &counts, int from, int to)
    {
        double sum = 0.0;
        for (int i = std::max(from, 0); i < std::max(to, 0); ++i)
            sum += counts[static_cast<std::size_t>(i)];
        return sum;
    }

    [[nodiscard]] double allowedRetries(int end) const
    {
        const int begin = end - ticksOfWindow;
        double requests = 0.0;
        for (const int before : {0, ticksOfWindow / 2, ticksOfWindow})
            requests = std::max(requests, sumOf(requests_, begin - before, end - before));
        return deployment_.bound.ratio * requests + deployment_.bound.constant;
    }

    void offer(const KindOfRoot &kind)
    {
        for (due_[kind.name] += kind.perSecond / ticksPerSecond; due_[kind.name] >= 1.0;
             due_[kind.name] -= 1.0) {
            Totals &totals = totals_[kind.name];
            totals.offered += 1.0;
            RootCount &count = rootCounts_[kind.name];
            count.importance = kind.importance;
            count.offered += 1.0;
            if (!isAdmitted(kind)) {
                totals.refused += 1.0;
                continue;
            }
            count.admitted += 1.0;
            auto tree = std::make_shared<Tree>();
            tree->kind = kind;
            tree->draw = random();
            tree->strandsLeft = kind.isTree ? strandsOfTree : 1;
            for (int i = 0; i < tree->strandsLeft; ++i) {
                Strand strand;
                strand.tree = tree;
                strand.node = random_() % (kind.isTree ? callingNodes : budgets_.size());
                strand.ticksLeft = kind.isTree ? ticksAbove : 0;
                strand.callsLeft = kind.isTree ? callsOfStrand : 1;
                strands_.push_back(std::move(strand));
            }
        }
    }

    bool isAdmitted(const KindOfRoot &kind)
    {
        const auto found = limitsInUse_.treeShares.find(kind.name);
        return admitRoot(credits_, {kind.name, "leaf"},
                         found == limitsInUse_.treeShares.end() ? 1.0 : found->second);
    }

    void step(Strand &strand, double acceptedShare)
    {
        if (strand.ticksLeft-- > 0)
            return;
        if (strand.waitsForToken) {
            awaitToken(strand);
            return;
        }
        budgets_[strand.node].isShifted = limitsInUse_.rejectedShares.contains("leaf");
        if (strand.attempts++ == 0) {
            strand.deadline = now_ + Milliseconds(700);
            noteFirstAttempt(budgets_[strand.node], now_);
            ++requests_.back();
        } else {
            ++retries_.back();
        }
        const bool isRejected = random() >= acceptedShare;
        noteCalls(calls_, strand.tree->kind.name, {1.0, isRejected ? 1.0 : 0.0, 0.0}, now_);
        if (!isRejected) {
            strand.attempts = 0;
            strand.ticksLeft = ticksOfCall;
            --strand.callsLeft;
        } else if (strand.attempts < mostAttempts && mayRetry(strand)) {
            strand.ticksLeft = ticksToRetry;
        } else {
            strand.waitsForToken = true;
            awaitToken(strand);
            return;
        }
        endIfDone(strand);
    }

    /// A call without a token waits for one while the collector limits the roots.
    void awaitToken(Strand &strand)
    {
        strand.ticksLeft = ticksToRetry;
        if (strand.attempts < mostAttempts && mayRetry(strand)) {
            strand.waitsForToken = false;
            return;
        }
        if (strand.tree->kind.isTree && limitsInUse_.rejectedShares.contains("leaf")
            && strand.attempts < mostAttempts && now_ + 3 * tick < strand.deadline)
            return;
        strand.tree->hasFailed = true;
        strand.callsLeft = 0;
        endIfDone(strand);
    }

    void endIfDone(Strand &strand)
    {
        if (strand.callsLeft == 0 && --strand.tree->strandsLeft == 0)
            (strand.tree->hasFailed ? totals_[strand.tree->kind.name].failed
                                    : totals_[strand.tree->kind.name].completed)
                    += 1.0;
    }

    bool mayRetry(const Strand &strand)
    {
        Call call;
        call.importance = strand.tree->kind.importance;
        call.treeDraw = strand.tree->draw;
        call.repetition = Repetition::Idempotent;
        call.deadline = strand.deadline;
        Verdict verdict = notRun(Reason::Overloaded);
        verdict.hasReachedTarget = true;
        const Judged<Answer> result = verdict;
        AttemptOutcome end;
        end.result = &result;
        end.hasOtherTarget = true;
        end.isAtRejectingTarget = true;
        Allowance allowance;
        return takeRetry(call, end, allowance, budgets_[strand.node], now_);
    }

    void report()
    {
        for (const auto &[kind, count] : rootCounts_)
            noteTreeRoots(statistics_, kind, count, now_);
        rootCounts_.clear();
        noteTreeCalls(statistics_, "leaf", takeCalls(calls_, now_), now_);
        summaries_.push_back({now_ + summaryDelay, treeLimits(statistics_, now_)});
    }

    const Deployment &deployment_;
    Limits limits_;
    std::mt19937 random_;
    std::vector<RetryBudget> budgets_; ///< Of all nodes, those with callers of the leaf first.
    std::map<std::string, double> due_;
    std::map<std::string, Totals> totals_;
    std::map<std::string, RootCount> rootCounts_;
    std::vector<Strand> strands_;
    std::vector<int> requests_; ///< First attempts by tick.
    std::vector<int> retries_;  ///< By tick.
    CallCounter calls_;
    TreeStatistics statistics_;
    std::deque<Summary> summaries_;
    TreeLimits limitsInUse_;
    RootAdmissionCredits credits_;
    TimePoint now_{std::chrono::hours(1)};
};

inline const std::array<Deployment, 2> deployments{
        Deployment{"search",
                   87,
                   {0.2, 117.0, Milliseconds(10'000)},
                   {{"search-query", Importance::Critical, 160.0},
                    {"pin-snapshot", Importance::High, 60.0},
                    {"repo-browse", Importance::Normal, 60.0, false}}},
        Deployment{"cold chain",
                   60,
                   {0.2, 93.0, Milliseconds(10'000)},
                   {{"spoil-claim", Importance::Critical, 120.0},
                    {"temp-read", Importance::Normal, 320.0},
                    {"trace-view", Importance::Normal, 60.0, false}}},
};

inline constexpr double retriesPerTree
        = strandsOfTree * callsOfStrand * (1.0 - acceptedInFault) / acceptedInFault;

struct FaultResult
{
    Totals trees;
    Totals all;
    double boundTrees = 0.0; ///< Trees that the retries of one window can complete.
    double usedShareOfBound = 0.0;
    double servedAfter = 0.0; ///< Share of the roots offered from one second after the end.
};

/// Half a minute without rejections, a fault, and four seconds after it.
inline FaultResult runFault(const Deployment &deployment, Limits limits, unsigned seed)
{
    Simulation mesh(deployment, limits, seed);
    mesh.runFor(30 * ticksPerSecond, 1.0);
    mesh.resetTotals();
    mesh.runFor(ticksOfFault, acceptedInFault);
    FaultResult result;
    result.trees = mesh.all(true);
    result.all = mesh.all(false);
    result.boundTrees = mesh.allowedRetries() / retriesPerTree;
    mesh.runFor(ticksPerSecond, 1.0);
    mesh.resetTotals();
    mesh.runFor(3 * ticksPerSecond, 1.0);
    result.servedAfter = mesh.all(false).completed / mesh.all(false).offered;
    mesh.runFor(12 * ticksPerSecond, acceptedInFault);
    result.usedShareOfBound = mesh.usedShareOfBound();
    return result;
}

} // namespace chive
