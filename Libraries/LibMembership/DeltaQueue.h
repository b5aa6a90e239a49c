#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chive {

/// The members whose records changed recently. Each is piggybacked on outgoing messages a bounded
/// number of times, the least often sent first (Das, Gupta, Motivala, DSN 2002, section 4.1).
class DeltaQueue
{
public:
    /// Queues the member and resets its transmission count.
    void push(const std::string &nodeId);
    void remove(const std::string &nodeId);

    /// Takes up to `maximum` members for the next message. A member that was taken `transmissions`
    /// times leaves the queue.
    [[nodiscard]] std::vector<std::string> take(std::size_t maximum, std::uint32_t transmissions);

    [[nodiscard]] bool isEmpty() const { return entries_.empty(); }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        std::string nodeId;
        std::uint32_t sent = 0;
    };

    std::vector<Entry> entries_;
};

/// How often a change must be sent to reach all members with high probability. It is proportional
/// to the logarithm of the number of members.
[[nodiscard]] std::uint32_t transmissionsFor(std::size_t members);

} // namespace chive
