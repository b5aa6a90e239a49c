#pragma once

#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>
#include <LibKernel/EventLoop.h>
#include <Load/Trace.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chive::load {

/// What the targets did for one request of a caller.
struct RunTotal
{
    std::uint32_t runs = 0;
    double busy = 0.0; ///< Milliseconds of slots.
};
using RunTotals = std::map<std::string, RunTotal>;

/// A target with slots and, behind its connections, a queue in order of arrival that knows no
/// importance. A request whose connection closes leaves the queue; one that runs keeps its slot to
/// the end.
class FakeTarget
{
public:
    struct Options
    {
        std::size_t index = 0; ///< Among the targets of the trace.
        Endpoint listen;
        Endpoint node;                  ///< The node's endpoint for calls of its target.
        std::uint32_t callAttempts = 1; ///< How often each nested call is tried.
    };

    FakeTarget(EventLoop &loop, const Trace &trace, const Options &options, RunTotals &totals);
    ~FakeTarget();

    [[nodiscard]] Result<void> start();

    /// The replay begins now; the faults of the trace count from here.
    void beginReplay() { replayStart_ = clock_.now(); }

private:
    struct Work
    {
        HttpRequest request;
        std::shared_ptr<HttpExchange> exchange;
        TimePoint started;
        std::uint32_t attempts = 0;
        bool isGone = false;
        Timer timer;
    };
    using WorkPointer = std::shared_ptr<Work>;

    void announce();
    void handle(const HttpRequest &request, std::shared_ptr<HttpExchange> exchange);
    void startQueued();
    void run(const WorkPointer &work);
    void callNext(const WorkPointer &work);
    void finish(const WorkPointer &work, int status);
    [[nodiscard]] const TraceFault *currentFault() const;
    [[nodiscard]] Milliseconds drawServiceTime(const HttpRequest &request);

    EventLoop &loop_;
    SystemClock clock_;
    const Trace &trace_;
    const TraceService *service_ = nullptr;
    Options options_;
    RunTotals &totals_;
    std::mt19937_64 random_;
    HttpClient node_;
    std::deque<WorkPointer> queue_;
    std::uint32_t running_ = 0;
    TimePoint replayStart_;
    Timer announcer_;
    std::unique_ptr<HttpServer> server_;
};

/// Runs all targets of a trace until SIGTERM. `control` serves `POST /begin` (the replay begins)
/// and `GET /totals` (runs by request).
[[nodiscard]] Result<void> runTargets(const Trace &trace, const Endpoint &control,
                                      const std::vector<FakeTarget::Options> &options);

} // namespace chive::load
