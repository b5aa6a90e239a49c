#pragma once

#include <LibCore/Clock.h>
#include <LibLog/LogPage.h>
#include <LibOnce/KeyTable.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chive {

/// The whole answer that an attempt got.
struct RecordedAnswer
{
    KeyDigest key;
    Nonce nonce;
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;

    /// Bytes, for the limit on what is kept.
    [[nodiscard]] std::size_t size() const { return contentType.size() + body.size(); }
};

[[nodiscard]] RecordedAnswer recordedAnswerOf(const Completion &completion, std::uint64_t holder);

/// Folds one stream `once-SERVICE` in order and knows whether anything is missing.
///
/// A fold is complete, and only then may it say that a key is free, when it has read every record
/// from offset 0, or a whole snapshot and every record from the snapshot's offset on, or when it
/// has read without a gap for as long as a key is remembered.
class StreamFold
{
public:
    explicit StreamFold(Milliseconds keyLifetime);

    /// What one page changed.
    struct Progress
    {
        std::vector<KeyDigest> changedKeys;
        std::vector<RecordedAnswer> answers; ///< Of attempts that held their keys.
        bool isReplaced = false;             ///< The whole table or its completeness changed.
        /// The reader has to go on from here: a snapshot was loaded, or records were skipped.
        std::optional<std::uint64_t> seekOffset;
    };

    Progress handlePage(const LogPage &page, TimePoint now);

    [[nodiscard]] const KeyTable &table() const { return table_; }
    [[nodiscard]] KeyTable &table() { return table_; }
    [[nodiscard]] bool isComplete() const { return isComplete_; }

    /// One past the last record whose effect is in the table.
    [[nodiscard]] std::uint64_t nextOffset() const { return nextOffset_; }

    /// Records that are in the log and not yet in the table.
    [[nodiscard]] std::uint64_t lag() const { return end_ - nextOffset_; }

    [[nodiscard]] std::uint64_t unreadableRecords() const { return unreadable_; }

    /// Whether a node that starts now could not become complete from what the log still keeps.
    [[nodiscard]] bool isSnapshotMissing() const;

    /// Batches read since the newest whole snapshot.
    [[nodiscard]] std::uint64_t batchesSinceSnapshot() const { return batchesSinceSnapshot_; }

private:
    struct PartialSnapshot
    {
        std::uint64_t asOf = 0;
        std::uint64_t firstOffset = 0;
        std::map<std::uint32_t, std::vector<SnapshotEntry>> parts; ///< Entries only if incomplete.
    };

    void updateBounds(const LogPage &page, TimePoint now, Progress &progress);
    void fold(const LogRecord &record, TimePoint now, Progress &progress);
    void foldBatch(const OnceBatch &batch, std::uint64_t offset, TimePoint now, Progress &progress);
    void foldSnapshotPart(const SnapshotPart &part, std::uint64_t offset, TimePoint now,
                          Progress &progress);
    void load(const PartialSnapshot &snapshot, TimePoint now, Progress &progress);

    Milliseconds keyLifetime_;
    KeyTable table_;
    bool hasStarted_ = false;
    bool isComplete_ = false;
    TimePoint gapFreeSince_;
    std::uint64_t first_ = 0;
    std::uint64_t end_ = 0;
    std::uint64_t nextOffset_ = 0;
    std::uint64_t unreadable_ = 0;

    std::map<std::uint64_t, PartialSnapshot> partialSnapshots_; ///< By the set's identity.
    std::optional<std::uint64_t> snapshotAsOf_;                 ///< Of the newest whole set.
    std::uint64_t snapshotFirstOffset_ = 0;
    std::uint64_t batchesSinceSnapshot_ = 0;
};

} // namespace chive
