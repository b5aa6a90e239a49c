#pragma once

#include <FaultProxy/ProxyFaults.h>
#include <LibCore/Clock.h>
#include <LibKernel/EventLoop.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <string>

struct bufferevent;

namespace chive {

/// One way of one connection: takes bytes from a source and gives them to a sink when they are due.
class ProxyPipe
{
public:
    struct Context
    {
        EventLoop &loop;
        const Clock &clock;
        ProxyFaults &faults;
        std::mt19937_64 &random;
    };

    ProxyPipe(Context context, Way way, bufferevent *sink, std::function<void()> cut);

    /// Takes all bytes that the source has read; may order the connection's cut.
    void take(bufferevent *source);

    /// The source has ended; the sink is closed for writing once all bytes went through.
    void takeEnd();

    /// Gives on what is due; to be called when a stall ends.
    void flush();

    /// From now on `cutAfter` counts anew.
    void restartCount() { passed_ = 0; }

    [[nodiscard]] bool isFinished() const { return hasEnded_ && waiting_.empty(); }

private:
    struct Piece
    {
        TimePoint due;
        std::string bytes;
    };

    [[nodiscard]] Milliseconds drawDelay();
    void schedule();

    Context context_;
    Way way_;
    bufferevent *sink_;
    std::function<void()> cut_;
    std::deque<Piece> waiting_;
    TimePoint lastDue_;
    std::uint64_t passed_ = 0;
    bool hasEnded_ = false;
    Timer timer_;
};

} // namespace chive
