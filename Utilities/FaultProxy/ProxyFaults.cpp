#include <FaultProxy/ProxyFaults.h>

#include <nlohmann/json.hpp>

#include <string>

namespace chive {

namespace {

void apply(WayFaults &faults, const nlohmann::json &order)
{
    faults.isStalled = order.value("stall", faults.isStalled);
    faults.isDiscarding = order.value("discard", faults.isDiscarding);
    if (order.contains("cut_after"))
        faults.cutAfter = order.at("cut_after").get<std::uint64_t>();
}

} // namespace

void ProxyFaults::apply(const nlohmann::json &order)
{
    delay = Milliseconds(order.value("delay_ms", delay.count()));
    jitter = Milliseconds(order.value("jitter_ms", jitter.count()));
    lossPercent = order.value("loss_percent", lossPercent);
    lossDelay = Milliseconds(order.value("loss_delay_ms", lossDelay.count()));
    isRefusing = order.value("refuse", isRefusing);
    connectionsToCut = order.value("connections_to_cut", connectionsToCut);
    if (order.contains("up"))
        chive::apply(up, order.at("up"));
    if (order.contains("down"))
        chive::apply(down, order.at("down"));
    if (connectionsToCut == 0) {
        up.cutAfter.reset();
        down.cutAfter.reset();
    }
}

} // namespace chive
