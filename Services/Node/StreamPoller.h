#pragma once

#include <LibCore/Clock.h>
#include <LibKernel/EventLoop.h>
#include <LibLog/LogClient.h>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace chive {

/// Reads one stream of the log continuously from an offset on. While an answer is late, further
/// reads are sent in parallel, one a second, so that a hanging connection delays the reader by only
/// about a second and a slow log is still read.
class StreamPoller
{
public:
    /// Called after each read. Only the records at or after the offset that the listener expects
    /// are new to it.
    using Listener = std::function<void(const Result<LogPage> &page)>;

    StreamPoller(EventLoop &loop, LogClient &client, std::string stream, Listener listener);
    ~StreamPoller();
    StreamPoller(const StreamPoller &) = delete;
    StreamPoller &operator=(const StreamPoller &) = delete;

    /// Adds a follower. The first one starts the poller; a later one moves it back to a smaller
    /// offset and to a shorter interval if it asks for one.
    void follow(std::uint64_t from, Milliseconds interval);

    /// Sets the interval between reads when nothing new came. A shorter one reads immediately.
    void setInterval(Milliseconds interval);

    /// Reads immediately, or as soon as the pending read ends, for use when new records exist or
    /// may exist. Has no effect during a back-off.
    void readNow();

    /// The offset of the next record to be read.
    [[nodiscard]] std::uint64_t nextOffset() const { return nextOffset_; }

private:
    void readAfter(Milliseconds delay);
    void sendRead();
    void handleAnswer(std::uint64_t attempt, const Result<LogPage> &page);
    void handlePage(const LogPage &page);
    void handleFailure(const Error &error);
    void abandonReads();
    [[nodiscard]] Milliseconds nextBackOff();

    EventLoop &loop_;
    LogClient &client_;
    std::string stream_;
    Listener listener_;

    std::uint64_t nextOffset_ = 0;
    Milliseconds interval_{0};         ///< Zero until follow() is called.
    std::size_t recordLimit_;          ///< Records per read; see handleFailure().
    unsigned consecutiveFailures_ = 0; ///< Reset by a successful read.
    bool isReadDue_ = false;           ///< readNow() was called during a pending read.

    std::uint64_t lastAttempt_ = 0;
    std::map<std::uint64_t, LogClient::RequestId> pendingReads_; ///< By attempt number.
    Timer timer_;
    std::mt19937_64 random_;
};

} // namespace chive
