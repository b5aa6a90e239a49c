#include <LibQuota/QuotaMessage.h>

#include <LibCore/Cbor.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace chive {

namespace {

using Json = nlohmann::json;

constexpr int questionType = 0;
constexpr int answerType = 1;
constexpr int probeType = 3;
constexpr int echoType = 4;
constexpr int shortAnswerType = 2; ///< Without times, as everything was lent.
/// Limits what a corrupt message can make a node do.
constexpr std::uint64_t mostTokens = 1'000'000;
constexpr std::uint64_t longestTime = 60'000; // milliseconds

/// get() converts negative and fractional numbers silently, so the type is checked here.
std::uint64_t unsignedOf(const Json &json)
{
    return json.get_ref<const Json::number_unsigned_t &>();
}

std::uint32_t countOf(const Json &json)
{
    return static_cast<std::uint32_t>(std::min(unsignedOf(json), mostTokens));
}

Milliseconds timeOf(const Json &json)
{
    return Milliseconds(std::min(unsignedOf(json), longestTime));
}

Json toJson(const TokenQuestion &question)
{
    Json wanted = Json::array();
    for (const WantedTokens &tokens : question.wanted) {
        wanted.push_back(tokens.customer);
        wanted.push_back(tokens.count);
        wanted.push_back(tokens.refused);
    }
    Json returned = Json::array();
    for (const UnusedTokens &tokens : question.returned) {
        returned.push_back(tokens.customer);
        returned.push_back(tokens.stamp);
        returned.push_back(tokens.count);
    }
    return Json::array({questionType, question.id, std::move(wanted), std::move(returned)});
}

bool hasTimes(const LentTokens &tokens)
{
    return tokens.nextIn.count() > 0 || tokens.retryAfter.count() > 0;
}

Json toJson(const TokenAnswer &answer)
{
    const bool isShort = std::ranges::none_of(answer.lent, hasTimes);
    Json lent = Json::array();
    for (const LentTokens &tokens : answer.lent) {
        lent.push_back(tokens.count);
        if (isShort)
            continue;
        lent.push_back(static_cast<std::uint64_t>(tokens.nextIn.count()));
        lent.push_back(static_cast<std::uint64_t>(tokens.retryAfter.count()));
    }
    return Json::array(
            {isShort ? shortAnswerType : answerType, answer.id, answer.stamp, std::move(lent)});
}

Json toJson(const ContactProbe &probe)
{
    return Json::array({probeType, probe.round, probe.allocators});
}

Json toJson(const ContactEcho &echo)
{
    return Json::array({echoType, echo.round});
}

TokenQuestion parseQuestion(const Json &json)
{
    TokenQuestion question;
    question.id = unsignedOf(json.at(1));
    const auto &wanted = json.at(2).get_ref<const Json::array_t &>();
    for (std::size_t i = 0; i < wanted.size(); i += 3)
        question.wanted.push_back({wanted.at(i).get<std::string>(), countOf(json.at(2).at(i + 1)),
                                   countOf(json.at(2).at(i + 2))});
    const auto &returned = json.at(3).get_ref<const Json::array_t &>();
    for (std::size_t i = 0; i < returned.size(); i += 3)
        question.returned.push_back({returned.at(i).get<std::string>(),
                                     unsignedOf(json.at(3).at(i + 1)),
                                     countOf(json.at(3).at(i + 2))});
    return question;
}

TokenAnswer parseAnswer(const Json &json, bool isShort)
{
    TokenAnswer answer;
    answer.id = unsignedOf(json.at(1));
    answer.stamp = unsignedOf(json.at(2));
    const Json &lent = json.at(3);
    const std::size_t size = lent.get_ref<const Json::array_t &>().size();
    for (std::size_t i = 0; i < size; i += isShort ? 1 : 3) {
        LentTokens tokens{countOf(lent.at(i)), Milliseconds(0), Milliseconds(0)};
        if (!isShort) {
            tokens.nextIn = timeOf(lent.at(i + 1));
            tokens.retryAfter = timeOf(lent.at(i + 2));
        }
        answer.lent.push_back(tokens);
    }
    return answer;
}

} // namespace

std::string encodeQuotaMessage(const QuotaMessage &message)
{
    const Json json = std::visit([](const auto &content) { return toJson(content); }, message);
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Result<QuotaMessage> parseQuotaMessage(std::string_view bytes)
{
    try {
        const Json json = parseCbor(bytes);
        const std::uint64_t type = unsignedOf(json.at(0));
        if (type == questionType)
            return QuotaMessage(parseQuestion(json));
        if (type == answerType || type == shortAnswerType)
            return QuotaMessage(parseAnswer(json, type == shortAnswerType));
        if (type == probeType)
            return QuotaMessage(ContactProbe{unsignedOf(json.at(1)), unsignedOf(json.at(2))});
        if (type == echoType)
            return QuotaMessage(ContactEcho{unsignedOf(json.at(1))});
        return Error{Error::Kind::Invalid, "unknown type of quota message"};
    } catch (const Json::exception &exception) {
        return Error{Error::Kind::Invalid, exception.what()};
    }
}

} // namespace chive
