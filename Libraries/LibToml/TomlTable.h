#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// The mistakes found in one TOML file, in the order in which they were found.
class TomlMistakes
{
public:
    explicit TomlMistakes(std::string_view fileName)
        : fileName_(fileName)
    {}

    /// Adds `file:line: expectation`.
    void add(std::uint32_t line, std::string_view expectation);

    [[nodiscard]] bool isEmpty() const { return lines_.empty(); }

    /// All mistakes as one error of kind Invalid, one line each.
    [[nodiscard]] Error error() const;

private:
    std::string fileName_;
    std::vector<std::string> lines_;
};

/// Whether a key must be there.
enum class Presence {
    Required,
    Optional,
};

/// What a text must look like; `expectation` names it for people: "[a-z0-9-]{1,64}".
struct TextRule
{
    std::function<bool(std::string_view)> matches;
    std::string_view expectation;
};

/// Lower-case letters, digits and hyphens, 1 to 64 of them.
[[nodiscard]] TextRule identifierRule();

/// Any text of at most that many bytes without control characters.
[[nodiscard]] TextRule plainTextRule();

/// An inclusive range of whole numbers with its unit for people: "bytes", "ms".
struct IntegerRange
{
    std::int64_t least = 0;
    std::int64_t most = 0;
    std::string_view unit;
};

/// Reads one TOML table strictly: every key that is read is checked for its type and range, and
/// `rejectUnknownKeys` reports the others. Mistakes are collected, not thrown; a mistaken key reads
/// as its fallback.
class TomlTable
{
public:
    /// Parses the whole text. A syntax error goes to `mistakes` and the result is empty.
    [[nodiscard]] static std::optional<TomlTable> parse(std::string_view text,
                                                        TomlMistakes &mistakes);

    [[nodiscard]] bool has(std::string_view key) const;

    /// Line on which the key's value begins, or the table's own line when the key is missing.
    [[nodiscard]] std::uint32_t lineOf(std::string_view key) const;
    [[nodiscard]] std::uint32_t line() const;

    [[nodiscard]] std::string text(std::string_view key, Presence presence, const TextRule &rule);
    [[nodiscard]] std::int64_t integer(std::string_view key, std::int64_t fallback,
                                       const IntegerRange &range);
    /// The index of the text among `names`.
    [[nodiscard]] std::size_t choice(std::string_view key, std::size_t fallback,
                                     std::span<const std::string_view> names);
    [[nodiscard]] std::vector<std::string> texts(std::string_view key, const TextRule &rule);
    /// A table of that name; empty when it is missing or no table.
    [[nodiscard]] std::optional<TomlTable> table(std::string_view key, Presence presence);
    [[nodiscard]] std::vector<TomlTable> tables(std::string_view key);

    /// Reports every key that was never asked for.
    void rejectUnknownKeys();

    /// Reports a mistake on the key's line.
    void reject(std::string_view key, std::string_view expectation);

private:
    struct Source;

    TomlTable(std::shared_ptr<const Source> source, std::string path, TomlMistakes &mistakes);

    void rejectMissing(std::string_view key);
    [[nodiscard]] std::string nameOf(std::string_view key) const;

    std::shared_ptr<const Source> source_;
    std::string path_; ///< "endpoints" or "added.kinds"; empty for the whole file.
    TomlMistakes *mistakes_;
    std::set<std::string, std::less<>> known_;
};

} // namespace chive
