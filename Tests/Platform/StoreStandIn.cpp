#include <Platform/StoreStandIn.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <websocketpp/base64/base64.hpp>

#include <charconv>

namespace chive {

namespace {

constexpr std::size_t maximumBodySize = 64 * 1024;
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t offsetBytes = 8;

std::string number(std::uint64_t value, std::size_t size)
{
    std::string bytes;
    for (std::size_t i = 0; i < size; ++i)
        bytes.push_back(static_cast<char>(value >> (8 * (size - 1 - i))));
    return bytes;
}

std::string_view parameter(std::string_view target, std::string_view name)
{
    const std::string key = std::string(name) + "=";
    const std::size_t found = target.find(key, target.find('?'));
    if (found == std::string_view::npos)
        return {};
    const std::string_view value = target.substr(found + key.size());
    return value.substr(0, value.find('&'));
}

StoreStandIn::Record parseRecord(std::string_view bytes)
{
    REQUIRE(bytes.size() > lengthBytes);
    bytes.remove_prefix(lengthBytes);
    const auto keySize = static_cast<std::uint8_t>(bytes.front());
    REQUIRE(bytes.size() > keySize);
    return {std::string(bytes.substr(1, keySize)), std::string(bytes.substr(1 + keySize))};
}

} // namespace

StoreStandIn::StoreStandIn(EventLoop &loop, const Endpoint &endpoint)
{
    const auto handler
            = [this](const HttpRequest &request, std::shared_ptr<HttpExchange> exchange) {
                  handle(request, std::move(exchange));
              };
    auto listening = HttpServer::listen(loop, endpoint, maximumBodySize, handler);
    REQUIRE(listening.has_value());
    server_ = std::move(listening.value());
}

StoreStandIn::~StoreStandIn() = default;

void StoreStandIn::write(std::string_view topic, std::string_view key, std::string_view value)
{
    topics_[std::string(topic)].emplace_back(key, value);
    answerPolls();
}

void StoreStandIn::restore(Topics copy, Polls polls)
{
    if (polls == Polls::Broken) {
        for (const Poll &poll : std::exchange(polls_, {}))
            poll.exchange->abandon();
    }
    topics_ = std::move(copy);
    ++era_;
}

std::map<std::string, std::string> StoreStandIn::newest(std::string_view topic) const
{
    std::map<std::string, std::string> values;
    const auto found = topics_.find(topic);
    if (found == topics_.end())
        return values;
    for (const auto &[key, value] : found->second)
        values.insert_or_assign(key, value);
    return values;
}

void StoreStandIn::handle(const HttpRequest &request, std::shared_ptr<HttpExchange> exchange)
{
    ++calls_;
    const std::string_view target = request.target;
    const std::string topic(parameter(target, "topic"));
    if (target.starts_with("/chiverouter/log-newest")) {
        respondNewest(topic, exchange);
    } else if (target.starts_with("/chiverouter/log-read")) {
        const std::string_view from = parameter(target, "from");
        const std::string_view wait = parameter(target, "waitMs");
        Poll poll{topic, 0, !wait.empty() && wait != "0", std::move(exchange)};
        std::from_chars(from.data(), from.data() + from.size(), poll.from);
        if (!answerPoll(poll))
            polls_.push_back(std::move(poll));
    } else {
        const auto [key, value] = parseRecord(bytesOf(request.body));
        const std::uint64_t offset = topics_[topic].size();
        write(topic, key, value);
        respond(exchange, 200, nlohmann::json{{"offset", offset}, {"end", offset + 1}}.dump());
    }
}

void StoreStandIn::respond(const std::shared_ptr<HttpExchange> &exchange, int status,
                           std::string body)
{
    if (losesAnswers_) {
        unanswered_.push_back(exchange);
        return;
    }
    exchange->respond({status, {{"Store-Era", std::to_string(era_)}}, makeBody(std::move(body))});
}

void StoreStandIn::respondNewest(std::string_view topic,
                                 const std::shared_ptr<HttpExchange> &exchange)
{
    nlohmann::json items = nlohmann::json::array();
    for (const auto &[key, value] : newest(topic)) {
        items.push_back(
                {{"key", key}, {"value", websocketpp::base64_encode(value)}, {"offset", 0}});
    }
    const auto found = topics_.find(topic);
    const std::size_t end = found == topics_.end() ? 0 : found->second.size();
    respond(exchange, 200,
            nlohmann::json{{"items", items}, {"hasMore", false}, {"end", end}}.dump());
}

bool StoreStandIn::answerPoll(const Poll &poll)
{
    const auto found = topics_.find(poll.topic);
    const std::size_t end = found == topics_.end() ? 0 : found->second.size();
    if (poll.from > end) {
        respond(poll.exchange, 410, R"({"first":0})");
        return true;
    }
    if (poll.from == end && poll.waits)
        return false;
    std::string body = number(end, offsetBytes) + number(0, offsetBytes);
    for (std::size_t offset = poll.from; offset < end; ++offset) {
        const auto &[key, value] = found->second[offset];
        body += number(1 + key.size() + value.size(), lengthBytes) + number(key.size(), 1);
        body += key;
        body += value;
    }
    respond(poll.exchange, 200, std::move(body));
    return true;
}

void StoreStandIn::answerPolls()
{
    std::erase_if(polls_, [this](const Poll &poll) {
        const auto found = topics_.find(poll.topic);
        // A poll that waits beyond the end of a restored topic hears nothing until it grows so far.
        return found != topics_.end() && found->second.size() > poll.from && answerPoll(poll);
    });
}

} // namespace chive
