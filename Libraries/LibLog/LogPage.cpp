#include <LibLog/LogPage.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace chive {

namespace {

using Json = nlohmann::json;

Error invalid(std::string message)
{
    return {Error::Kind::Invalid, "answer from the log: " + std::move(message)};
}

Result<Json> parseObject(std::string_view body)
{
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return invalid("expected a JSON object");
    return json;
}

Result<std::uint64_t> parseOffset(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned())
        return invalid(std::string(name) + " must be an unsigned integer");
    return found->get<std::uint64_t>();
}

Result<LogRecord> parseRecord(const Json &json)
{
    if (!json.is_object())
        return invalid("a record must be an object");
    CHIVE_TRY(offset, parseOffset(json, "offset"));
    const auto payload = json.find("payload");
    if (payload == json.end() || !payload->is_string())
        return invalid("payload must be a string");
    return LogRecord{offset, payload->get<std::string>()};
}

} // namespace

Result<LogPage> parseLogPage(std::string_view body, std::uint64_t from)
{
    CHIVE_TRY(json, parseObject(body));
    CHIVE_TRY(first, parseOffset(json, "first"));
    CHIVE_TRY(end, parseOffset(json, "end"));
    if (first > end)
        return invalid("first is greater than end");
    const auto records = json.find("records");
    if (records == json.end() || !records->is_array())
        return invalid("records must be an array");
    LogPage page{first, end, {}};
    std::uint64_t minimumOffset = std::max(from, first);
    for (const Json &entry : *records) {
        CHIVE_TRY(record, parseRecord(entry));
        if (record.offset < minimumOffset || record.offset >= end)
            return invalid("offset " + std::to_string(record.offset) + " is out of order");
        minimumOffset = record.offset + 1;
        page.records.push_back(std::move(record));
    }
    return page;
}

Result<std::uint64_t> parseAppendedOffset(std::string_view body)
{
    CHIVE_TRY(json, parseObject(body));
    return parseOffset(json, "offset");
}

} // namespace chive
