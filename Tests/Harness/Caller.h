#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Verdict.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpMessage.h>
#include <LibKernel/EventLoop.h>
#include <LibSettings/Settings.h>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chive {

/// How one call of a test's caller ended.
struct CallResult
{
    bool isWhole = false; ///< A whole HTTP response came; otherwise `failure` says what.
    HttpFailure failure;
    HttpResponse response;
    Milliseconds took{0};

    [[nodiscard]] int status() const { return isWhole ? response.status : 0; }
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// What Chive-Execution says.
    [[nodiscard]] std::optional<Execution> execution() const;
    /// What Chive-Reason says; empty when it is the target's answer.
    [[nodiscard]] std::string_view reason() const { return header("Chive-Reason"); }
    /// Whether this is the target's own answer and not a refusal of a node.
    [[nodiscard]] bool isAnswer() const;
    [[nodiscard]] nlohmann::json json() const;
};

/// Makes HTTP calls, one after the other or many at once, on an event loop of its own.
class Caller
{
public:
    using Callback = std::function<void(CallResult)>;

    Caller();
    ~Caller();

    [[nodiscard]] EventLoop &loop() { return loop_; }

    /// Sends and waits. Not for callbacks of `start`.
    CallResult call(const Endpoint &server, const HttpRequest &request,
                    Milliseconds timeout = Milliseconds(10'000));
    CallResult get(const Endpoint &server, std::string target);

    /// Sends; the callback runs while this caller waits for anything.
    void start(const Endpoint &server, const HttpRequest &request, Callback callback,
               Milliseconds timeout = Milliseconds(60'000));

    /// Runs the loop until the condition holds; false when it did not within the limit.
    bool waitUntil(const std::function<bool()> &condition,
                   Milliseconds limit = Milliseconds(20'000));
    void wait(Milliseconds duration);

    /// Sends an order to the /control of a stand-in or proxy and returns what it reports.
    nlohmann::json control(const Endpoint &server, const nlohmann::json &order);

    [[nodiscard]] std::size_t inFlight() const { return inFlight_; }

private:
    HttpClient &clientOf(const Endpoint &server);

    EventLoop loop_;
    std::map<std::string, std::unique_ptr<HttpClient>> clients_; ///< By address.
    std::size_t inFlight_ = 0;
};

} // namespace chive
