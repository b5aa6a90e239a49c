#include <Load/Replay.h>

namespace chive::load {

namespace {

constexpr std::size_t maximumAnswer = 16 * 1024 * 1024;
constexpr Milliseconds tick{1};
constexpr Milliseconds retryPause{20};

std::string refusalOf(const HttpClient::Outcome &outcome)
{
    if (!outcome.has_value())
        return "no answer";
    const HttpResponse &response = outcome.value();
    const auto execution = findHeader(response.headers, "Chive-Execution");
    const auto reason = findHeader(response.headers, "Chive-Reason");
    if (execution.empty() || reason.empty())
        return "status " + std::to_string(response.status);
    return std::string(execution) + " " + std::string(reason);
}

} // namespace

std::string requestIdOf(const Trace &trace, std::size_t index)
{
    return trace.name + "-" + std::to_string(index);
}

Replay::Replay(EventLoop &loop, const Trace &trace, const std::vector<Endpoint> &entries)
    : loop_(loop)
    , trace_(trace)
    , results_(trace.calls.size())
{
    for (const Endpoint &entry : entries) {
        clients_.push_back(std::make_unique<HttpClient>(loop, entry, maximumAnswer));
        clients_.back()->trustServer();
    }
}

std::vector<CallResult> Replay::run()
{
    start_ = clock_.now();
    ticker_ = loop_.every(tick, [this] { sendDue(); });
    if (!trace_.calls.empty())
        loop_.run();
    return results_;
}

void Replay::sendDue()
{
    while (next_ < trace_.calls.size() && start_ + trace_.calls[next_].at <= clock_.now())
        send(next_++);
}

HttpRequest Replay::requestOf(std::size_t index)
{
    const TraceCall &call = trace_.calls[index];
    HttpRequest request{call.method,
                        "/" + call.service + call.path,
                        {{"Chive-Request-Id", requestIdOf(trace_, index)},
                         {"Chive-Deadline-Ms", std::to_string(call.deadline.count())}},
                        nullptr};
    if (!call.key.empty())
        request.headers.emplace_back("Idempotency-Key", call.key);
    if (call.size > 0) {
        auto &body = bodies_[call.size];
        if (body == nullptr)
            body = makeBody(std::string(call.size, 'x'));
        request.body = body;
    }
    return request;
}

void Replay::send(std::size_t index)
{
    CallResult &result = results_[index];
    // Each attempt enters at another node.
    HttpClient &client = *clients_[(index + result.attempts) % clients_.size()];
    ++result.attempts;
    const Milliseconds deadline = trace_.calls[index].deadline;
    Attempt &attempt = attempts_[index];
    attempt.client = &client;
    attempt.id = client.send(
            requestOf(index), 2 * deadline,
            [this, index](const HttpClient::Outcome &outcome) { handleEnd(index, outcome); });
    attempt.timeout = loop_.after(deadline, [this, index] {
        const Attempt &late = attempts_.at(index);
        late.client->cancel(late.id);
    });
}

void Replay::handleEnd(std::size_t index, const HttpClient::Outcome &outcome)
{
    attempts_.erase(index);
    CallResult &result = results_[index];
    const bool isWhole = outcome.has_value() && outcome.value().status == 200;
    if (isWhole || result.attempts > trace_.callerRetries) {
        result.refusal = isWhole ? std::string() : refusalOf(outcome);
        finish(index, isWhole);
        return;
    }
    pauses_[index] = loop_.after(retryPause, [this, index] { send(index); });
}

void Replay::finish(std::size_t index, bool isWhole)
{
    CallResult &result = results_[index];
    const std::chrono::duration<double, std::milli> latency
            = clock_.now() - (start_ + trace_.calls[index].at);
    result.isWhole = isWhole;
    result.latency = latency.count();
    if (++ended_ == trace_.calls.size()) {
        ticker_.cancel();
        loop_.stop();
    }
}

} // namespace chive::load
