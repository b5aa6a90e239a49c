#include <LibOnce/PermissionArbiter.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace chive {

namespace {

/// Calls are refused this long before their deadline, so that the refusal still reaches the caller.
constexpr Milliseconds refusalMargin{50};
constexpr Milliseconds maximumWaitForHolder{2'000};
constexpr Milliseconds retryDelay{1'000};

constexpr std::size_t maximumIntentsPerBatch = 200;
constexpr std::size_t maximumReleasesPerBatch = 500;
constexpr std::size_t maximumCompletionsPerBatch = 100;
constexpr std::size_t maximumCompletionsKept = 5'000;
constexpr std::size_t maximumReleasesKept = 20'000;
constexpr std::size_t maximumAbandoned = 20'000;

/// In bytes. Larger answers are not recorded; a repeated call is then only told that the call ran.
constexpr std::size_t maximumAnswerSize = 1'024;
constexpr std::size_t maximumAnswerBytes = 4 * 1024 * 1024;

template<typename Item>
std::vector<Item> takeFront(std::vector<Item> &items, std::size_t most)
{
    const auto end = items.begin() + static_cast<std::ptrdiff_t>(std::min(most, items.size()));
    std::vector<Item> taken(std::make_move_iterator(items.begin()), std::make_move_iterator(end));
    items.erase(items.begin(), end);
    return taken;
}

/// Appends to a list and drops the oldest items beyond the limit.
template<typename Item>
void appendBounded(std::vector<Item> &items, const std::vector<Item> &more, std::size_t limit)
{
    items.insert(items.end(), more.begin(), more.end());
    if (items.size() > limit)
        items.erase(items.begin(), items.end() - static_cast<std::ptrdiff_t>(limit));
}

bool isUtf8(std::string_view text)
{
    const nlohmann::json json = std::string(text);
    try {
        return !json.dump().empty();
    } catch (const nlohmann::json::type_error &) {
        return false;
    }
}

Completion completionOf(const KeyDigest &key, std::uint32_t sequence, const Judged<Answer> &result)
{
    Completion completion;
    completion.key = key;
    completion.sequence = sequence;
    if (!result.has_value())
        return completion;
    const Answer &answer = result.value();
    completion.status = static_cast<std::uint16_t>(answer.status);
    const std::string_view body = bytesOf(answer.body);
    const std::string_view contentType = findHeader(answer.headers, "Content-Type");
    if (body.size() + contentType.size() > maximumAnswerSize || !isUtf8(body)
        || !isUtf8(contentType))
        return completion;
    completion.hasBody = true;
    completion.contentType = contentType;
    completion.body = body;
    return completion;
}

} // namespace

PermissionArbiter::PermissionArbiter(const ArbiterOptions &options)
    : options_(options)
    , fold_(options.keyLifetime)
{
    outgoing_.holder = options.holder;
}

void PermissionArbiter::handleRequest(const PermissionRequest &request, TimePoint now)
{
    WaitingRequest waiting;
    waiting.token = request.token;
    waiting.key = digestOfKey(request.key);
    waiting.fingerprint = digestOfFingerprint(request.fingerprint);
    waiting.deadline = request.deadline;
    waiting.timeoutAt = request.deadline - refusalMargin;
    if (request.key.empty()) {
        refuse(waiting,
               notRun(Reason::MissingKey, "a call of this kind needs an Idempotency-Key header"));
        return;
    }
    if (waiting_.size() >= options_.maximumWaiting) {
        refuse(waiting, notRun(Reason::Overloaded, "too many calls are waiting for the log"));
        return;
    }
    waiting_.emplace(waiting.token, waiting);
    waitingByKey_.emplace(waiting.key, waiting.token);
    evaluate(waiting.token, now);
}

void PermissionArbiter::evaluate(std::uint64_t token, TimePoint now)
{
    const auto found = waiting_.find(token);
    if (found == waiting_.end())
        return;
    WaitingRequest &waiting = found->second;
    const KeyEntry *entry = std::as_const(fold_).table().find(waiting.key);
    const bool isFree = entry == nullptr || entry->state == KeyState::Released;
    if (isFree) {
        waiting.isWaitingForHolder = false;
        waiting.timeoutAt = waiting.deadline - refusalMargin;
        if (fold_.isComplete() && !waiting.sequence.has_value())
            writeIntent(waiting);
        return;
    }
    const bool isOwn = waiting.sequence.has_value()
                       && entry->nonce() == Nonce{options_.holder, *waiting.sequence};
    if (isOwn) {
        if (fold_.isComplete() && now < waiting.deadline)
            grant(waiting);
        return;
    }
    // Another attempt took the key first, so the intent of this one can have no effect any more.
    abandonIntent(waiting);
    if (entry->fingerprint != waiting.fingerprint)
        refuse(waiting,
               notRun(Reason::BadRequest, "the idempotency key was used with a different request"));
    else if (entry->state == KeyState::Completed)
        decideCompleted(waiting, *entry);
    else
        waitForHolder(waiting, now);
}

void PermissionArbiter::evaluateAll(TimePoint now)
{
    std::vector<std::uint64_t> tokens;
    for (const auto &[token, waiting] : waiting_)
        tokens.push_back(token);
    for (const std::uint64_t token : tokens)
        evaluate(token, now);
}

void PermissionArbiter::evaluateKey(const KeyDigest &key, TimePoint now)
{
    std::vector<std::uint64_t> tokens;
    const auto [begin, end] = waitingByKey_.equal_range(key);
    for (auto waiting = begin; waiting != end; ++waiting)
        tokens.push_back(waiting->second);
    for (const std::uint64_t token : tokens)
        evaluate(token, now);
}

void PermissionArbiter::writeIntent(WaitingRequest &waiting)
{
    if (fold_.table().size() >= options_.maximumKeys) {
        refuse(waiting, notRun(Reason::Overloaded, "too many idempotency keys are in use"));
        return;
    }
    waiting.sequence = nextSequence_++;
    waitingBySequence_.emplace(*waiting.sequence, waiting.token);
    outgoing_.intents.push_back(
            {waiting.key, waiting.fingerprint, *waiting.sequence, fold_.nextOffset()});
}

void PermissionArbiter::waitForHolder(WaitingRequest &waiting, TimePoint now)
{
    if (waiting.isWaitingForHolder)
        return;
    waiting.isWaitingForHolder = true;
    waiting.timeoutAt = std::min(waiting.deadline - refusalMargin, now + maximumWaitForHolder);
}

void PermissionArbiter::grant(const WaitingRequest &waiting)
{
    granted_.emplace(waiting.token, Grant{waiting.key, *waiting.sequence});
    decide(waiting, {waiting.token, true});
}

void PermissionArbiter::refuse(const WaitingRequest &waiting, Verdict verdict)
{
    if (verdict.reason != Reason::BadRequest && verdict.reason != Reason::MissingKey)
        verdict.retryAfter = retryDelay;
    decide(waiting, {waiting.token, false, std::move(verdict)});
}

void PermissionArbiter::decideCompleted(const WaitingRequest &waiting, const KeyEntry &entry)
{
    const auto known = answers_.find(waiting.key);
    if (known != answers_.end() && known->second.nonce == entry.nonce()) {
        Answer answer;
        answer.status = entry.status;
        if (!known->second.contentType.empty())
            answer.headers.emplace_back("Content-Type", known->second.contentType);
        answer.body = makeBody(known->second.body);
        decide(waiting, {waiting.token, false, std::move(answer)});
        return;
    }
    Verdict verdict;
    verdict.execution = Execution::HasRun;
    verdict.reason = Reason::DuplicateKey;
    verdict.detail = entry.status == 0
                             ? "the first answer is not known"
                             : "the first answer had status " + std::to_string(entry.status);
    decide(waiting, {waiting.token, false, std::move(verdict)});
}

void PermissionArbiter::decide(const WaitingRequest &request, PermissionDecision decision)
{
    const WaitingRequest waiting = request;
    decisions_.push_back(std::move(decision));
    if (waiting.sequence.has_value())
        waitingBySequence_.erase(*waiting.sequence);
    const auto [begin, end] = waitingByKey_.equal_range(waiting.key);
    const auto indexed = std::find_if(
            begin, end, [&](const auto &pair) { return pair.second == waiting.token; });
    if (indexed != end)
        waitingByKey_.erase(indexed);
    waiting_.erase(waiting.token);
}

void PermissionArbiter::handlePage(const LogPage &page, TimePoint now)
{
    const StreamFold::Progress progress = fold_.handlePage(page, now);
    if (progress.seekOffset.has_value())
        seekOffset_ = progress.seekOffset;
    for (const RecordedAnswer &answer : progress.answers)
        rememberAnswer(answer);
    for (const KeyDigest &key : progress.changedKeys) {
        releaseIfAbandoned(key);
        evaluateKey(key, now);
    }
    if (progress.isReplaced)
        evaluateAll(now);
}

void PermissionArbiter::handleEnded(std::uint64_t token, const Judged<Answer> &result)
{
    const auto found = granted_.find(token);
    if (found == granted_.end())
        return;
    const Grant granted = found->second;
    granted_.erase(found);
    const Execution execution = result.has_value() ? Execution::HasRun : result.error().execution;
    if (execution == Execution::NotRun) {
        release(granted.key, granted.sequence);
        return;
    }
    // If it is not known whether the call ran, the key stays held until it expires.
    if (execution == Execution::MayHaveRun)
        return;
    const Completion completion = completionOf(granted.key, granted.sequence, result);
    applyCompletion(fold_.table(), completion, options_.holder);
    if (completion.hasBody)
        rememberAnswer(recordedAnswerOf(completion, options_.holder));
    appendBounded(outgoing_.completions, {completion}, maximumCompletionsKept);
}

void PermissionArbiter::handleTimeouts(TimePoint now)
{
    std::vector<std::uint64_t> late;
    for (const auto &[token, waiting] : waiting_) {
        if (now >= waiting.timeoutAt)
            late.push_back(token);
    }
    for (const std::uint64_t token : late) {
        WaitingRequest &waiting = waiting_.at(token);
        if (waiting.sequence.has_value() && (waiting.mayBeWritten || waiting.isAppendInFlight))
            release(waiting.key, *waiting.sequence);
        abandonIntent(waiting);
        refuse(waiting, verdictAtTimeout(waiting));
    }
}

Verdict PermissionArbiter::verdictAtTimeout(const WaitingRequest &waiting) const
{
    if (waiting.isWaitingForHolder)
        return mayHaveRun(Reason::DuplicateKey,
                          "an earlier call with this idempotency key has not completed");
    if (!fold_.isComplete())
        return notRun(Reason::LogUnavailable,
                      "the history of idempotency keys has not been read from the log yet");
    return notRun(Reason::LogUnavailable,
                  "the log did not confirm the idempotency key before the deadline");
}

void PermissionArbiter::abandonIntent(WaitingRequest &waiting)
{
    if (!waiting.sequence.has_value())
        return;
    waitingBySequence_.erase(*waiting.sequence);
    std::erase_if(outgoing_.intents,
                  [&](const Intent &intent) { return intent.sequence == *waiting.sequence; });
    markAbandoned(*waiting.sequence);
    waiting.sequence.reset();
    waiting.mayBeWritten = false;
    waiting.isAppendInFlight = false;
}

void PermissionArbiter::markAbandoned(std::uint32_t sequence)
{
    abandoned_.insert(sequence);
    if (abandoned_.size() > maximumAbandoned)
        abandoned_.erase(abandoned_.begin());
}

void PermissionArbiter::release(const KeyDigest &key, std::uint32_t sequence)
{
    markAbandoned(sequence);
    appendBounded(outgoing_.releases, {Release{key, sequence}}, maximumReleasesKept);
}

void PermissionArbiter::releaseIfAbandoned(const KeyDigest &key)
{
    // A delayed append may write the intent of an abandoned attempt to the log.
    const KeyEntry *entry = std::as_const(fold_).table().find(key);
    const bool isHeldByAbandoned = entry != nullptr && entry->state == KeyState::Held
                                   && entry->holder == options_.holder
                                   && abandoned_.contains(entry->sequence);
    if (!isHeldByAbandoned)
        return;
    const Release wanted{key, entry->sequence};
    if (std::find(outgoing_.releases.begin(), outgoing_.releases.end(), wanted)
        == outgoing_.releases.end())
        release(key, entry->sequence);
}

OnceBatch PermissionArbiter::takeBatch()
{
    OnceBatch batch;
    batch.holder = options_.holder;
    batch.releases = takeFront(outgoing_.releases, maximumReleasesPerBatch);
    batch.completions = takeFront(outgoing_.completions, maximumCompletionsPerBatch);
    batch.intents = takeFront(outgoing_.intents, maximumIntentsPerBatch);
    for (const Intent &intent : batch.intents) {
        const auto token = waitingBySequence_.find(intent.sequence);
        if (token != waitingBySequence_.end())
            waiting_.at(token->second).isAppendInFlight = true;
    }
    return batch;
}

void PermissionArbiter::handleAppended(const OnceBatch &batch, AppendEffect effect, TimePoint now)
{
    for (const Intent &intent : batch.intents)
        handleIntentAppended(intent, effect);
    if (effect != AppendEffect::Written) {
        appendBounded(outgoing_.releases, batch.releases, maximumReleasesKept);
        appendBounded(outgoing_.completions, batch.completions, maximumCompletionsKept);
    }
    handleTimeouts(now);
}

void PermissionArbiter::handleIntentAppended(const Intent &intent, AppendEffect effect)
{
    const auto token = waitingBySequence_.find(intent.sequence);
    if (token == waitingBySequence_.end())
        return;
    WaitingRequest &waiting = waiting_.at(token->second);
    waiting.isAppendInFlight = false;
    if (effect != AppendEffect::None)
        waiting.mayBeWritten = true;
    // The copy is the same attempt: the first one in the log counts, the others have no effect.
    if (effect != AppendEffect::Written)
        outgoing_.intents.push_back(intent);
}

void PermissionArbiter::rememberAnswer(RecordedAnswer answer)
{
    const KeyDigest key = answer.key;
    const auto [known, isNew] = answers_.try_emplace(key);
    answerBytes_ += answer.size();
    answerBytes_ -= known->second.size();
    known->second = std::move(answer);
    if (isNew)
        answersByAge_.push_back(key);
    while (answerBytes_ > maximumAnswerBytes) {
        const auto oldest = answers_.find(answersByAge_.front());
        answerBytes_ -= oldest->second.size();
        answers_.erase(oldest);
        answersByAge_.pop_front();
    }
}

} // namespace chive
