#pragma once

#include <LibMembership/Membership.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chive {

/// Runs many Membership objects in one process. They exchange encoded messages over a simulated
/// network that can lose messages and be partitioned. Time is simulated in steps, and the same seed
/// gives the same run.
class SimulatedMesh
{
public:
    struct Traffic
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    explicit SimulatedMesh(std::uint64_t seed)
        : random_(seed)
    {}

    /// Starts a node that knows only the given contacts. Starting the same number again is a
    /// restart with a higher incarnation.
    void start(std::size_t number, const std::vector<std::size_t> &contacts);
    /// Starts `count` nodes, each with two earlier ones as contacts.
    void startMany(std::size_t count);
    /// Stops the node without any announcement.
    void kill(std::size_t number);
    void leave(std::size_t number);
    void sayGone(std::size_t number);
    /// The node neither sends nor receives for `length`.
    void pause(std::size_t number, Milliseconds length);

    /// Partitions the network: messages between a node inside and one outside are lost.
    void cut(std::function<bool(std::size_t)> isInside) { isInside_ = std::move(isInside); }
    void heal() { isInside_ = nullptr; }
    void lose(double share) { loss_ = share; }

    void run(Milliseconds length);
    /// Runs until the condition holds. Returns the time it took, or `limit` if it did not hold.
    Milliseconds runUntil(const std::function<bool()> &condition, Milliseconds limit);

    /// Whether every running node that passes the filter records the member in that state.
    [[nodiscard]] bool everyoneHolds(std::size_t subject, MemberState state,
                                     const std::function<bool(std::size_t)> &filter = {}) const;
    /// Whether every running node that passes the filter has exactly the running nodes as members,
    /// all Alive.
    [[nodiscard]] bool isConverged(const std::function<bool(std::size_t)> &filter = {}) const;

    [[nodiscard]] Membership &node(std::size_t number) { return *nodes_.at(number).state; }
    [[nodiscard]] const Traffic &traffic() const { return traffic_; }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }

    [[nodiscard]] static std::string nameOf(std::size_t number);
    [[nodiscard]] static Endpoint endpointOf(std::size_t number);

private:
    struct Node
    {
        std::unique_ptr<Membership> state;
        TimePoint nextTick;
        TimePoint pausedUntil;
    };

    struct Packet
    {
        std::size_t to = 0;
        std::string bytes;
    };

    void deliver(std::size_t from, const std::vector<MembershipSend> &sends);
    void step();

    std::mt19937_64 random_;
    TimePoint now_{std::chrono::hours(1)};
    std::uint64_t starts_ = 1;
    std::map<std::size_t, Node> nodes_;
    std::map<Endpoint, std::size_t> numbers_;
    std::multimap<TimePoint, Packet> packets_;
    std::function<bool(std::size_t)> isInside_;
    double loss_ = 0.0;
    Traffic traffic_;
};

} // namespace chive
