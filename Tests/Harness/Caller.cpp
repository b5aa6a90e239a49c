#include <Harness/Caller.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace chive {

namespace {

constexpr std::size_t maximumBodySize = 64 * 1024 * 1024;
constexpr Milliseconds pollInterval{10};

} // namespace

std::string_view CallResult::header(std::string_view name) const
{
    return findHeader(response.headers, name);
}

std::optional<Execution> CallResult::execution() const
{
    return executionFromString(header("Chive-Execution"));
}

bool CallResult::isAnswer() const
{
    return isWhole && reason().empty() && execution() == Execution::HasRun;
}

nlohmann::json CallResult::json() const
{
    return nlohmann::json::parse(bytesOf(response.body), nullptr, false);
}

Caller::Caller() = default;
Caller::~Caller() = default;

CallResult Caller::call(const Endpoint &server, const HttpRequest &request, Milliseconds timeout)
{
    std::optional<CallResult> result;
    start(
            server, request,
            [&](CallResult ended) {
                result = std::move(ended);
                loop_.stop();
            },
            timeout);
    while (!result)
        loop_.run();
    return std::move(*result);
}

CallResult Caller::get(const Endpoint &server, std::string target)
{
    return call(server, {"GET", std::move(target), {}, nullptr});
}

void Caller::start(const Endpoint &server, const HttpRequest &request, Callback callback,
                   Milliseconds timeout)
{
    ++inFlight_;
    const TimePoint begin = SystemClock().now();
    clientOf(server).send(
            request, timeout, [this, begin, callback = std::move(callback)](auto outcome) {
                --inFlight_;
                CallResult result;
                result.took = std::chrono::duration_cast<Milliseconds>(SystemClock().now() - begin);
                result.isWhole = outcome.has_value();
                if (outcome.has_value())
                    result.response = std::move(outcome.value());
                else
                    result.failure = std::move(outcome.error());
                callback(std::move(result));
            });
}

bool Caller::waitUntil(const std::function<bool()> &condition, Milliseconds limit)
{
    const TimePoint deadline = SystemClock().now() + limit;
    while (!condition()) {
        if (SystemClock().now() >= deadline)
            return false;
        // The condition is judged outside the loop, so that it may make calls itself.
        const Timer poll = loop_.after(pollInterval, [this] { loop_.stop(); });
        loop_.run();
    }
    return true;
}

void Caller::wait(Milliseconds duration)
{
    waitUntil([] { return false; }, duration);
}

nlohmann::json Caller::control(const Endpoint &server, const nlohmann::json &order)
{
    const CallResult result = call(server, {"POST", "/control", {}, makeBody(order.dump())});
    REQUIRE(result.status() == 200);
    return result.json();
}

HttpClient &Caller::clientOf(const Endpoint &server)
{
    auto &client = clients_[format(server)];
    if (!client) {
        client = std::make_unique<HttpClient>(loop_, server, maximumBodySize);
        client->trustServer();
    }
    return *client;
}

} // namespace chive
