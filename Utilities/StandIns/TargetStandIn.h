#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpMessage.h>
#include <LibKernel/EventLoop.h>
#include <LibSettings/Settings.h>
#include <StandIns/Executions.h>
#include <StandIns/TargetFaults.h>
#include <StandIns/TargetRun.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace chive {

class HttpExchange;
class HttpServer;

/// Stands in for a target (docs/PLATFORM.md). `/control` is no part of the platform's interface:
/// `POST /control` sets faults, `GET /control` and `GET /control/executions` report.
///
/// A request's query may name `service_ms`, its service time, and `answer_bytes`, the size of the
/// answer. Answers say whose they are and carry the digest of their body in `Answer-Digest`.
class TargetStandIn
{
public:
    struct Options
    {
        std::string service;
        Endpoint listen;
        Endpoint announced; ///< Where the node is to connect; `listen`, or a proxy before it.
        Endpoint node;      ///< The node's endpoint for calls of its target.
        std::uint32_t slots = 1;
        std::uint32_t connections = 1;
        Milliseconds serviceTime{0}; ///< Mean; each run draws from half to one and a half of it.
        Milliseconds coldTime{0};    ///< For this long after the start, runs are slower.
        std::uint64_t seed = 0;
        std::vector<std::string> calls; ///< "SERVICE/PATH", made by every run.
        std::string executionsFile;     ///< Empty writes none.
    };

    TargetStandIn(EventLoop &loop, const Clock &clock, Options options);
    ~TargetStandIn();

    [[nodiscard]] Result<void> start();

private:
    struct Running
    {
        std::shared_ptr<HttpExchange> exchange;
        HttpRequest request;
        std::unique_ptr<TargetRun> run;
        Timer answer;
    };

    void announce();
    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    void run(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    void finishWork(std::uint64_t sequence, const std::vector<NestedCall> &calls);
    void answer(std::uint64_t sequence, const HttpResponse &response);
    void end(std::uint64_t sequence, RunEnd end, int status);
    void reportLoad(HttpExchange &exchange) const;
    void control(const HttpRequest &request, HttpExchange &exchange);
    [[nodiscard]] RunPlan planFor(const HttpRequest &request);
    [[nodiscard]] HttpResponse responseFor(std::uint64_t sequence,
                                           const std::vector<NestedCall> &calls) const;

    EventLoop &loop_;
    const Clock &clock_;
    Options options_;
    TargetFaults faults_;
    Executions executions_;
    std::mt19937_64 random_;
    HttpClient node_;
    TimePoint started_;
    std::uint64_t shed_ = 0; ///< Requests refused because all slots were taken.
    std::string firstCallHeader_;
    std::deque<std::pair<TimePoint, std::size_t>> loads_; ///< Recent numbers in flight.
    std::map<std::uint64_t, Running> running_;            ///< By sequence.
    Timer announcer_;
    Timer sampler_;
    std::unique_ptr<HttpServer> server_;
};

} // namespace chive
