#include <LibOnce/OnceRecord.h>

#include <LibCore/Identifier.h>

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace chive {

namespace {

using Json = nlohmann::json;

constexpr std::size_t digitsPerWord = 16;
constexpr int hexadecimalBase = 16;

std::string hexOf(std::uint64_t value)
{
    std::array<char, digitsPerWord> digits{};
    const auto end
            = std::to_chars(digits.data(), digits.data() + digits.size(), value, hexadecimalBase)
                      .ptr;
    const std::string text(digits.data(), end);
    return std::string(digitsPerWord - text.size(), '0') + text;
}

std::uint64_t parseWord(std::string_view digits)
{
    std::uint64_t value = 0;
    const auto [end, error]
            = std::from_chars(digits.data(), digits.data() + digits.size(), value, hexadecimalBase);
    if (error != std::errc() || end != digits.data() + digits.size()
        || digits.size() != digitsPerWord)
        throw std::invalid_argument("expected 16 hexadecimal digits");
    return value;
}

std::string hexOf(const KeyDigest &key)
{
    return hexOf(key.high) + hexOf(key.low);
}

KeyDigest parseKey(std::string_view digits)
{
    if (digits.size() != 2 * digitsPerWord)
        throw std::invalid_argument("expected 32 hexadecimal digits");
    return {parseWord(digits.substr(0, digitsPerWord)), parseWord(digits.substr(digitsPerWord))};
}

/// The unsigned number at an index of an array; throws if it is something else or out of range.
template<typename Number>
Number numberAt(const Json &array, std::size_t index)
{
    const Json &value = array.at(index);
    if (!value.is_number_unsigned())
        throw std::invalid_argument("expected an unsigned integer");
    const auto number = value.get<std::uint64_t>();
    if (!std::in_range<Number>(number))
        throw std::invalid_argument("number out of range");
    return static_cast<Number>(number);
}

std::string textAt(const Json &array, std::size_t index)
{
    return array.at(index).get<std::string>();
}

Json toJson(const Intent &intent)
{
    return {hexOf(intent.key), hexOf(intent.fingerprint), intent.sequence, intent.asOf};
}

Intent intentOf(const Json &json)
{
    return {parseKey(textAt(json, 0)), parseWord(textAt(json, 1)), numberAt<std::uint32_t>(json, 2),
            numberAt<std::uint64_t>(json, 3)};
}

Json toJson(const Release &release)
{
    return {hexOf(release.key), release.sequence};
}

Release releaseOf(const Json &json)
{
    return {parseKey(textAt(json, 0)), numberAt<std::uint32_t>(json, 1)};
}

Json toJson(const Completion &completion)
{
    Json json = {hexOf(completion.key), completion.sequence, completion.status};
    if (completion.hasBody) {
        json.push_back(completion.contentType);
        json.push_back(completion.body);
    }
    return json;
}

Completion completionOf(const Json &json)
{
    Completion completion;
    completion.key = parseKey(textAt(json, 0));
    completion.sequence = numberAt<std::uint32_t>(json, 1);
    completion.status = numberAt<std::uint16_t>(json, 2);
    completion.hasBody = json.size() == 5;
    if (completion.hasBody) {
        completion.contentType = textAt(json, 3);
        completion.body = textAt(json, 4);
    }
    return completion;
}

Json toJson(const SnapshotEntry &remembered)
{
    const KeyEntry &entry = remembered.entry;
    return {hexOf(remembered.key),
            hexOf(entry.fingerprint),
            hexOf(entry.holder),
            entry.sequence,
            entry.offset,
            entry.status,
            static_cast<unsigned>(entry.state),
            remembered.ageSeconds};
}

SnapshotEntry snapshotEntryOf(const Json &json)
{
    const auto state = numberAt<std::uint8_t>(json, 6);
    if (state > static_cast<std::uint8_t>(KeyState::Completed))
        throw std::invalid_argument("unknown key state");
    SnapshotEntry remembered;
    remembered.key = parseKey(textAt(json, 0));
    remembered.entry.fingerprint = parseWord(textAt(json, 1));
    remembered.entry.holder = parseWord(textAt(json, 2));
    remembered.entry.sequence = numberAt<std::uint32_t>(json, 3);
    remembered.entry.offset = numberAt<std::uint64_t>(json, 4);
    remembered.entry.status = numberAt<std::uint16_t>(json, 5);
    remembered.entry.state = static_cast<KeyState>(state);
    remembered.ageSeconds = numberAt<std::uint32_t>(json, 7);
    return remembered;
}

template<typename Item>
Json listOf(const std::vector<Item> &items)
{
    Json list = Json::array();
    for (const Item &item : items)
        list.push_back(toJson(item));
    return list;
}

template<typename Item>
std::vector<Item> readList(const Json &object, const char *name, Item (*read)(const Json &))
{
    std::vector<Item> items;
    for (const Json &json : object.at(name).get_ref<const Json::array_t &>())
        items.push_back(read(json));
    return items;
}

Json toJson(const OnceBatch &batch)
{
    return {{"type", "batch"},
            {"holder", hexOf(batch.holder)},
            {"releases", listOf(batch.releases)},
            {"ends", listOf(batch.completions)},
            {"intents", listOf(batch.intents)}};
}

OnceBatch batchOf(const Json &json)
{
    return {parseWord(json.at("holder").get<std::string>()),
            readList<Release>(json, "releases", releaseOf),
            readList<Completion>(json, "ends", completionOf),
            readList<Intent>(json, "intents", intentOf)};
}

Json toJson(const SnapshotPart &part)
{
    return {{"type", "snapshot"},
            {"id", hexOf(part.id)},
            {"position", {part.part, part.parts, part.asOf}},
            {"entries", listOf(part.entries)}};
}

SnapshotPart snapshotPartOf(const Json &json)
{
    const Json &position = json.at("position");
    SnapshotPart part;
    part.id = parseWord(json.at("id").get<std::string>());
    part.part = numberAt<std::uint32_t>(position, 0);
    part.parts = numberAt<std::uint32_t>(position, 1);
    part.asOf = numberAt<std::uint64_t>(position, 2);
    if (part.part >= part.parts)
        throw std::invalid_argument("index of a snapshot part is not below the number of parts");
    part.entries = readList<SnapshotEntry>(json, "entries", snapshotEntryOf);
    return part;
}

} // namespace

KeyDigest digestOfKey(std::string_view key)
{
    return parseKey(digest(key));
}

std::uint64_t digestOfFingerprint(std::string_view fingerprint)
{
    return digestOfKey(fingerprint).high;
}

std::string encodeOnceRecord(const OnceRecord &record)
{
    const Json json = std::visit([](const auto &value) { return toJson(value); }, record);
    // Bodies that are not UTF-8 never get into a record, but a header value may not be UTF-8.
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<OnceRecord> parseOnceRecord(std::string_view payload)
{
    // nlohmann::json and the functions above throw on malformed input.
    try {
        const Json json = Json::parse(payload);
        const auto type = json.at("type").get<std::string>();
        if (type == "batch")
            return OnceRecord(batchOf(json));
        if (type == "snapshot")
            return OnceRecord(snapshotPartOf(json));
        return Error{Error::Kind::Invalid, "unknown record type: " + type};
    } catch (const std::exception &exception) {
        return Error{Error::Kind::Invalid, exception.what()};
    }
}

} // namespace chive
