#include <LibOnce/KeyTable.h>

#include <algorithm>
#include <utility>

namespace chive {

namespace {

constexpr int generationsPerLifetime = 8;
constexpr std::size_t entriesPerSnapshotPart = 256;

bool isFreeFor(const KeyEntry &entry, const Intent &intent, const Nonce &nonce)
{
    // A duplicate of the intent, or a delayed intent whose release came first.
    if (entry.nonce() == nonce)
        return false;
    // The key is free if it was released. It is also free if the writer of the intent had already
    // read the record that took the key: the writer found the key free, so its lifetime was over.
    return entry.state == KeyState::Released || entry.offset < intent.asOf;
}

void applyRelease(KeyTable &table, const Release &release, std::uint64_t holder,
                  std::uint64_t offset, TimePoint now)
{
    KeyEntry *entry = table.find(release.key);
    if (entry == nullptr || entry->state == KeyState::Released) {
        // Kept so that an intent of the same attempt that arrives later is ignored.
        table.put(release.key, {0, holder, offset, release.sequence, 0, KeyState::Released}, now);
        return;
    }
    if (entry->nonce() == Nonce{holder, release.sequence} && entry->state == KeyState::Held)
        entry->state = KeyState::Released;
}

void applyIntent(KeyTable &table, const Intent &intent, std::uint64_t holder, std::uint64_t offset,
                 TimePoint now)
{
    const Nonce nonce{holder, intent.sequence};
    const KeyEntry *entry = table.find(intent.key);
    if (entry != nullptr && !isFreeFor(*entry, intent, nonce))
        return;
    table.put(intent.key, {intent.fingerprint, holder, offset, intent.sequence, 0, KeyState::Held},
              now);
}

} // namespace

KeyTable::KeyTable(Milliseconds lifetime)
    : lifetime_(lifetime)
    , span_(std::max(lifetime / generationsPerLifetime, Milliseconds(1)))
{}

const KeyEntry *KeyTable::find(const KeyDigest &key) const
{
    for (auto generation = generations_.rbegin(); generation != generations_.rend(); ++generation) {
        const auto found = generation->keys.find(key);
        if (found != generation->keys.end())
            return &found->second;
    }
    return nullptr;
}

KeyEntry *KeyTable::find(const KeyDigest &key)
{
    return const_cast<KeyEntry *>(std::as_const(*this).find(key));
}

KeyTable::Generation &KeyTable::generationAt(TimePoint time)
{
    const auto isLater = [](const Generation &generation, TimePoint moment) {
        return generation.start <= moment;
    };
    auto next = std::lower_bound(generations_.begin(), generations_.end(), time, isLater);
    if (next != generations_.begin() && time < std::prev(next)->start + span_)
        return *std::prev(next);
    return *generations_.insert(next, Generation{time, {}});
}

void KeyTable::put(const KeyDigest &key, const KeyEntry &entry, TimePoint now, Milliseconds age)
{
    for (Generation &generation : generations_)
        generation.keys.erase(key);
    generationAt(now - age).keys.emplace(key, entry);
}

void KeyTable::removeExpired(TimePoint now)
{
    while (!generations_.empty() && generations_.front().start + span_ + lifetime_ <= now)
        generations_.pop_front();
}

void KeyTable::clear()
{
    generations_.clear();
}

std::size_t KeyTable::size() const
{
    std::size_t size = 0;
    for (const Generation &generation : generations_)
        size += generation.keys.size();
    return size;
}

void KeyTable::forEach(TimePoint now, const std::function<void(const KeyDigest &, const KeyEntry &,
                                                               Milliseconds age)> &visit) const
{
    for (const Generation &generation : generations_) {
        // The lowest age that a key of this generation can have, so that no reader of a snapshot
        // removes the key too early.
        const auto age = std::chrono::duration_cast<Milliseconds>(now - generation.start) - span_;
        for (const auto &[key, entry] : generation.keys)
            visit(key, entry, std::max(age, Milliseconds(0)));
    }
}

void applyCompletion(KeyTable &table, const Completion &completion, std::uint64_t holder)
{
    KeyEntry *entry = table.find(completion.key);
    if (entry == nullptr || entry->nonce() != Nonce{holder, completion.sequence})
        return;
    entry->state = KeyState::Completed;
    entry->status = completion.status;
}

std::vector<KeyDigest> applyBatch(KeyTable &table, const OnceBatch &batch, std::uint64_t offset,
                                  TimePoint now)
{
    std::vector<KeyDigest> changedKeys;
    for (const Release &release : batch.releases) {
        applyRelease(table, release, batch.holder, offset, now);
        changedKeys.push_back(release.key);
    }
    for (const Completion &completion : batch.completions) {
        applyCompletion(table, completion, batch.holder);
        changedKeys.push_back(completion.key);
    }
    for (const Intent &intent : batch.intents) {
        applyIntent(table, intent, batch.holder, offset, now);
        changedKeys.push_back(intent.key);
    }
    return changedKeys;
}

std::vector<SnapshotPart> makeSnapshot(const KeyTable &table, std::uint64_t id, std::uint64_t asOf,
                                       TimePoint now)
{
    std::vector<SnapshotPart> parts;
    const auto startPart = [&] { parts.push_back({id, 0, 1, asOf, {}}); };
    startPart();
    table.forEach(now, [&](const KeyDigest &key, const KeyEntry &entry, Milliseconds age) {
        if (parts.back().entries.size() == entriesPerSnapshotPart)
            startPart();
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(age).count();
        parts.back().entries.push_back({key, entry, static_cast<std::uint32_t>(seconds)});
    });
    for (std::uint32_t i = 0; i < parts.size(); ++i) {
        parts[i].part = i;
        parts[i].parts = static_cast<std::uint32_t>(parts.size());
    }
    return parts;
}

void loadSnapshot(KeyTable &table, std::span<const SnapshotEntry> entries, TimePoint now)
{
    for (const SnapshotEntry &remembered : entries)
        table.put(remembered.key, remembered.entry, now,
                  std::chrono::seconds(remembered.ageSeconds));
}

} // namespace chive
