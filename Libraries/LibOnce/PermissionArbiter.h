#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibLog/LogPage.h>
#include <LibNode/Call.h>
#include <LibOnce/StreamFold.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chive {

/// A call that needs permission to run.
struct PermissionRequest
{
    std::uint64_t token = 0;
    std::string key;
    std::string fingerprint;
    TimePoint deadline;
};

/// The decision on one request: the call runs now, or gets an answer without running.
struct PermissionDecision
{
    std::uint64_t token = 0;
    bool isGranted = false;
    /// For the caller if not granted: the recorded answer, or the reason for the refusal.
    Judged<Answer> result = notRun(Reason::LogUnavailable);
};

struct ArbiterOptions
{
    std::uint64_t holder = 0;             ///< Random, drawn at each start of the process.
    Milliseconds keyLifetime{86'400'000}; ///< Must be longer than any call may take.
    std::size_t maximumKeys = 100'000;
    std::size_t maximumWaiting = 5'000;
};

/// Whether an append took effect, as far as its writer knows.
enum class AppendEffect {
    Written,
    None,    ///< Nothing was written, and nothing will be.
    Unknown, ///< The record may have been written, or may still be.
};

/// Grants each idempotency key of one service to at most one attempt; the order of the log decides.
///
/// An attempt writes an intent to the log and runs only after reading from the log that its intent
/// holds the key. It keeps the key until the key expires, unless its holder releases the key
/// because the attempt did not run and never will. Keys are not leased: no timeout takes a key from
/// its holder, so a holder that was paused is still the only one that may run the call. Does no I/O
/// and reads no clock: the caller passes in the time and all input and takes out decisions and
/// records.
class PermissionArbiter
{
public:
    explicit PermissionArbiter(const ArbiterOptions &options);

    void handleRequest(const PermissionRequest &request, TimePoint now);
    void handlePage(const LogPage &page, TimePoint now);
    /// A granted call ended, with an answer or with an error that says whether it ran.
    void handleEnded(std::uint64_t token, const Judged<Answer> &result);
    /// Refuses the waiting requests that have timed out.
    void handleTimeouts(TimePoint now);

    /// The next batch to append; empty if there is nothing to write. The outcome of its append must
    /// be passed to handleAppended().
    [[nodiscard]] OnceBatch takeBatch();
    void handleAppended(const OnceBatch &batch, AppendEffect effect, TimePoint now);

    [[nodiscard]] std::vector<PermissionDecision> takeDecisions()
    {
        return std::exchange(decisions_, {});
    }
    /// The offset from which the stream has to be read next, if reading has to continue from
    /// elsewhere than the end of the last page.
    [[nodiscard]] std::optional<std::uint64_t> takeSeekOffset()
    {
        return std::exchange(seekOffset_, std::nullopt);
    }

    [[nodiscard]] const StreamFold &fold() const { return fold_; }
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
    [[nodiscard]] std::size_t running() const { return granted_.size(); }
    [[nodiscard]] bool hasOutgoing() const { return !outgoing_.isEmpty(); }

private:
    struct WaitingRequest
    {
        std::uint64_t token = 0;
        KeyDigest key;
        std::uint64_t fingerprint = 0;
        TimePoint deadline;
        TimePoint timeoutAt;
        std::optional<std::uint32_t> sequence; ///< Of the intent.
        bool isAppendInFlight = false;         ///< An append with the intent is in flight.
        bool mayBeWritten = false;       ///< An earlier append of the intent may have taken effect.
        bool isWaitingForHolder = false; ///< Another attempt holds the key and has not completed.
    };

    struct Grant
    {
        KeyDigest key;
        std::uint32_t sequence = 0;
    };

    void evaluate(std::uint64_t token, TimePoint now);
    void evaluateAll(TimePoint now);
    void evaluateKey(const KeyDigest &key, TimePoint now);
    void decideCompleted(const WaitingRequest &waiting, const KeyEntry &entry);
    void waitForHolder(WaitingRequest &waiting, TimePoint now);
    void writeIntent(WaitingRequest &waiting);
    void grant(const WaitingRequest &waiting);
    void refuse(const WaitingRequest &waiting, Verdict verdict);
    void decide(const WaitingRequest &request, PermissionDecision decision);
    void abandonIntent(WaitingRequest &waiting);
    void markAbandoned(std::uint32_t sequence);
    void release(const KeyDigest &key, std::uint32_t sequence);
    void rememberAnswer(RecordedAnswer answer);
    [[nodiscard]] Verdict verdictAtTimeout(const WaitingRequest &waiting) const;
    void handleIntentAppended(const Intent &intent, AppendEffect effect);
    void releaseIfAbandoned(const KeyDigest &key);

    ArbiterOptions options_;
    StreamFold fold_;
    std::uint32_t nextSequence_ = 1;

    std::map<std::uint64_t, WaitingRequest> waiting_; ///< By token.
    std::multimap<KeyDigest, std::uint64_t> waitingByKey_;
    std::unordered_map<std::uint32_t, std::uint64_t> waitingBySequence_;
    std::map<std::uint64_t, Grant> granted_; ///< By token.
    std::set<std::uint32_t> abandoned_;      ///< Attempts that did not run and never will.

    OnceBatch outgoing_;
    std::vector<PermissionDecision> decisions_;
    std::optional<std::uint64_t> seekOffset_;

    std::unordered_map<KeyDigest, RecordedAnswer, KeyDigestHash> answers_;
    std::deque<KeyDigest> answersByAge_;
    std::size_t answerBytes_ = 0;
};

} // namespace chive
