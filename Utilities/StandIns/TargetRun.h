#pragma once

#include <LibCore/Clock.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpMessage.h>
#include <LibKernel/EventLoop.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chive {

/// How one nested call of a run ended.
struct NestedCall
{
    std::string path;
    int status = 0; ///< 0 when there was no whole response.
    std::uint32_t attempts = 0;
};

/// What a run does: work for a time, then make calls one after the other.
struct RunPlan
{
    Milliseconds serviceTime{0};
    std::vector<std::string> calls;  ///< "/SERVICE/PATH", to the node beside the target.
    std::vector<Header> callHeaders; ///< Sent with each call.
    std::uint32_t attemptsPerCall = 1;
};

/// One request that runs on a target stand-in. Destroying it cancels its timer and its calls.
class TargetRun
{
public:
    using Ended = std::function<void(const std::vector<NestedCall> &)>;

    TargetRun(EventLoop &loop, HttpClient &node, RunPlan plan, Ended ended);
    ~TargetRun();
    TargetRun(const TargetRun &) = delete;
    TargetRun &operator=(const TargetRun &) = delete;

private:
    void callNext();
    void handleCallEnded(const HttpClient::Outcome &outcome);

    EventLoop &loop_;
    HttpClient &node_;
    RunPlan plan_;
    Ended ended_;
    Timer work_;
    std::vector<NestedCall> calls_;
    HttpClient::RequestId pending_ = 0;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

/// Whether any of these calls got no success.
[[nodiscard]] bool hasFailedCall(const std::vector<NestedCall> &calls);

} // namespace chive
