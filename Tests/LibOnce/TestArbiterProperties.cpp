#include "SimulatedLog.h"

#include <LibOnce/PermissionArbiter.h>

#include <doctest/doctest.h>

#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace chive;
using chive::test::SimulatedLog;

namespace {

constexpr std::size_t nodeCount = 3;
constexpr std::size_t keyCount = 6;
constexpr Milliseconds longestDeadline{3'000};

/// Simulates the nodes of one service on one log. Each step is drawn from a generator with the
/// given seed. Faults are restarts, lost, duplicate and delayed appends, lost append responses,
/// stale reads, clock jumps and retention.
class World
{
public:
    World(std::uint32_t seed, Milliseconds keyLifetime)
        : random_(seed)
        , keyLifetime_(keyLifetime)
    {
        for (std::size_t i = 0; i < nodeCount; ++i)
            restart(i);
    }

    void step()
    {
        const std::size_t node = draw(nodeCount);
        switch (draw(14)) {
        case 0:
        case 1:
            ask(node, "key-" + std::to_string(draw(keyCount)), draw(8) == 0 ? "other" : "same");
            break;
        case 2:
        case 3:
            sendBatch(node);
            break;
        case 4:
        case 5:
        case 6:
            settleAppend();
            break;
        case 7:
        case 8:
        case 9:
            read(node);
            break;
        case 10:
            endCall();
            break;
        case 11:
            now_ += Milliseconds(draw(400));
            nodes_[node].arbiter->handleTimeouts(now_);
            break;
        case 12:
            if (draw(4) == 0)
                writeSnapshot(node);
            else if (!delayed_.empty())
                land(takeRandom(delayed_));
            break;
        case 13:
            if (draw(10) == 0)
                restart(node);
            else if (draw(20) == 0)
                log_.retainFrom(log_.first + draw(log_.end() - log_.first + 1));
            break;
        }
        collectDecisions();
    }

    void run(std::size_t steps)
    {
        for (std::size_t i = 0; i < steps; ++i)
            step();
    }

    /// Requests a new key, without further faults; false if it is not granted within 10 rounds.
    /// True if no node has a complete table.
    bool grantsNewKey()
    {
        for (Append &append : appends_)
            land(append);
        appends_.clear();
        for (std::size_t i = 0; i < nodeCount; ++i) {
            readAll(i);
            collectDecisions();
            if (!nodes_[i].arbiter->fold().isComplete())
                continue;
            const std::uint64_t token = nextToken_;
            ask(i, "new key", "same");
            for (int round = 0; round < 10 && !granted_.contains(token); ++round) {
                sendBatch(i);
                if (!appends_.empty())
                    land(takeRandom(appends_));
                readAll(i);
                collectDecisions();
            }
            return granted_.contains(token);
        }
        return true;
    }

    std::size_t grants() const { return granted_.size(); }
    std::size_t repeats() const { return repeats_; }
    std::size_t refusals() const { return refusals_; }

private:
    struct SimulatedNode
    {
        std::unique_ptr<PermissionArbiter> arbiter;
        std::uint64_t generation = 0;
        std::uint64_t nextRead = 0;
    };

    struct Append
    {
        std::size_t node = 0;
        std::uint64_t generation = 0;
        OnceBatch batch;
    };

    struct RunningCall
    {
        std::size_t node = 0;
        std::uint64_t generation = 0;
        std::uint64_t token = 0;
        std::string key;
        TimePoint grantedAt;
    };

    std::size_t draw(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
    }

    template<typename Item>
    Item takeRandom(std::vector<Item> &items)
    {
        const std::size_t index = draw(items.size());
        Item item = std::move(items[index]);
        items.erase(items.begin() + static_cast<std::ptrdiff_t>(index));
        return item;
    }

    void restart(std::size_t index)
    {
        ArbiterOptions options;
        options.holder = ++lastGeneration_;
        options.keyLifetime = keyLifetime_;
        nodes_[index] = {std::make_unique<PermissionArbiter>(options), lastGeneration_, 0};
    }

    void ask(std::size_t node, const std::string &key, const std::string &fingerprint)
    {
        const std::uint64_t token = nextToken_++;
        keys_[token] = key;
        const Milliseconds patience(100 + draw(longestDeadline.count()));
        nodes_[node].arbiter->handleRequest({token, key, fingerprint, now_ + patience}, now_);
    }

    void sendBatch(std::size_t node)
    {
        OnceBatch batch = nodes_[node].arbiter->takeBatch();
        if (!batch.isEmpty())
            appends_.push_back({node, nodes_[node].generation, std::move(batch)});
    }

    void land(const Append &append) { log_.append(encodeOnceRecord(append.batch)); }

    /// Completes a random append: it takes effect now, later or never, and its writer may or may
    /// not learn the outcome.
    void settleAppend()
    {
        if (appends_.empty())
            return;
        const Append append = takeRandom(appends_);
        AppendEffect effect = AppendEffect::Written;
        switch (draw(6)) {
        case 0:
            effect = AppendEffect::None;
            break;
        case 1:
            effect = AppendEffect::Unknown;
            break;
        case 2:
            effect = AppendEffect::Unknown;
            delayed_.push_back(append);
            break;
        case 3:
            effect = AppendEffect::Unknown;
            land(append);
            break;
        default:
            land(append);
        }
        SimulatedNode &node = nodes_[append.node];
        if (node.generation == append.generation)
            node.arbiter->handleAppended(append.batch, effect, now_);
    }

    void read(std::size_t index)
    {
        SimulatedNode &node = nodes_[index];
        const LogPage page = log_.read(node.nextRead, 1 + draw(8));
        if (!page.records.empty())
            node.nextRead = page.records.back().offset + 1;
        node.arbiter->handlePage(page, now_);
        if (const auto from = node.arbiter->takeSeekOffset())
            node.nextRead = *from;
    }

    void readAll(std::size_t index)
    {
        while (nodes_[index].arbiter->fold().nextOffset() < log_.end())
            read(index);
    }

    void writeSnapshot(std::size_t index)
    {
        const StreamFold &fold = nodes_[index].arbiter->fold();
        if (!fold.isComplete())
            return;
        for (const SnapshotPart &part :
             makeSnapshot(fold.table(), ++lastSnapshot_, fold.nextOffset(), now_))
            log_.append(encodeOnceRecord(part));
    }

    void endCall()
    {
        if (running_.empty())
            return;
        const RunningCall call = takeRandom(running_);
        Judged<Answer> result = Answer{201, {}, makeBody("answer to " + call.key)};
        switch (draw(4)) {
        case 0:
            result = mayHaveRun(Reason::TargetFailed);
            break;
        case 1:
            // The target was not reached, so this grant does not count as a run.
            result = notRun(Reason::TargetUnreachable);
            std::erase(runs_[call.key], call.grantedAt);
            break;
        default:
            break;
        }
        SimulatedNode &node = nodes_[call.node];
        if (node.generation == call.generation)
            node.arbiter->handleEnded(call.token, result);
    }

    void collectDecisions()
    {
        for (std::size_t i = 0; i < nodeCount; ++i) {
            for (const PermissionDecision &decision : nodes_[i].arbiter->takeDecisions())
                judge(i, decision);
        }
    }

    void judge(std::size_t node, const PermissionDecision &decision)
    {
        const std::string &key = keys_.at(decision.token);
        REQUIRE(decided_.insert(decision.token).second);
        std::vector<TimePoint> &runs = runs_[key];
        if (decision.isGranted) {
            // The property under test: no second run within the key lifetime. The lifetime counts
            // from the record in the log, and the run may start as late as the call's deadline.
            REQUIRE((runs.empty() || now_ - runs.back() >= keyLifetime_ - longestDeadline));
            runs.push_back(now_);
            granted_.insert(decision.token);
            running_.push_back({node, nodes_[node].generation, decision.token, key, now_});
            return;
        }
        if (decision.result.has_value()) {
            ++repeats_;
            REQUIRE_FALSE(runs.empty());
            REQUIRE(bytesOf(decision.result.value().body) == "answer to " + key);
            return;
        }
        ++refusals_;
        if (decision.result.error().execution == Execution::HasRun)
            REQUIRE_FALSE(runs.empty());
    }

    std::mt19937 random_;
    Milliseconds keyLifetime_;
    TimePoint now_{std::chrono::hours(1)};
    SimulatedLog log_;
    std::array<SimulatedNode, nodeCount> nodes_;
    std::vector<Append> appends_; ///< Sent, no response yet.
    std::vector<Append> delayed_; ///< Abandoned by their writer, but may still take effect.
    std::vector<RunningCall> running_;

    std::uint64_t lastGeneration_ = 0;
    std::uint64_t lastSnapshot_ = 0;
    std::uint64_t nextToken_ = 1;
    std::map<std::uint64_t, std::string> keys_; ///< By token.
    std::set<std::uint64_t> decided_;
    std::set<std::uint64_t> granted_;
    std::map<std::string, std::vector<TimePoint>> runs_;
    std::size_t repeats_ = 0;
    std::size_t refusals_ = 0;
};

struct Totals
{
    std::size_t grants = 0;
    std::size_t repeats = 0;
    std::size_t refusals = 0;
};

Totals explore(std::uint32_t worlds, std::size_t steps, Milliseconds keyLifetime)
{
    Totals totals;
    for (std::uint32_t seed = 1; seed <= worlds; ++seed) {
        CAPTURE(seed);
        World world(seed, keyLifetime);
        world.run(steps);
        CHECK(world.grantsNewKey());
        totals.grants += world.grants();
        totals.repeats += world.repeats();
        totals.refusals += world.refusals();
    }
    return totals;
}

} // namespace

TEST_CASE("PermissionArbiter: no order of events runs a key twice")
{
    SUBCASE("without expiring keys")
    {
        const Totals totals = explore(2'000, 400, Milliseconds(86'400'000));
        MESSAGE("grants ", totals.grants, " repeats ", totals.repeats, " refusals ",
                totals.refusals);
        CHECK(totals.grants > 5'000);
        CHECK(totals.repeats > 1'000);
        CHECK(totals.refusals > 5'000);
    }

    SUBCASE("with expiring keys, and calls shorter than the key lifetime")
    {
        const Totals totals = explore(500, 2'000, longestDeadline * 4);
        MESSAGE("grants ", totals.grants, " repeats ", totals.repeats, " refusals ",
                totals.refusals);
        CHECK(totals.grants > 5'000);
    }
}
