#pragma once

#include <LibCore/Clock.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>

namespace chive {

/// The ways that bytes take through the proxy.
enum class Way : std::uint8_t {
    Up,   ///< From the client to the server.
    Down, ///< From the server to the client.
};

/// What happens to the bytes of one way.
struct WayFaults
{
    bool isStalled = false;    ///< Bytes wait until the stall ends.
    bool isDiscarding = false; ///< Bytes vanish, and the connection stays open.
    /// A connection is closed once this many bytes have passed this way since the order; 0 closes
    /// it when the first byte arrives, so that an answer is swallowed after its effect.
    std::optional<std::uint64_t> cutAfter;
};

/// The faults of a proxy, set through its control endpoint.
struct ProxyFaults
{
    Milliseconds delay{0};              ///< Each way.
    Milliseconds jitter{0};             ///< Up to this much more, drawn for each piece of data.
    std::uint32_t lossPercent = 0;      ///< Pieces of data that are delayed as by a lost packet.
    Milliseconds lossDelay{200};        ///< Linux's least retransmission timeout.
    bool isRefusing = false;            ///< New connections are closed at once.
    std::uint32_t connectionsToCut = 0; ///< How many more connections `cutAfter` may close.
    WayFaults up;
    WayFaults down;

    /// Changes the members that the order names; others stay.
    void apply(const nlohmann::json &order);

    [[nodiscard]] const WayFaults &of(Way way) const { return way == Way::Up ? up : down; }
};

} // namespace chive
