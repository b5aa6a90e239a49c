#pragma once

#include <LibCore/Clock.h>

#include <deque>
#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace chive {

/// A timer that is cancelled when it goes out of scope.
class Timer
{
public:
    Timer() = default;
    Timer(event_base *base, Milliseconds interval, bool repeats, std::function<void()> callback);

    void cancel() { state_.reset(); }
    [[nodiscard]] bool isActive() const { return state_ != nullptr; }

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// One libevent loop on one thread. Everything in a process runs on it.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    [[nodiscard]] event_base *base() const { return base_; }

    /// Runs the callback once the current callback has returned, in the order of posting. What is
    /// still waiting when the loop goes is destroyed without being run.
    void post(std::function<void()> callback);

    /// Runs the callback once, after the delay.
    [[nodiscard]] Timer after(Milliseconds delay, std::function<void()> callback);

    /// Runs the callback again and again, first after one interval.
    [[nodiscard]] Timer every(Milliseconds interval, std::function<void()> callback);

    /// Calls back on each arrival of the signal, until the loop is gone.
    void onSignal(int number, std::function<void()> callback);

    /// The greatest age of a signal that is handled now, if the process or its machine did not run
    /// until shortly before; 0 when it ran all the time.
    [[nodiscard]] Milliseconds pause() const;

    void run();
    void stop();

private:
    struct SignalHandler;

    void drain();

    event_base *base_ = nullptr;
    event *wake_ = nullptr;
    std::deque<std::function<void()>> posted_;
    std::vector<std::unique_ptr<SignalHandler>> signals_;
    std::chrono::nanoseconds lastRunAt_; ///< Since the machine was started.
    std::chrono::nanoseconds runBeforeAt_;
    Timer runTimer_;
};

} // namespace chive
