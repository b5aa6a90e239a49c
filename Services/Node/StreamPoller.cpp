#include <Node/StreamPoller.h>

#include <algorithm>
#include <utility>

namespace chive {

namespace {

constexpr std::size_t maximumRecordsPerRead = 256;
constexpr Milliseconds readTimeout{10'000};
constexpr Milliseconds secondReadDelay{1'000};
constexpr std::size_t maximumReadsOut = 4;
constexpr Milliseconds firstBackOff{100};
constexpr Milliseconds maximumBackOff{1'000};

} // namespace

StreamPoller::StreamPoller(EventLoop &loop, LogClient &client, std::string stream,
                           Listener listener)
    : loop_(loop)
    , client_(client)
    , stream_(std::move(stream))
    , listener_(std::move(listener))
    , limit_(maximumRecordsPerRead)
    , random_(std::random_device{}())
{}

StreamPoller::~StreamPoller() = default;

void StreamPoller::follow(std::uint64_t from, Milliseconds interval)
{
    const bool isFirst = interval_.count() == 0;
    next_ = isFirst ? from : std::min(next_, from);
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
    if (!reads_.empty())
        isReadDue_ = true;
    else if (failures_ == 0)
        readAfter(Milliseconds(0));
}

void StreamPoller::readAfter(Milliseconds delay)
{
    timer_ = loop_.after(delay, [this] { sendRead(); });
}

void StreamPoller::sendRead()
{
    if (reads_.size() < maximumReadsOut) {
        const std::uint64_t attempt = ++lastAttempt_;
        const auto callback
                = [this, attempt](const Result<LogPage> &page) { handleAnswer(attempt, page); };
        reads_.emplace(attempt, client_.read(stream_, next_, limit_, readTimeout, callback));
    }
    readAfter(secondReadDelay);
}

void StreamPoller::handleAnswer(std::uint64_t attempt, const Result<LogPage> &page)
{
    // Reads that were abandoned still call back.
    if (reads_.erase(attempt) == 0)
        return;
    if (page.has_value()) {
        abandonReads();
        handlePage(page.value());
    } else if (reads_.empty()) {
        handleFailure(page.error());
    }
    listener_(page);
}

void StreamPoller::handlePage(const LogPage &page)
{
    failures_ = 0;
    limit_ = std::min(limit_ * 2, maximumRecordsPerRead);
    if (!page.records.empty())
        next_ = page.records.back().offset + 1;
    const bool hasMore = !page.records.empty() && next_ < page.end;
    readAfter(hasMore || isReadDue_ ? Milliseconds(0) : interval_);
    isReadDue_ = false;
}

void StreamPoller::handleFailure(const Error &error)
{
    // A page over the limit of the client looks like a broken connection; smaller ones get through.
    if (error.kind != Error::Kind::Unavailable)
        limit_ = std::max<std::size_t>(limit_ / 2, 1);
    readAfter(backOff());
    isReadDue_ = false;
}

void StreamPoller::abandonReads()
{
    for (const auto &[attempt, id] : std::exchange(reads_, {}))
        client_.cancel(id);
}

Milliseconds StreamPoller::backOff()
{
    // Jitter keeps the nodes from reading all at once when the log comes back.
    const Milliseconds longest
            = std::min(firstBackOff * (1U << std::min(failures_, 8U)), maximumBackOff);
    ++failures_;
    std::uniform_int_distribution<Milliseconds::rep> delay(longest.count() / 2, longest.count());
    return Milliseconds(delay(random_));
}

} // namespace chive
