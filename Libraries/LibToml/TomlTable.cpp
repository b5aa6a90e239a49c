#include <LibToml/TomlTable.h>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <algorithm>

namespace chive {

namespace {

constexpr std::size_t maximumIdentifierSize = 64;
constexpr std::size_t maximumPlainTextSize = 256;

bool isIdentifier(std::string_view text)
{
    if (text.empty() || text.size() > maximumIdentifierSize)
        return false;
    return std::ranges::all_of(text, [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    });
}

bool isPlainText(std::string_view text)
{
    if (text.size() > maximumPlainTextSize)
        return false;
    return std::ranges::none_of(text, [](unsigned char c) { return c < 0x20 || c == 0x7F; });
}

std::uint32_t lineOfNode(const toml::node &node)
{
    return node.source().begin.line;
}

} // namespace

void TomlMistakes::add(std::uint32_t line, std::string_view expectation)
{
    lines_.push_back(fileName_ + ":" + std::to_string(line) + ": " + std::string(expectation));
}

Error TomlMistakes::error() const
{
    std::string message;
    for (const std::string &line : lines_) {
        if (!message.empty())
            message += '\n';
        message += line;
    }
    return {Error::Kind::Invalid, std::move(message)};
}

TextRule identifierRule()
{
    return {isIdentifier, "1 to 64 lower-case letters, digits or hyphens"};
}

TextRule plainTextRule()
{
    return {isPlainText, "at most 256 bytes without control characters"};
}

/// Keeps the whole document alive as long as any table of it is read.
struct TomlTable::Source
{
    std::shared_ptr<const toml::table> document;
    const toml::table *table = nullptr;
    std::uint32_t line = 1;
};

std::optional<TomlTable> TomlTable::parse(std::string_view text, TomlMistakes &mistakes)
{
    toml::parse_result parsed = toml::parse(text);
    if (!parsed) {
        const toml::parse_error &error = parsed.error();
        mistakes.add(error.source().begin.line,
                     "expected TOML: " + std::string(error.description()));
        return std::nullopt;
    }
    const auto document = std::make_shared<const toml::table>(std::move(parsed).table());
    auto source = std::make_shared<const Source>(Source{document, document.get(), 1});
    return TomlTable(std::move(source), {}, mistakes);
}

TomlTable::TomlTable(std::shared_ptr<const Source> source, std::string path, TomlMistakes &mistakes)
    : source_(std::move(source))
    , path_(std::move(path))
    , mistakes_(&mistakes)
{}

bool TomlTable::has(std::string_view key) const
{
    return source_->table->contains(key);
}

std::uint32_t TomlTable::lineOf(std::string_view key) const
{
    const toml::node *node = source_->table->get(key);
    return node == nullptr ? line() : lineOfNode(*node);
}

std::uint32_t TomlTable::line() const
{
    return source_->line;
}

std::string TomlTable::nameOf(std::string_view key) const
{
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void TomlTable::reject(std::string_view key, std::string_view expectation)
{
    mistakes_->add(lineOf(key), nameOf(key) + ": " + std::string(expectation));
}

void TomlTable::rejectMissing(std::string_view key)
{
    mistakes_->add(line(), "expected the key " + nameOf(key));
}

std::string TomlTable::text(std::string_view key, Presence presence, const TextRule &rule)
{
    known_.emplace(key);
    const toml::node *node = source_->table->get(key);
    if (node == nullptr) {
        if (presence == Presence::Required)
            rejectMissing(key);
        return {};
    }
    const auto *value = node->as_string();
    if (value == nullptr || !rule.matches(value->get())) {
        reject(key, "expected " + std::string(rule.expectation));
        return {};
    }
    return value->get();
}

std::int64_t TomlTable::integer(std::string_view key, std::int64_t fallback,
                                const IntegerRange &range)
{
    known_.emplace(key);
    const toml::node *node = source_->table->get(key);
    if (node == nullptr)
        return fallback;
    const auto *value = node->as_integer();
    if (value == nullptr || value->get() < range.least || value->get() > range.most) {
        reject(key, "expected a whole number of " + std::to_string(range.least) + " to "
                            + std::to_string(range.most) + " " + std::string(range.unit));
        return fallback;
    }
    return value->get();
}

std::size_t TomlTable::choice(std::string_view key, std::size_t fallback,
                              std::span<const std::string_view> names)
{
    known_.emplace(key);
    const toml::node *node = source_->table->get(key);
    if (node == nullptr)
        return fallback;
    const auto *value = node->as_string();
    const auto found = value == nullptr ? names.end() : std::ranges::find(names, value->get());
    if (found != names.end())
        return static_cast<std::size_t>(found - names.begin());
    std::string expectation = "expected one of";
    for (const std::string_view name : names)
        expectation += " \"" + std::string(name) + "\"";
    reject(key, expectation);
    return fallback;
}

std::vector<std::string> TomlTable::texts(std::string_view key, const TextRule &rule)
{
    known_.emplace(key);
    const toml::node *node = source_->table->get(key);
    if (node == nullptr)
        return {};
    const toml::array *array = node->as_array();
    if (array == nullptr) {
        reject(key, "expected an array of texts");
        return {};
    }
    std::vector<std::string> texts;
    for (const toml::node &element : *array) {
        const auto *value = element.as_string();
        if (value != nullptr && rule.matches(value->get())) {
            texts.push_back(value->get());
            continue;
        }
        mistakes_->add(lineOfNode(element),
                       nameOf(key) + ": expected " + std::string(rule.expectation));
    }
    return texts;
}

std::optional<TomlTable> TomlTable::table(std::string_view key, Presence presence)
{
    known_.emplace(key);
    const toml::node *node = source_->table->get(key);
    if (node == nullptr) {
        if (presence == Presence::Required)
            mistakes_->add(line(), "expected the table [" + nameOf(key) + "]");
        return std::nullopt;
    }
    const toml::table *table = node->as_table();
    if (table == nullptr) {
        reject(key, "expected a table");
        return std::nullopt;
    }
    auto source
            = std::make_shared<const Source>(Source{source_->document, table, lineOfNode(*node)});
    return TomlTable(std::move(source), nameOf(key), *mistakes_);
}

std::vector<TomlTable> TomlTable::tables(std::string_view key)
{
    known_.emplace(key);
    const toml::node *node = source_->table->get(key);
    if (node == nullptr)
        return {};
    const toml::array *array = node->as_array();
    if (array == nullptr) {
        reject(key, "expected an array of tables, [[" + nameOf(key) + "]]");
        return {};
    }
    std::vector<TomlTable> tables;
    for (const toml::node &element : *array) {
        const toml::table *table = element.as_table();
        if (table == nullptr) {
            mistakes_->add(lineOfNode(element), nameOf(key) + ": expected a table");
            continue;
        }
        auto source = std::make_shared<const Source>(
                Source{source_->document, table, lineOfNode(element)});
        tables.push_back(TomlTable(std::move(source), nameOf(key), *mistakes_));
    }
    return tables;
}

void TomlTable::rejectUnknownKeys()
{
    for (const auto &[key, node] : *source_->table) {
        if (!known_.contains(key.str()))
            mistakes_->add(lineOfNode(node), "unknown key " + nameOf(key.str()));
    }
}

} // namespace chive
