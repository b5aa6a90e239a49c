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

/// One call that asks whether it may run.
struct PermissionRequest
{
    std::uint64_t token = 0;
    std::string key;
    std::string fingerprint;
    TimePoint deadline;
};

/// The answer to one ask: run it now, or what to tell the caller instead.
struct PermissionDecision
{
    std::uint64_t token = 0;
    bool isGranted = false;
    Judged<Answer> result = notRun(Reason::LogUnavailable);
};

struct ArbiterOptions
{
    std::uint64_t holder = 0;             ///< Random for each start of the process.
    Milliseconds keyLifetime{86'400'000}; ///< Longer than any call may take.
    std::size_t maximumKeys = 100'000;
    std::size_t maximumWaiting = 5'000;
};

/// What an append did, as far as its writer knows.
enum class AppendEffect {
    Written,
    None,    ///< Proved: nothing was written and nothing will be.
    Unknown, ///< It may have been written, and may still be.
};

/// Grants each idempotency key of one service to at most one attempt, by the order of the log.
///
/// An attempt writes an intent and runs only after reading that its intent holds the key. It holds
/// the key for as long as the key is remembered, unless the holder itself says that the attempt has
/// not run and never will. No clock takes a key from its holder, so a holder that was paused is
/// still the only one that may run it. Pure: the time and all input are passed in, decisions and
/// records are taken out.
class PermissionArbiter
{
public:
    explicit PermissionArbiter(const ArbiterOptions &options);

    void handleRequest(const PermissionRequest &request, TimePoint now);
    void handlePage(const LogPage &page, TimePoint now);
    /// A granted call ended with an answer, or with a verdict on whether it ran.
    void handleEnded(std::uint64_t token, const Judged<Answer> &result);
    /// Decides the asks whose time is up.
    void handleTimeouts(TimePoint now);

    /// What there is to append now; empty when there is nothing. Its fate must be reported.
    [[nodiscard]] OnceBatch takeBatch();
    void handleAppended(const OnceBatch &batch, AppendEffect effect, TimePoint now);

    [[nodiscard]] std::vector<PermissionDecision> takeDecisions()
    {
        return std::exchange(decisions_, {});
    }
    /// Set when the stream has to be read again from an earlier offset.
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
        std::optional<std::uint32_t> sequence; ///< Of its intent.
        bool isAppendInFlight = false; ///< Its intent is in an append that has not been answered.
        bool mayBeWritten = false;     ///< An earlier append may have taken effect.
        bool isWaitingForHolder = false;
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
    std::set<std::uint32_t> abandoned_;      ///< Attempts that never ran and never will.

    OnceBatch outgoing_;
    std::vector<PermissionDecision> decisions_;
    std::optional<std::uint64_t> seekOffset_;

    std::unordered_map<KeyDigest, RecordedAnswer, KeyDigestHash> answers_;
    std::deque<KeyDigest> answersByAge_;
    std::size_t answerBytes_ = 0;
};

} // namespace chive
