#pragma once

#include <Demo/DemoReport.h>

#include <LibCore/Clock.h>
#include <LibHttp/HttpClient.h>
#include <LibKernel/EventLoop.h>
#include <LibSettings/Settings.h>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// One kind of request that the callers send.
struct DemoKind
{
    std::string_view name;
    std::string_view method;
    std::string_view path; ///< With the service; the request's number is appended.
    std::string_view query;
    std::size_t bodySize = 0;    ///< Bytes.
    std::uint32_t rate = 0;      ///< Requests a second.
    std::uint32_t surgeRate = 0; ///< Requests a second while the overload lasts.
};

/// Seconds since the start of the demonstration.
struct DemoTimes
{
    std::size_t overloadBegins = 8;
    std::size_t overloadEnds = 16;
    std::size_t targetDies = 24;
    std::size_t end = 34;
};

/// Sends mixed requests to the nodes, overloads one service for a while and kills one target.
class Demo
{
public:
    /// The targets are those of the service to overload; the last one is killed.
    Demo(EventLoop &loop, const Clock &clock, const std::vector<Endpoint> &callers,
         const std::vector<Endpoint> &targets, std::uint64_t seed);

    /// Runs the whole schedule and waits for the last answers.
    void run();

    [[nodiscard]] DemoReport &report() { return report_; }
    [[nodiscard]] const DemoTimes &times() const { return times_; }

private:
    void tick();
    void runEvents();
    void sendDue(std::size_t kindIndex);
    void send(const DemoKind &kind);
    void control(HttpClient &target, std::string order);
    [[nodiscard]] bool isOverloaded() const;

    EventLoop &loop_;
    const Clock &clock_;
    std::vector<std::unique_ptr<HttpClient>> nodes_;
    std::vector<std::unique_ptr<HttpClient>> targets_;
    std::mt19937_64 random_;
    DemoTimes times_;
    DemoReport report_;
    std::vector<double> due_; ///< Requests to send by kind, fractions included.
    TimePoint start_;
    TimePoint lastTick_;
    std::size_t second_ = 0;
    std::size_t inFlight_ = 0;
    std::uint64_t sent_ = 0;
    bool hasOverloaded_ = false;
    bool hasRelieved_ = false;
    bool hasKilled_ = false;
};

} // namespace chive
