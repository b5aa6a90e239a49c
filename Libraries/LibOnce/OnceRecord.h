#pragma once

#include <LibCore/Result.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The records of a stream `once-SERVICE` of the log, which are JSON text.
namespace chive {

/// The XXH3 digest of an idempotency key. Keys with the same digest count as one key: a collision
/// makes the later call fail, but never runs a key twice.
struct KeyDigest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const KeyDigest &) const = default;
    bool operator<(const KeyDigest &other) const
    {
        return high != other.high ? high < other.high : low < other.low;
    }
};

/// Digest of an idempotency key.
[[nodiscard]] KeyDigest digestOfKey(std::string_view key);

/// A 64-bit digest of a request's fingerprint.
[[nodiscard]] std::uint64_t digestOfFingerprint(std::string_view fingerprint);

/// Identifies one attempt to hold a key; never reused.
struct Nonce
{
    std::uint64_t holder = 0;   ///< Random, drawn at each start of a node.
    std::uint32_t sequence = 0; ///< Number of the attempt within that holder.

    bool operator==(const Nonce &) const = default;
};

/// The holder wants to run the call with this key. It may do so once it has read from the log that
/// this intent holds the key.
struct Intent
{
    KeyDigest key;
    std::uint64_t fingerprint = 0;
    std::uint32_t sequence = 0;
    /// The holder had read every record below this offset when it found the key free.
    std::uint64_t asOf = 0;

    bool operator==(const Intent &) const = default;
};

/// The attempt did not run and never will.
struct Release
{
    KeyDigest key;
    std::uint32_t sequence = 0;

    bool operator==(const Release &) const = default;
};

/// The attempt ran, with this answer if it is known.
struct Completion
{
    KeyDigest key;
    std::uint32_t sequence = 0;
    std::uint16_t status = 0; ///< HTTP status of the target's answer; 0 if it is not known.
    bool hasBody = false;     ///< Whether contentType and body hold the whole answer.
    std::string contentType;
    std::string body;

    bool operator==(const Completion &) const = default;
};

/// Changes by one holder, written as one record. Releases apply first, then completions, then
/// intents.
struct OnceBatch
{
    std::uint64_t holder = 0;
    std::vector<Release> releases;
    std::vector<Completion> completions;
    std::vector<Intent> intents;

    [[nodiscard]] bool isEmpty() const
    {
        return releases.empty() && completions.empty() && intents.empty();
    }
    bool operator==(const OnceBatch &) const = default;
};

/// Whether an attempt may take the key. Snapshots store the numeric values.
enum class KeyState : std::uint8_t {
    Held,      ///< One attempt may run, be running or have run.
    Released,  ///< Free: the attempt that held it did not run and never will.
    Completed, ///< The attempt ran.
};

/// What is known about one key.
struct KeyEntry
{
    std::uint64_t fingerprint = 0;
    std::uint64_t holder = 0;
    std::uint64_t offset = 0; ///< Offset of the record by which this attempt took the key.
    std::uint32_t sequence = 0;
    std::uint16_t status = 0; ///< As in Completion.
    KeyState state = KeyState::Held;

    [[nodiscard]] Nonce nonce() const { return {holder, sequence}; }
    bool operator==(const KeyEntry &) const = default;
};

struct SnapshotEntry
{
    KeyDigest key;
    KeyEntry entry;
    std::uint32_t ageSeconds = 0; ///< Lower bound of the key's age when the snapshot was taken.

    bool operator==(const SnapshotEntry &) const = default;
};

/// One part of a snapshot of the table after every record below `asOf`. All parts of a snapshot,
/// followed by the records from `asOf` on, replace the whole stream.
struct SnapshotPart
{
    std::uint64_t id = 0;    ///< Random; the same in all parts of a snapshot.
    std::uint32_t part = 0;  ///< Index of this part, below `parts`.
    std::uint32_t parts = 1; ///< Number of parts of the snapshot.
    std::uint64_t asOf = 0;
    std::vector<SnapshotEntry> entries;

    bool operator==(const SnapshotPart &) const = default;
};

using OnceRecord = std::variant<OnceBatch, SnapshotPart>;

/// The record's JSON text. Bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string encodeOnceRecord(const OnceRecord &record);
/// Parses a record; Error::Kind::Invalid for malformed text.
[[nodiscard]] Result<OnceRecord> parseOnceRecord(std::string_view payload);

} // namespace chive
