#pragma once

#include <LibHttp/HttpClient.h>
#include <LibKernel/EventLoop.h>
#include <Load/Trace.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chive::load {

/// How one call of the trace ended for its caller.
struct CallResult
{
    bool isWhole = false;
    double latency = 0.0; ///< Milliseconds from the intended time to the end.
    std::uint32_t attempts = 0;
    std::string refusal; ///< "not-run overloaded", "timeout"; empty when whole.
};

/// Sends the calls of a trace at their intended times, whether or not earlier ones were answered.
/// An attempt that is not answered within the deadline is abandoned; failed calls are tried again
/// almost at once, as often as the trace says, whatever Retry-After asks for.
class Replay
{
public:
    Replay(EventLoop &loop, const Trace &trace, const std::vector<Endpoint> &entries);

    /// Runs the loop to the end of the replay. One result for each call, in the trace's order.
    [[nodiscard]] std::vector<CallResult> run();

private:
    struct Attempt
    {
        HttpClient *client = nullptr;
        HttpClient::RequestId id = 0;
        Timer timeout;
    };

    void sendDue();
    void send(std::size_t index);
    void handleEnd(std::size_t index, const HttpClient::Outcome &outcome);
    void finish(std::size_t index, bool isWhole);
    [[nodiscard]] HttpRequest requestOf(std::size_t index);

    EventLoop &loop_;
    SystemClock clock_;
    const Trace &trace_;
    std::vector<std::unique_ptr<HttpClient>> clients_;
    std::map<std::uint32_t, std::shared_ptr<const std::string>> bodies_; ///< By size.
    std::vector<CallResult> results_;
    std::map<std::size_t, Attempt> attempts_;
    std::map<std::size_t, Timer> pauses_; ///< Before the next attempt.
    std::size_t next_ = 0;
    std::size_t ended_ = 0;
    TimePoint start_;
    Timer ticker_;
};

/// The identity under which the targets report the runs of a call.
[[nodiscard]] std::string requestIdOf(const Trace &trace, std::size_t index);

} // namespace chive::load
