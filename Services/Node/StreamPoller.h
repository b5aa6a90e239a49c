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

/// Reads one stream of the log from an offset on, for ever. While an answer is late a second read
/// is sent beside the first, so that a connection that hangs delays the reader by about a second
/// only, and a log that is merely slow is still read.
class StreamPoller
{
public:
    /// Called after each read. Of a page, only what lies at or past the reader's offset is new.
    using Listener = std::function<void(const Result<LogPage> &page)>;

    StreamPoller(EventLoop &loop, LogClient &client, std::string stream, Listener listener);
    ~StreamPoller();
    StreamPoller(const StreamPoller &) = delete;
    StreamPoller &operator=(const StreamPoller &) = delete;

    /// Starts, or goes back to a smaller offset or a shorter interval for one more follower.
    void follow(std::uint64_t from, Milliseconds interval);

    /// Reads at this pace from now on; a faster pace begins with a read at once.
    void setInterval(Milliseconds interval);

    /// Reads at once: something new is known to be there, or may be.
    void readNow();

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
    Milliseconds interval_{0}; ///< Zero until the first follower came.
    std::size_t recordLimit_;  ///< Records asked for; halved when an answer could not be taken.
    unsigned consecutiveFailures_ = 0; ///< In a row.
    bool isReadDue_ = false;           ///< readNow was called while a read was out.

    std::uint64_t lastAttempt_ = 0;
    std::map<std::uint64_t, LogClient::RequestId> pendingReads_; ///< Out now, by attempt.
    Timer timer_;
    std::mt19937_64 random_;
};

} // namespace chive
