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

/// The whole answer to an attempt.
struct RecordedAnswer
{
    KeyDigest key;
    Nonce nonce;
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;

    /// In bytes; counts towards the limit on recorded answers.
    [[nodiscard]] std::size_t size() const { return contentType.size() + body.size(); }
};

[[nodiscard]] RecordedAnswer recordedAnswerOf(const Completion &completion, std::uint64_t holder);

/// Builds the key table of one service from its stream `once-SERVICE`, in order of offset, and
/// tracks whether the table is complete.
///
/// Only a complete table can show that a key is free. It is complete after every record from offset
/// 0 was read, or a whole snapshot and every record from its `asOf` on, or after the stream was
/// read without a gap for one key lifetime.
class StreamFold
{
public:
    explicit StreamFold(Milliseconds keyLifetime);

    /// What one page changed.
    struct Progress
    {
        std::vector<KeyDigest> changedKeys;
        std::vector<RecordedAnswer> answers; ///< From attempts that hold their keys.
        bool isReplaced = false;             ///< The whole table or its completeness changed.
        /// Read on from this offset: a snapshot was loaded, or records are missing from the page.
        std::optional<std::uint64_t> seekOffset;
    };

    Progress handlePage(const LogPage &page, TimePoint now);

    [[nodiscard]] const KeyTable &table() const { return table_; }
    [[nodiscard]] KeyTable &table() { return table_; }
    [[nodiscard]] bool isComplete() const { return isComplete_; }

    /// Every record below this offset has been applied to the table or skipped.
    [[nodiscard]] std::uint64_t nextOffset() const { return nextOffset_; }

    /// Number of records in the log that have not been applied to the table yet.
    [[nodiscard]] std::uint64_t lag() const { return end_ - nextOffset_; }

    [[nodiscard]] std::uint64_t unreadableRecords() const { return unreadable_; }

    /// Whether a node that starts now could not build a complete table from the retained records.
    [[nodiscard]] bool isSnapshotMissing() const;

    /// Number of batches read since the latest whole snapshot.
    [[nodiscard]] std::uint64_t batchesSinceSnapshot() const { return batchesSinceSnapshot_; }

private:
    struct PartialSnapshot
    {
        std::uint64_t asOf = 0;
        std::uint64_t firstOffset = 0;
        /// By part index; the entries are dropped while the table is complete.
        std::map<std::uint32_t, std::vector<SnapshotEntry>> parts;
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

    std::map<std::uint64_t, PartialSnapshot> partialSnapshots_; ///< By snapshot id.
    std::optional<std::uint64_t> snapshotAsOf_;                 ///< Of the latest whole snapshot.
    std::uint64_t snapshotFirstOffset_ = 0;
    std::uint64_t batchesSinceSnapshot_ = 0;
};

} // namespace chive
