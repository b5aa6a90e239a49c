#pragma once

#include <LibQuota/QuotaAllocator.h>
#include <LibQuota/TokenPool.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace chive {

/// Nodes with a pool and an allocator each that exchange messages over simulated links. A member
/// list reaches each node when the test says so. Everything follows from the seed.
class QuotaSimulation
{
public:
    struct Options
    {
        std::size_t nodes = 5;
        std::uint64_t seed = 1;
        Milliseconds shortestDelay{1};
        Milliseconds longestDelay{6};
        double loss = 0.0;
        bool isMeasured = false; ///< Encode each message and count the bytes.
    };

    struct Use
    {
        TimePoint at;
        bool hasRun = true;
    };

    /// What happened to the requests of one customer.
    struct Record
    {
        std::vector<Use> uses; ///< In order of time.
        std::uint64_t refused = 0;
        std::uint64_t waited = 0; ///< Requests that were not decided at once.
        Milliseconds longestRetryAfter{0};
    };

    struct Traffic
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    explicit QuotaSimulation(const Options &options);

    [[nodiscard]] TimePoint now() const { return now_; }
    [[nodiscard]] std::size_t nodes() const { return nodes_.size(); }
    [[nodiscard]] const Record &record(const std::string &customer) { return records_[customer]; }
    [[nodiscard]] std::mt19937_64 &random() { return random_; }
    [[nodiscard]] double draw(double from, double until);

    void after(std::chrono::nanoseconds delay, std::function<void()> action);
    void run(std::chrono::nanoseconds duration);

    void request(std::size_t node, const std::string &customer);
    /// The share of granted requests that end without having run.
    void setNotRun(double share) { notRun_ = share; }

    void setCatalogue(std::size_t node, std::shared_ptr<const Catalogue> catalogue);
    /// Links that do not pass messages, by sender and receiver.
    void cut(std::size_t from, std::size_t to, bool isCut);
    void freeze(std::size_t node);
    void thaw(std::size_t node);
    void restart(std::size_t node);
    /// Gives the node this list of members, the number of each in the simulation.
    void setView(std::size_t node, const std::vector<std::size_t> &alive);

    /// Returns the node that is the allocator of the customer in this node's list.
    [[nodiscard]] std::size_t allocatorFor(std::size_t node, const std::string &customer) const;

    [[nodiscard]] const std::vector<Traffic> &sent() const { return sent_; }

private:
    struct Node
    {
        Member member;
        std::unique_ptr<TokenPool> pool;
        std::unique_ptr<QuotaAllocator> allocator;
        std::shared_ptr<const Catalogue> catalogue;
        std::vector<std::size_t> view;
        bool isFrozen = false;
        std::uint64_t start = 0;                   ///< Number of its restarts.
        std::vector<std::function<void()>> queued; ///< While it is frozen.
        TimePoint actionAt = TimePoint::max();
    };

    struct Event
    {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    void create(Node &node);
    void send(std::size_t from, std::size_t to, QuotaMessage message);
    void deliver(std::size_t from, std::size_t to, const QuotaMessage &message);
    void sendProbes(std::size_t node);
    void act(std::size_t node);
    void decide(std::size_t node, const TokenDecision &decided);
    void tick(std::size_t node, std::uint64_t start);

    Options options_;
    std::mt19937_64 random_;
    TimePoint now_{std::chrono::hours(100)};
    std::vector<Node> nodes_;
    std::vector<std::vector<char>> isCut_;
    std::priority_queue<Event> events_;
    std::uint64_t nextEvent_ = 0;
    Token nextToken_ = 1;
    std::map<Token, std::string> customers_; ///< Of requests that wait.
    std::map<std::string, Record> records_;
    std::map<Endpoint, std::size_t> byEndpoint_;
    std::vector<Traffic> sent_;
    double notRun_ = 0.0;
};

} // namespace chive
