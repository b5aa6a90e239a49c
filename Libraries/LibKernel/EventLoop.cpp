#include <LibKernel/EventLoop.h>

#include <event2/event.h>
#include <glog/logging.h>

#include <csignal>
#include <ctime>
#include <memory>
#include <utility>

namespace chive {

namespace {

constexpr Milliseconds runInterval{100};
/// Shorter pauses are normal on a busy machine.
constexpr Milliseconds shortestPause{300};

/// Unlike the steady clock, it counts the time for which the machine is suspended.
std::chrono::nanoseconds sinceBoot()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

timeval toTimeval(Milliseconds duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    const auto rest = std::chrono::duration_cast<Microseconds>(duration - seconds);
    return {seconds.count(), rest.count()};
}

/// With the change list the many short-lived interests in writing cost no system call each.
event_base *makeBase()
{
    const std::unique_ptr<event_config, decltype(&event_config_free)> config(event_config_new(),
                                                                             event_config_free);
    if (config == nullptr
        || event_config_set_flag(config.get(), EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST) != 0)
        return nullptr;
    return event_base_new_with_config(config.get());
}

} // namespace

struct Timer::State
{
    event *handle = nullptr;
    bool repeats = false;
    std::function<void()> callback;

    ~State()
    {
        if (handle != nullptr)
            event_free(handle);
    }
};

Timer::Timer(event_base *base, Milliseconds interval, bool repeats, std::function<void()> callback)
    : state_(std::make_shared<State>())
{
    state_->callback = std::move(callback);
    state_->repeats = repeats;
    const auto fire = [](evutil_socket_t, short, void *argument) {
        // The callback may cancel or replace its own timer, so it runs from a copy.
        const auto callback = static_cast<State *>(argument)->callback;
        callback();
    };
    const short flags = repeats ? EV_PERSIST : 0;
    state_->handle = event_new(base, -1, flags, fire, state_.get());
    const timeval delay = toTimeval(interval);
    event_add(state_->handle, &delay);
}

struct EventLoop::SignalHandler
{
    event *handle = nullptr;
    std::function<void()> callback;

    ~SignalHandler() { event_free(handle); }
};

EventLoop::EventLoop()
    : base_(makeBase())
    , lastRunAt_(sinceBoot())
    , runBeforeAt_(lastRunAt_)
{
    CHECK(base_ != nullptr) << "libevent offers no event base";
    // A write to a connection that the peer has closed must be an error, not the end.
    std::signal(SIGPIPE, SIG_IGN);
    const auto wake = [](evutil_socket_t, short, void *argument) {
        static_cast<EventLoop *>(argument)->drain();
    };
    wake_ = event_new(base_, -1, EV_PERSIST, wake, this);
    runTimer_
            = every(runInterval, [this] { runBeforeAt_ = std::exchange(lastRunAt_, sinceBoot()); });
}

EventLoop::~EventLoop()
{
    // Callbacks may hold connections and timers, which must be freed before the base.
    while (!posted_.empty()) {
        std::deque<std::function<void()>> batch;
        batch.swap(posted_);
    }
    runTimer_.cancel();
    signals_.clear();
    event_free(wake_);
    event_base_free(base_);
}

void EventLoop::post(std::function<void()> callback)
{
    posted_.push_back(std::move(callback));
    if (posted_.size() == 1)
        event_active(wake_, EV_TIMEOUT, 0);
}

void EventLoop::drain()
{
    // Only what stands in the queue now: callbacks that post must not starve the sockets.
    std::deque<std::function<void()>> batch;
    batch.swap(posted_);
    for (const auto &callback : batch)
        callback();
}

Timer EventLoop::after(Milliseconds delay, std::function<void()> callback)
{
    return {base_, delay, false, std::move(callback)};
}

Timer EventLoop::every(Milliseconds interval, std::function<void()> callback)
{
    return {base_, interval, true, std::move(callback)};
}

void EventLoop::onSignal(int number, std::function<void()> callback)
{
    auto handler = std::make_unique<SignalHandler>();
    handler->callback = std::move(callback);
    const auto fire = [](evutil_socket_t, short, void *argument) {
        static_cast<SignalHandler *>(argument)->callback();
    };
    handler->handle = evsignal_new(base_, number, fire, handler.get());
    event_add(handler->handle, nullptr);
    signals_.push_back(std::move(handler));
}

Milliseconds EventLoop::pause() const
{
    const auto now = sinceBoot();
    // After a pause libevent runs timers ahead of signals.
    if (lastRunAt_ - runBeforeAt_ >= shortestPause)
        return std::chrono::ceil<Milliseconds>(now - runBeforeAt_);
    if (now - lastRunAt_ >= shortestPause)
        return std::chrono::ceil<Milliseconds>(now - lastRunAt_);
    return Milliseconds(0);
}

void EventLoop::run()
{
    event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop()
{
    event_base_loopbreak(base_);
}

} // namespace chive
