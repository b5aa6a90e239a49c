#pragma once

#include <LibCore/Clock.h>
#include <LibOnce/OnceRecord.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

namespace chive {

struct KeyDigestHash
{
    /// The digest is uniformly distributed, so half of it serves as the hash.
    std::size_t operator()(const KeyDigest &key) const noexcept { return key.low; }
};

/// The known idempotency keys, each kept for at least the key lifetime. Keys are grouped into a few
/// generations by age and removed one generation at a time, so that entries need no timestamp.
class KeyTable
{
public:
    explicit KeyTable(Milliseconds lifetime);

    [[nodiscard]] const KeyEntry *find(const KeyDigest &key) const;
    [[nodiscard]] KeyEntry *find(const KeyDigest &key);

    /// Inserts or replaces the entry of a key. Its lifetime counts from `now - age`.
    void put(const KeyDigest &key, const KeyEntry &entry, TimePoint now, Milliseconds age = {});

    /// Removes the generations whose keys are all older than the lifetime.
    void removeExpired(TimePoint now);

    void clear();

    [[nodiscard]] std::size_t size() const;

    /// Visits every key with a lower bound of its age.
    void forEach(TimePoint now,
                 const std::function<void(const KeyDigest &, const KeyEntry &, Milliseconds age)>
                         &visit) const;

private:
    struct Generation
    {
        TimePoint start; ///< Its keys were inserted at this time or less than one span later.
        std::unordered_map<KeyDigest, KeyEntry, KeyDigestHash> keys;
    };

    Generation &generationAt(TimePoint time);

    Milliseconds lifetime_;
    Milliseconds span_;                  ///< The time range that one generation covers.
    std::deque<Generation> generations_; ///< Oldest first.
};

/// Applies one record to the table: the first intent in the log for a free key gets to hold it.
/// Every record below `offset` must have been applied before. Returns the keys that the record
/// names.
std::vector<KeyDigest> applyBatch(KeyTable &table, const OnceBatch &batch, std::uint64_t offset,
                                  TimePoint now);

/// Marks the key as completed if the attempt holds it; otherwise changes nothing.
void applyCompletion(KeyTable &table, const Completion &completion, std::uint64_t holder);

/// Encodes the table as the parts of a snapshot that covers every record below `asOf`.
[[nodiscard]] std::vector<SnapshotPart> makeSnapshot(const KeyTable &table, std::uint64_t id,
                                                     std::uint64_t asOf, TimePoint now);

/// Inserts the entries of a snapshot into the table, with the ages that they had there.
void loadSnapshot(KeyTable &table, std::span<const SnapshotEntry> entries, TimePoint now);

} // namespace chive
