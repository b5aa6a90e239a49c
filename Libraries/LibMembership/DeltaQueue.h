#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chive {

/// The members whose records changed lately. Each is piggybacked on outgoing messages a bounded
/// number of times, those sent least often first (Das, Gupta, Motivala, DSN 2002, section 4.1).
class DeltaQueue
{
public:
    /// Queues the member afresh, whatever was sent about it before.
    void push(const std::string &nodeId);
    void remove(const std::string &nodeId);

    /// Up to `maximum` members to tell about now; one that was told `transmissions` times is
    /// dropped from the queue.
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

/// How often a change is told so that all members hear of it with high probability: in proportion
/// to the logarithm of their number.
[[nodiscard]] std::uint32_t transmissionsFor(std::size_t members);

} // namespace chive
