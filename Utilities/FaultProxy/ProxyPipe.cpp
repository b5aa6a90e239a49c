#include <FaultProxy/ProxyPipe.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace chive {

ProxyPipe::ProxyPipe(Context context, Way way, bufferevent *sink, std::function<void()> cut)
    : context_(context)
    , way_(way)
    , sink_(sink)
    , cut_(std::move(cut))
{}

void ProxyPipe::take(bufferevent *source)
{
    evbuffer *input = bufferevent_get_input(source);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    const WayFaults &faults = context_.faults.of(way_);
    if (faults.isDiscarding)
        return;
    if (faults.cutAfter && passed_ + bytes.size() > *faults.cutAfter) {
        // The bytes up to the limit still go, so that the other side sees a cut message.
        bytes.resize(*faults.cutAfter > passed_ ? *faults.cutAfter - passed_ : 0);
        bufferevent_write(sink_, bytes.data(), bytes.size());
        cut_();
        return;
    }
    passed_ += bytes.size();
    // A later piece never overtakes an earlier one, as on one TCP stream.
    lastDue_ = std::max(lastDue_, context_.clock.now() + drawDelay());
    waiting_.push_back({lastDue_, std::move(bytes)});
    flush();
}

void ProxyPipe::takeEnd()
{
    hasEnded_ = true;
    flush();
}

void ProxyPipe::flush()
{
    if (context_.faults.of(way_).isStalled)
        return;
    while (!waiting_.empty() && waiting_.front().due <= context_.clock.now()) {
        const std::string &bytes = waiting_.front().bytes;
        bufferevent_write(sink_, bytes.data(), bytes.size());
        waiting_.pop_front();
    }
    schedule();
    if (isFinished() && evbuffer_get_length(bufferevent_get_output(sink_)) == 0)
        shutdown(bufferevent_getfd(sink_), SHUT_WR);
}

Milliseconds ProxyPipe::drawDelay()
{
    Milliseconds delay = context_.faults.delay;
    if (context_.faults.jitter > Milliseconds::zero()) {
        std::uniform_int_distribution<std::int64_t> jitter(0, context_.faults.jitter.count());
        delay += Milliseconds(jitter(context_.random));
    }
    std::uniform_int_distribution<std::uint32_t> percent(0, 99);
    if (context_.faults.lossPercent > 0 && percent(context_.random) < context_.faults.lossPercent)
        delay += context_.faults.lossDelay;
    return delay;
}

void ProxyPipe::schedule()
{
    timer_.cancel();
    if (waiting_.empty())
        return;
    const auto rest = waiting_.front().due - context_.clock.now();
    const auto delay = std::chrono::ceil<Milliseconds>(rest);
    timer_ = context_.loop.after(std::max(delay, Milliseconds(0)), [this] { flush(); });
}

} // namespace chive
