#include <LibOnce/StreamFold.h>

#include <algorithm>
#include <utility>

namespace chive {

namespace {

constexpr std::size_t maximumCandidates = 4;

} // namespace

KnownAnswer knownAnswerOf(const Ended &ended, std::uint64_t holder)
{
    return {ended.key, {holder, ended.sequence}, ended.status, ended.contentType, ended.body};
}

StreamFold::StreamFold(Milliseconds keyLifetime)
    : keyLifetime_(keyLifetime)
    , table_(keyLifetime)
{}

StreamFold::Progress StreamFold::handlePage(const LogPage &page, TimePoint now)
{
    Progress progress;
    table_.forgetExpired(now);
    noteBounds(page, now, progress);
    for (const LogRecord &record : page.records) {
        if (progress.followFrom.has_value())
            break;
        if (record.offset < expected_)
            continue;
        if (record.offset > expected_) {
            progress.followFrom = expected_;
            break;
        }
        fold(record, now, progress);
    }
    const bool isCaughtUp = expected_ == end_;
    if (!isComplete_ && isCaughtUp && now - gapFreeSince_ >= keyLifetime_) {
        // Every key that was taken before the gap has outlived its lifetime.
        isComplete_ = true;
        progress.isReplaced = true;
    }
    return progress;
}

void StreamFold::noteBounds(const LogPage &page, TimePoint now, Progress &progress)
{
    if (!hasStarted_) {
        hasStarted_ = true;
        isComplete_ = page.first == 0;
        gapFreeSince_ = now;
        progress.isReplaced = true;
    }
    const bool isPassedByRetention = page.first > expected_;
    const bool isShortened = page.end < expected_;
    if (isPassedByRetention || isShortened) {
        isComplete_ = false;
        gapFreeSince_ = now;
        progress.isReplaced = true;
        expected_ = page.first;
    }
    // A log that lost records has broken its promise. What is known is kept, and the stream is read
    // again in search of a snapshot.
    if (isShortened)
        progress.followFrom = expected_;
    first_ = page.first;
    end_ = std::max(page.end, expected_);
}

void StreamFold::fold(const LogRecord &record, TimePoint now, Progress &progress)
{
    ++expected_;
    const auto parsed = parseOnceRecord(record.payload);
    if (!parsed.has_value()) {
        // Every node fails to read it in the same way, so it has no effect anywhere.
        ++unreadable_;
        return;
    }
    if (const auto *part = std::get_if<SnapshotPart>(&parsed.value())) {
        foldSnapshotPart(*part, record.offset, now, progress);
        return;
    }
    foldBatch(std::get<OnceBatch>(parsed.value()), record.offset, now, progress);
}

void StreamFold::foldBatch(const OnceBatch &batch, std::uint64_t offset, TimePoint now,
                           Progress &progress)
{
    ++batchesSinceSnapshot_;
    const auto touched = applyBatch(table_, batch, offset, now);
    progress.touched.insert(progress.touched.end(), touched.begin(), touched.end());
    for (const Ended &ended : batch.ends) {
        const KeyEntry *entry = std::as_const(table_).find(ended.key);
        const Nonce nonce{batch.holder, ended.sequence};
        if (ended.hasBody && entry != nullptr && entry->nonce() == nonce)
            progress.answers.push_back(knownAnswerOf(ended, batch.holder));
    }
}

void StreamFold::foldSnapshotPart(const SnapshotPart &part, std::uint64_t offset, TimePoint now,
                                  Progress &progress)
{
    // Sets that were never finished give way to newer ones.
    if (!candidates_.contains(part.id) && candidates_.size() == maximumCandidates) {
        const auto oldest = std::min_element(candidates_.begin(), candidates_.end(),
                                             [](const auto &left, const auto &right) {
                                                 return left.second.asOf < right.second.asOf;
                                             });
        candidates_.erase(oldest);
    }
    auto [found, isNew] = candidates_.try_emplace(part.id, Candidate{part.asOf, offset, {}});
    Candidate &candidate = found->second;
    candidate.parts[part.part] = isComplete_ ? std::vector<SnapshotEntry>{} : part.entries;
    if (candidate.parts.size() < part.parts)
        return;

    const Candidate whole = std::move(candidate);
    candidates_.erase(found);
    if (whole.asOf >= snapshotAsOf_.value_or(0)) {
        snapshotAsOf_ = whole.asOf;
        snapshotFirstOffset_ = whole.firstOffset;
        batchesSinceSnapshot_ = 0;
    }
    if (!isComplete_ && whole.asOf >= first_ && whole.asOf <= expected_)
        load(whole, now, progress);
}

void StreamFold::load(const Candidate &snapshot, TimePoint now, Progress &progress)
{
    table_.clear();
    for (const auto &[number, entries] : snapshot.parts)
        loadSnapshot(table_, entries, now);
    expected_ = snapshot.asOf;
    isComplete_ = true;
    progress.isReplaced = true;
    progress.followFrom = expected_;
}

bool StreamFold::isSnapshotMissing() const
{
    if (first_ == 0)
        return false;
    return !snapshotAsOf_.has_value() || *snapshotAsOf_ < first_ || snapshotFirstOffset_ < first_;
}

} // namespace chive
