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
    /// The digest is uniform already.
    std::size_t operator()(const KeyDigest &key) const noexcept { return key.low; }
};

/// The keys that are remembered, each for at least its lifetime. They are kept in a few generations
/// by age, and a generation is forgotten whole, so that no key needs a time of its own.
class KeyTable
{
public:
    explicit KeyTable(Milliseconds lifetime);

    [[nodiscard]] const KeyEntry *find(const KeyDigest &key) const;
    [[nodiscard]] KeyEntry *find(const KeyDigest &key);

    /// Remembers the key from now on, in place of what was known of it. With an age, it is
    /// remembered for that much less.
    void put(const KeyDigest &key, const KeyEntry &entry, TimePoint now, Milliseconds age = {});

    /// Forgets what is older than the lifetime.
    void removeExpired(TimePoint now);

    void clear();

    [[nodiscard]] std::size_t size() const;

    void forEach(TimePoint now,
                 const std::function<void(const KeyDigest &, const KeyEntry &, Milliseconds age)>
                         &visit) const;

private:
    struct Generation
    {
        TimePoint start; ///< Keys in here were put at this time or up to one span later.
        std::unordered_map<KeyDigest, KeyEntry, KeyDigestHash> keys;
    };

    Generation &generationAt(TimePoint time);

    Milliseconds lifetime_;
    Milliseconds span_;                  ///< Covered by one generation.
    std::deque<Generation> generations_; ///< Ascending in time.
};

/// Folds one record into the table: whichever intent comes first in the log holds a free key. The
/// table must hold the effect of every record before this offset. Returns the keys it touched.
std::vector<KeyDigest> applyBatch(KeyTable &table, const OnceBatch &batch, std::uint64_t offset,
                                  TimePoint now);

/// Marks the key as run, if this attempt holds it.
void applyCompletion(KeyTable &table, const Completion &completion, std::uint64_t holder);

/// Cuts the table into the parts of a snapshot.
[[nodiscard]] std::vector<SnapshotPart> makeSnapshot(const KeyTable &table, std::uint64_t id,
                                                     std::uint64_t asOf, TimePoint now);

/// Puts the entries of a snapshot into the table.
void loadSnapshot(KeyTable &table, std::span<const SnapshotEntry> entries, TimePoint now);

} // namespace chive
