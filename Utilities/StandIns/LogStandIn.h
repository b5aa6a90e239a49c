#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibHttp/HttpMessage.h>
#include <LibKernel/EventLoop.h>
#include <LibSettings/Settings.h>
#include <StandIns/LogStreams.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace chive {

class HttpExchange;
class HttpServer;

/// Stands in for the platform's log service (docs/PLATFORM.md). Faults are set with
/// `POST /control`, which is no part of the platform's interface.
class LogStandIn
{
public:
    LogStandIn(EventLoop &loop, const Clock &clock, LogStreams::Limits limits);
    ~LogStandIn();

    [[nodiscard]] Result<void> listen(const Endpoint &endpoint);

private:
    enum class Outage {
        None,
        Refuse, ///< 503 to everything.
        Hang,   ///< Requests wait for the end of the outage and are carried out then.
    };
    struct Held
    {
        HttpRequest request;
        std::shared_ptr<HttpExchange> exchange;
    };

    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    void serve(const HttpRequest &request, HttpExchange &exchange);
    void append(std::string_view stream, const HttpRequest &request, HttpExchange &exchange);
    void read(std::string_view stream, const HttpRequest &request, HttpExchange &exchange);
    void control(const HttpRequest &request, HttpExchange &exchange);
    void endOutage();

    EventLoop &loop_;
    const Clock &clock_;
    LogStreams streams_;
    Outage outage_ = Outage::None;
    std::vector<Held> held_;
    std::uint32_t answersToLose_ = 0; ///< Appends that take effect without an answer.
    std::uint32_t appendsToDrop_ = 0; ///< Appends that get neither effect nor answer.
    Milliseconds delay_{0};
    std::vector<Timer> delayed_;
    std::unique_ptr<HttpServer> server_;
};

} // namespace chive
