#pragma once

#include <LibCore/Result.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The records of a stream `once-SERVICE`, as JSON text.
namespace chive {

/// The XXH3 digest of an idempotency key. Two keys that collide are taken for one: the later one is
/// refused, so a collision can cost an answer but never run a key twice.
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

[[nodiscard]] KeyDigest digestOfKey(std::string_view key);

/// A shorter digest of a request's fingerprint.
[[nodiscard]] std::uint64_t digestOfFingerprint(std::string_view fingerprint);

/// Names one attempt to hold a key; never used twice.
struct Nonce
{
    std::uint64_t holder = 0;   ///< Random for each start of a node.
    std::uint32_t sequence = 0; ///< Counts the attempts of that holder.

    bool operator==(const Nonce &) const = default;
};

/// The holder wants to run the key. It may do so once it has read that this intent holds the key.
struct Intent
{
    KeyDigest key;
    std::uint64_t fingerprint = 0;
    std::uint32_t sequence = 0;
    /// The holder had read every record below this offset and found the key free.
    std::uint64_t asOf = 0;

    bool operator==(const Intent &) const = default;
};

/// The attempt has not run and never will.
struct Release
{
    KeyDigest key;
    std::uint32_t sequence = 0;

    bool operator==(const Release &) const = default;
};

/// The attempt ran.
struct Completion
{
    KeyDigest key;
    std::uint32_t sequence = 0;
    std::uint16_t status = 0; ///< Of the target's answer; 0 when the answer is not known.
    bool hasBody = false;     ///< Whether contentType and body are the whole answer.
    std::string contentType;
    std::string body;

    bool operator==(const Completion &) const = default;
};

/// What one holder has to say, in one record. Releases count first, then ends, then intents.
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

/// Whether a key may still be taken.
enum class KeyState : std::uint8_t {
    Held,      ///< One attempt may run it, may be running it, or may have run it.
    Released,  ///< Free: the attempt that held it has not run and never will.
    Completed, ///< It ran.
};

/// What is remembered of one key.
struct KeyEntry
{
    std::uint64_t fingerprint = 0;
    std::uint64_t holder = 0;
    std::uint64_t offset = 0; ///< Of the record that made this attempt hold the key.
    std::uint32_t sequence = 0;
    std::uint16_t status = 0;
    KeyState state = KeyState::Held;

    [[nodiscard]] Nonce nonce() const { return {holder, sequence}; }
    bool operator==(const KeyEntry &) const = default;
};

struct SnapshotEntry
{
    KeyDigest key;
    KeyEntry entry;
    std::uint32_t ageSeconds = 0; ///< How long the writer has remembered the key.

    bool operator==(const SnapshotEntry &) const = default;
};

/// A part of what was remembered after every record below `asOf`. A set of all parts, followed by
/// the records from `asOf` on, stands for the whole stream.
struct SnapshotPart
{
    std::uint64_t id = 0; ///< Random; the same in all parts of a set.
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::uint64_t asOf = 0;
    std::vector<SnapshotEntry> entries;

    bool operator==(const SnapshotPart &) const = default;
};

using OnceRecord = std::variant<OnceBatch, SnapshotPart>;

[[nodiscard]] std::string encodeOnceRecord(const OnceRecord &record);
[[nodiscard]] Result<OnceRecord> parseOnceRecord(std::string_view payload);

} // namespace chive
