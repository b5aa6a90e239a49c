#include <StandIns/TargetRun.h>

#include <algorithm>
#include <utility>

namespace chive {

namespace {

constexpr Milliseconds nestedCallTimeout{60'000};
constexpr int leastErrorStatus = 400;

bool isSuccess(int status)
{
    return status > 0 && status < leastErrorStatus;
}

} // namespace

TargetRun::TargetRun(EventLoop &loop, HttpClient &node, RunPlan plan, Ended ended)
    : loop_(loop)
    , node_(node)
    , plan_(std::move(plan))
    , ended_(std::move(ended))
{
    if (plan_.serviceTime > Milliseconds::zero()) {
        work_ = loop_.after(plan_.serviceTime, [this] { callNext(); });
        return;
    }
    loop_.post([this, isAlive = isAlive_] {
        if (*isAlive)
            callNext();
    });
}

TargetRun::~TargetRun()
{
    *isAlive_ = false;
    if (pending_ != 0)
        node_.cancel(pending_);
}

void TargetRun::callNext()
{
    if (calls_.size() == plan_.calls.size()
        && (calls_.empty() || isSuccess(calls_.back().status)
            || calls_.back().attempts >= plan_.attemptsPerCall)) {
        // The callback destroys this run.
        const auto ended = ended_;
        const auto calls = calls_;
        ended(calls);
        return;
    }
    const bool isRetry = !calls_.empty() && !isSuccess(calls_.back().status)
                         && calls_.back().attempts < plan_.attemptsPerCall;
    if (!isRetry)
        calls_.push_back({plan_.calls[calls_.size()], 0, 0});
    ++calls_.back().attempts;
    const HttpRequest request{"GET", calls_.back().path, plan_.callHeaders, nullptr};
    pending_ = node_.send(request, nestedCallTimeout,
                          [this, isAlive = isAlive_](const HttpClient::Outcome &outcome) {
                              if (*isAlive)
                                  handleCallEnded(outcome);
                          });
}

void TargetRun::handleCallEnded(const HttpClient::Outcome &outcome)
{
    pending_ = 0;
    calls_.back().status = outcome.has_value() ? outcome.value().status : 0;
    callNext();
}

bool hasFailedCall(const std::vector<NestedCall> &calls)
{
    return std::any_of(calls.begin(), calls.end(),
                       [](const NestedCall &call) { return !isSuccess(call.status); });
}

} // namespace chive
