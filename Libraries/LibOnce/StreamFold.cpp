#include <LibOnce/StreamFold.h>

#include <algorithm>
#include <utility>

namespace chive {

namespace {

constexpr std::size_t maximumPartialSnapshots = 4;

} // namespace

RecordedAnswer recordedAnswerOf(const Completion &completion, std::uint64_t holder)
{
    return {completion.key,
            {holder, completion.sequence},
            completion.status,
            completion.contentType,
            completion.body};
}

StreamFold::StreamFold(Milliseconds keyLifetime)
    : keyLifetime_(keyLifetime)
    , table_(keyLifetime)
{}

StreamFold::Progress StreamFold::handlePage(const LogPage &page, TimePoint now)
{
    Progress progress;
    table_.removeExpired(now);
    updateBounds(page, now, progress);
    for (const LogRecord &record : page.records) {
        if (progress.seekOffset.has_value())
            break;
        if (record.offset < nextOffset_)
            continue;
        if (record.offset > nextOffset_) {
            progress.seekOffset = nextOffset_;
            break;
        }
        fold(record, now, progress);
    }
    const bool isCaughtUp = nextOffset_ == end_;
    if (!isComplete_ && isCaughtUp && now - gapFreeSince_ >= keyLifetime_) {
        // Every key that was taken before the end of the gap has expired.
        isComplete_ = true;
        progress.isReplaced = true;
    }
    return progress;
}

void StreamFold::updateBounds(const LogPage &page, TimePoint now, Progress &progress)
{
    if (!hasStarted_) {
        hasStarted_ = true;
        isComplete_ = page.first == 0;
        gapFreeSince_ = now;
        progress.isReplaced = true;
    }
    const bool isPassedByRetention = page.first > nextOffset_;
    const bool isShortened = page.end < nextOffset_;
    if (isPassedByRetention || isShortened) {
        isComplete_ = false;
        gapFreeSince_ = now;
        progress.isReplaced = true;
        nextOffset_ = page.first;
    }
    // The log lost records, which it must not do. Keep the known keys and read the stream again
    // from its first retained record, in search of a snapshot.
    if (isShortened)
        progress.seekOffset = nextOffset_;
    first_ = page.first;
    end_ = std::max(page.end, nextOffset_);
}

void StreamFold::fold(const LogRecord &record, TimePoint now, Progress &progress)
{
    ++nextOffset_;
    const auto parsed = parseOnceRecord(record.payload);
    if (!parsed.has_value()) {
        // All nodes fail to parse it, so ignoring it keeps their tables equal.
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
    const auto changedKeys = applyBatch(table_, batch, offset, now);
    progress.changedKeys.insert(progress.changedKeys.end(), changedKeys.begin(), changedKeys.end());
    for (const Completion &completion : batch.completions) {
        const KeyEntry *entry = std::as_const(table_).find(completion.key);
        const Nonce nonce{batch.holder, completion.sequence};
        if (completion.hasBody && entry != nullptr && entry->nonce() == nonce)
            progress.answers.push_back(recordedAnswerOf(completion, batch.holder));
    }
}

void StreamFold::foldSnapshotPart(const SnapshotPart &part, std::uint64_t offset, TimePoint now,
                                  Progress &progress)
{
    // Drop the oldest snapshot that is still partial, since its writer may never finish it.
    if (!partialSnapshots_.contains(part.id)
        && partialSnapshots_.size() == maximumPartialSnapshots) {
        const auto oldest = std::min_element(partialSnapshots_.begin(), partialSnapshots_.end(),
                                             [](const auto &left, const auto &right) {
                                                 return left.second.asOf < right.second.asOf;
                                             });
        partialSnapshots_.erase(oldest);
    }
    auto [found, isNew]
            = partialSnapshots_.try_emplace(part.id, PartialSnapshot{part.asOf, offset, {}});
    PartialSnapshot &partial = found->second;
    partial.parts[part.part] = isComplete_ ? std::vector<SnapshotEntry>{} : part.entries;
    if (partial.parts.size() < part.parts)
        return;

    const PartialSnapshot whole = std::move(partial);
    partialSnapshots_.erase(found);
    if (whole.asOf >= snapshotAsOf_.value_or(0)) {
        snapshotAsOf_ = whole.asOf;
        snapshotFirstOffset_ = whole.firstOffset;
        batchesSinceSnapshot_ = 0;
    }
    if (!isComplete_ && whole.asOf >= first_ && whole.asOf <= nextOffset_)
        load(whole, now, progress);
}

void StreamFold::load(const PartialSnapshot &snapshot, TimePoint now, Progress &progress)
{
    table_.clear();
    for (const auto &[number, entries] : snapshot.parts)
        loadSnapshot(table_, entries, now);
    nextOffset_ = snapshot.asOf;
    isComplete_ = true;
    progress.isReplaced = true;
    progress.seekOffset = nextOffset_;
}

bool StreamFold::isSnapshotMissing() const
{
    if (first_ == 0)
        return false;
    return !snapshotAsOf_.has_value() || *snapshotAsOf_ < first_ || snapshotFirstOffset_ < first_;
}

} // namespace chive
