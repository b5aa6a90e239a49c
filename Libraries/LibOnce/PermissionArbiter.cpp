#include <LibOnce/PermissionArbiter.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace chive {

namespace {

/// Left of a call's deadline when it is refused, so that the refusal still reaches the caller.
constexpr Milliseconds refusalMargin{50};
constexpr Milliseconds longestWaitForAnother{2'000};
constexpr Milliseconds retryDelay{1'000};

constexpr std::size_t maximumIntentsPerBatch = 200;
constexpr std::size_t maximumReleasesPerBatch = 500;
constexpr std::size_t maximumEndsPerBatch = 100;
constexpr std::size_t maximumEndsKept = 5'000;
constexpr std::size_t maximumReleasesKept = 20'000;
constexpr std::size_t maximumGivenUp = 20'000;

/// Bytes. Larger answers are not kept; a repeat then learns only that the request ran.
constexpr std::size_t largestKeptAnswer = 1'024;
constexpr std::size_t maximumAnswerBytes = 4 * 1024 * 1024;

template<typename Item>
std::vector<Item> takeFront(std::vector<Item> &items, std::size_t most)
{
    const auto end = items.begin() + static_cast<std::ptrdiff_t>(std::min(most, items.size()));
    std::vector<Item> taken(std::make_move_iterator(items.begin()), std::make_move_iterator(end));
    items.erase(items.begin(), end);
    return taken;
}

/// Appends to a list and drops its oldest items over the limit.
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

Ended endedOf(const KeyDigest &key, std::uint32_t sequence, const Judged<Answer> &result)
{
    Ended ended;
    ended.key = key;
    ended.sequence = sequence;
    if (!result.has_value())
        return ended;
    const Answer &answer = result.value();
    ended.status = static_cast<std::uint16_t>(answer.status);
    const std::string_view body = bytesOf(answer.body);
    const std::string_view contentType = findHeader(answer.headers, "Content-Type");
    if (body.size() + contentType.size() > largestKeptAnswer || !isUtf8(body)
        || !isUtf8(contentType))
        return ended;
    ended.hasBody = true;
    ended.contentType = contentType;
    ended.body = body;
    return ended;
}

} // namespace

PermissionArbiter::PermissionArbiter(const ArbiterOptions &options)
    : options_(options)
    , fold_(options.keyLifetime)
{
    outgoing_.holder = options.holder;
}

void PermissionArbiter::handleAsk(const PermissionAsk &asked, TimePoint now)
{
    Ask ask;
    ask.token = asked.token;
    ask.key = digestOfKey(asked.key);
    ask.fingerprint = digestOfFingerprint(asked.fingerprint);
    ask.deadline = asked.deadline;
    ask.givesUpAt = asked.deadline - refusalMargin;
    if (asked.key.empty()) {
        refuse(ask, notRun(Reason::MissingKey, "this kind needs an Idempotency-Key"));
        return;
    }
    if (asks_.size() >= options_.maximumAsks) {
        refuse(ask, notRun(Reason::Overloaded, "too many calls wait for the log"));
        return;
    }
    asks_.emplace(ask.token, ask);
    asksByKey_.emplace(ask.key, ask.token);
    evaluate(ask.token, now);
}

void PermissionArbiter::evaluate(std::uint64_t token, TimePoint now)
{
    const auto found = asks_.find(token);
    if (found == asks_.end())
        return;
    Ask &ask = found->second;
    const KeyEntry *entry = std::as_const(fold_).table().find(ask.key);
    const bool isFree = entry == nullptr || entry->state == KeyState::Released;
    if (isFree) {
        ask.isWaitingForAnother = false;
        ask.givesUpAt = ask.deadline - refusalMargin;
        if (fold_.isComplete() && !ask.sequence.has_value())
            writeIntent(ask);
        return;
    }
    const bool isOwn
            = ask.sequence.has_value() && entry->nonce() == Nonce{options_.holder, *ask.sequence};
    if (isOwn) {
        if (fold_.isComplete() && now < ask.deadline)
            grant(ask);
        return;
    }
    // Whoever holds the key came first; this attempt's own intent has no effect any more.
    forgetIntent(ask);
    if (entry->fingerprint != ask.fingerprint)
        refuse(ask, notRun(Reason::BadRequest, "the key was used with another request"));
    else if (entry->state == KeyState::Ended)
        decideEnded(ask, *entry);
    else
        waitForAnother(ask, now);
}

void PermissionArbiter::evaluateAll(TimePoint now)
{
    std::vector<std::uint64_t> tokens;
    for (const auto &[token, ask] : asks_)
        tokens.push_back(token);
    for (const std::uint64_t token : tokens)
        evaluate(token, now);
}

void PermissionArbiter::evaluateKey(const KeyDigest &key, TimePoint now)
{
    std::vector<std::uint64_t> tokens;
    const auto [begin, end] = asksByKey_.equal_range(key);
    for (auto ask = begin; ask != end; ++ask)
        tokens.push_back(ask->second);
    for (const std::uint64_t token : tokens)
        evaluate(token, now);
}

void PermissionArbiter::writeIntent(Ask &ask)
{
    if (fold_.table().size() >= options_.maximumKeys) {
        refuse(ask, notRun(Reason::Overloaded, "too many keys are remembered"));
        return;
    }
    ask.sequence = nextSequence_++;
    asksBySequence_.emplace(*ask.sequence, ask.token);
    outgoing_.intents.push_back({ask.key, ask.fingerprint, *ask.sequence, fold_.expected()});
}

void PermissionArbiter::waitForAnother(Ask &ask, TimePoint now)
{
    if (ask.isWaitingForAnother)
        return;
    ask.isWaitingForAnother = true;
    ask.givesUpAt = std::min(ask.deadline - refusalMargin, now + longestWaitForAnother);
}

void PermissionArbiter::grant(const Ask &ask)
{
    granted_.emplace(ask.token, Grant{ask.key, *ask.sequence});
    decide(ask, {ask.token, true});
}

void PermissionArbiter::refuse(const Ask &ask, Verdict verdict)
{
    if (verdict.reason != Reason::BadRequest && verdict.reason != Reason::MissingKey)
        verdict.retryAfter = retryDelay;
    decide(ask, {ask.token, false, std::move(verdict)});
}

void PermissionArbiter::decideEnded(const Ask &ask, const KeyEntry &entry)
{
    const auto known = answers_.find(ask.key);
    if (known != answers_.end() && known->second.nonce == entry.nonce()) {
        Answer answer;
        answer.status = entry.status;
        if (!known->second.contentType.empty())
            answer.headers.emplace_back("Content-Type", known->second.contentType);
        answer.body = makeBody(known->second.body);
        decide(ask, {ask.token, false, std::move(answer)});
        return;
    }
    Verdict verdict;
    verdict.execution = Execution::HasRun;
    verdict.reason = Reason::DuplicateKey;
    verdict.detail = entry.status == 0
                             ? "the first answer is not known"
                             : "the first answer had status " + std::to_string(entry.status);
    decide(ask, {ask.token, false, std::move(verdict)});
}

void PermissionArbiter::decide(const Ask &asked, PermissionDecision decision)
{
    const Ask ask = asked;
    decisions_.push_back(std::move(decision));
    if (ask.sequence.has_value())
        asksBySequence_.erase(*ask.sequence);
    const auto [begin, end] = asksByKey_.equal_range(ask.key);
    const auto indexed
            = std::find_if(begin, end, [&](const auto &pair) { return pair.second == ask.token; });
    if (indexed != end)
        asksByKey_.erase(indexed);
    asks_.erase(ask.token);
}

void PermissionArbiter::handlePage(const LogPage &page, TimePoint now)
{
    const StreamFold::Progress progress = fold_.handlePage(page, now);
    if (progress.followFrom.has_value())
        followFrom_ = progress.followFrom;
    for (const KnownAnswer &answer : progress.answers)
        rememberAnswer(answer);
    for (const KeyDigest &key : progress.touched) {
        releaseIfGivenUp(key);
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
    // When it may have run, the key stays held: nobody can say more about it.
    if (execution == Execution::MayHaveRun)
        return;
    const Ended ended = endedOf(granted.key, granted.sequence, result);
    applyEnded(fold_.table(), ended, options_.holder);
    if (ended.hasBody)
        rememberAnswer(knownAnswerOf(ended, options_.holder));
    appendBounded(outgoing_.ends, {ended}, maximumEndsKept);
}

void PermissionArbiter::handleTime(TimePoint now)
{
    std::vector<std::uint64_t> late;
    for (const auto &[token, ask] : asks_) {
        if (now >= ask.givesUpAt)
            late.push_back(token);
    }
    for (const std::uint64_t token : late) {
        Ask &ask = asks_.at(token);
        if (ask.sequence.has_value() && (ask.mayBeWritten || ask.isOut))
            release(ask.key, *ask.sequence);
        forgetIntent(ask);
        refuse(ask, verdictAtGiveUp(ask));
    }
}

Verdict PermissionArbiter::verdictAtGiveUp(const Ask &ask) const
{
    if (ask.isWaitingForAnother)
        return mayHaveRun(Reason::DuplicateKey, "an earlier attempt with this key has not ended");
    if (!fold_.isComplete())
        return notRun(Reason::LogUnavailable, "the history of keys could not be read yet");
    return notRun(Reason::LogUnavailable, "the log did not confirm the key in time");
}

void PermissionArbiter::forgetIntent(Ask &ask)
{
    if (!ask.sequence.has_value())
        return;
    asksBySequence_.erase(*ask.sequence);
    std::erase_if(outgoing_.intents,
                  [&](const Intent &intent) { return intent.sequence == *ask.sequence; });
    noteGivenUp(*ask.sequence);
    ask.sequence.reset();
    ask.mayBeWritten = false;
    ask.isOut = false;
}

void PermissionArbiter::noteGivenUp(std::uint32_t sequence)
{
    givenUp_.insert(sequence);
    if (givenUp_.size() > maximumGivenUp)
        givenUp_.erase(givenUp_.begin());
}

void PermissionArbiter::release(const KeyDigest &key, std::uint32_t sequence)
{
    noteGivenUp(sequence);
    appendBounded(outgoing_.releases, {Release{key, sequence}}, maximumReleasesKept);
}

void PermissionArbiter::releaseIfGivenUp(const KeyDigest &key)
{
    // An append that was delayed for long may put the intent of an abandoned attempt into the log.
    const KeyEntry *entry = std::as_const(fold_).table().find(key);
    const bool isHeldInVain = entry != nullptr && entry->state == KeyState::Held
                              && entry->holder == options_.holder
                              && givenUp_.contains(entry->sequence);
    if (!isHeldInVain)
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
    batch.ends = takeFront(outgoing_.ends, maximumEndsPerBatch);
    batch.intents = takeFront(outgoing_.intents, maximumIntentsPerBatch);
    for (const Intent &intent : batch.intents) {
        const auto token = asksBySequence_.find(intent.sequence);
        if (token != asksBySequence_.end())
            asks_.at(token->second).isOut = true;
    }
    return batch;
}

void PermissionArbiter::handleAppended(const OnceBatch &batch, AppendEffect effect, TimePoint now)
{
    for (const Intent &intent : batch.intents)
        writeIntentAgain(intent, effect);
    if (effect != AppendEffect::Written) {
        appendBounded(outgoing_.releases, batch.releases, maximumReleasesKept);
        appendBounded(outgoing_.ends, batch.ends, maximumEndsKept);
    }
    handleTime(now);
}

void PermissionArbiter::writeIntentAgain(const Intent &intent, AppendEffect effect)
{
    const auto token = asksBySequence_.find(intent.sequence);
    if (token == asksBySequence_.end())
        return;
    Ask &ask = asks_.at(token->second);
    ask.isOut = false;
    if (effect != AppendEffect::None)
        ask.mayBeWritten = true;
    // The same attempt: whichever copy comes first in the log counts, the others have no effect.
    if (effect != AppendEffect::Written)
        outgoing_.intents.push_back(intent);
}

void PermissionArbiter::rememberAnswer(KnownAnswer answer)
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
