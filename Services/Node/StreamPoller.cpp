#include <Node/StreamPoller.h>

#include <algorithm>
#include <utility>

namespace chive {

namespace {

constexpr std::size_t maximumRecordsPerRead = 256;
constexpr Milliseconds readTimeout{10'000};
constexpr Milliseconds secondReadDelay{1'000};
constexpr std::size_t maximumPendingReads = 4;
constexpr Milliseconds firstBackOff{100};
constexpr Milliseconds maximumBackOff{1'000};

} // namespace

StreamPoller::StreamPoller(EventLoop &loop, LogClient &client, std::string stream,
                           Listener listener)
    : loop_(loop)
    , client_(client)
    , stream_(std::move(stream))
    , listener_(std::move(listener))
    , recordLimit_(maximumRecordsPerRead)
    , random_(std::random_device{}())
{}

StreamPoller::~StreamPoller() = default;

void StreamPoller::follow(std::uint64_t from, Milliseconds interval)
{
    const bool isFirst = interval_.count() == 0;
    nextOffset_ = isFirst ? from : std::min(nextOffset_, from);
    interval_ = isFirst ? interval : std::min(interval_, interval);
    abandonReads();
    readAfter(Milliseconds(0));
}

void StreamPoller::setInterval(Milliseconds interval)
{
    const bool isFaster = interval < interval_;
    interval_ = interval;
    if (isFaster)
        readNow();
}

void StreamPoller::readNow()
{
    if (!pendingReads_.empty())
        isReadDue_ = true;
    else if (consecutiveFailures_ == 0)
        readAfter(Milliseconds(0));
}

void StreamPoller::readAfter(Milliseconds delay)
{
    timer_ = loop_.after(delay, [this] { sendRead(); });
}

void StreamPoller::sendRead()
{
    if (pendingReads_.size() < maximumPendingReads) {
        const std::uint64_t attempt = ++lastAttempt_;
        const auto callback
                = [this, attempt](const Result<LogPage> &page) { handleAnswer(attempt, page); };
        pendingReads_.emplace(
                attempt, client_.read(stream_, nextOffset_, recordLimit_, readTimeout, callback));
    }
    readAfter(secondReadDelay);
}

void StreamPoller::handleAnswer(std::uint64_t attempt, const Result<LogPage> &page)
{
    // Abandoned reads still call back.
    if (pendingReads_.erase(attempt) == 0)
        return;
    if (page.has_value()) {
        abandonReads();
        handlePage(page.value());
    } else if (pendingReads_.empty()) {
        handleFailure(page.error());
    }
    listener_(page);
}

void StreamPoller::handlePage(const LogPage &page)
{
    consecutiveFailures_ = 0;
    recordLimit_ = std::min(recordLimit_ * 2, maximumRecordsPerRead);
    if (!page.records.empty())
        nextOffset_ = page.records.back().offset + 1;
    const bool hasMore = !page.records.empty() && nextOffset_ < page.end;
    readAfter(hasMore || isReadDue_ ? Milliseconds(0) : interval_);
    isReadDue_ = false;
}

void StreamPoller::handleFailure(const Error &error)
{
    // A page over the client's size limit looks like a broken connection; a smaller page succeeds.
    if (error.kind != Error::Kind::Unavailable)
        recordLimit_ = std::max<std::size_t>(recordLimit_ / 2, 1);
    readAfter(nextBackOff());
    isReadDue_ = false;
}

void StreamPoller::abandonReads()
{
    for (const auto &[attempt, id] : std::exchange(pendingReads_, {}))
        client_.cancel(id);
}

Milliseconds StreamPoller::nextBackOff()
{
    // Jitter keeps the nodes from reading simultaneously when the log returns.
    const Milliseconds longest
            = std::min(firstBackOff * (1U << std::min(consecutiveFailures_, 8U)), maximumBackOff);
    ++consecutiveFailures_;
    std::uniform_int_distribution<Milliseconds::rep> delay(longest.count() / 2, longest.count());
    return Milliseconds(delay(random_));
}

} // namespace chive
