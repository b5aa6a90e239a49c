#include <LibMembership/MembershipMessage.h>

#include <LibCore/Cbor.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace chive {

namespace {

using Json = nlohmann::json;
using Type = MembershipMessage::Type;

Json encodeMember(const Member &member)
{
    return Json::array({member.nodeId, member.incarnation, member.links.ip, member.links.port,
                        member.dataCentre, member.region, member.service,
                        static_cast<std::uint8_t>(member.state)});
}

Member parseMember(const Json &json)
{
    const auto state = json.at(7).get<std::uint8_t>();
    if (state > static_cast<std::uint8_t>(MemberState::Dead))
        throw Json::other_error::create(500, "unknown state of a member", &json);
    return {
            .nodeId = json.at(0).get<std::string>(),
            .incarnation = json.at(1).get<std::uint64_t>(),
            .links = {json.at(2).get<std::string>(), json.at(3).get<std::uint16_t>()},
            .dataCentre = json.at(4).get<std::string>(),
            .region = json.at(5).get<std::string>(),
            .service = json.at(6).get<std::string>(),
            .state = static_cast<MemberState>(state),
    };
}

MembershipMessage parse(const Json &json)
{
    MembershipMessage message;
    const auto type = json.at(0).get<std::uint8_t>();
    if (type > static_cast<std::uint8_t>(Type::SyncRecords))
        throw Json::other_error::create(501, "unknown type of a message", &json);
    message.type = static_cast<Type>(type);
    message.sender = parseMember(json.at(1));
    message.sequence = json.at(2).get<std::uint64_t>();
    message.subject = json.at(3).get<std::string>();
    message.subjectLinks = {json.at(4).get<std::string>(), json.at(5).get<std::uint16_t>()};
    for (const Json &claim : json.at(6))
        message.claims.push_back(parseMember(claim));
    message.digests = json.at(7).get<std::vector<std::uint64_t>>();
    message.buckets = json.at(8).get<std::vector<std::uint8_t>>();
    message.isReplyWanted = json.at(9).get<bool>();
    message.knownMembers = json.at(10).get<std::uint64_t>();
    return message;
}

} // namespace

std::string encode(const MembershipMessage &message)
{
    Json claims = Json::array();
    for (const Member &claim : message.claims)
        claims.push_back(encodeMember(claim));
    const Json json
            = Json::array({static_cast<std::uint8_t>(message.type), encodeMember(message.sender),
                           message.sequence, message.subject, message.subjectLinks.ip,
                           message.subjectLinks.port, std::move(claims), message.digests,
                           message.buckets, message.isReplyWanted, message.knownMembers});
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Result<MembershipMessage> parseMembershipMessage(std::string_view bytes)
{
    try {
        return parse(parseCbor(bytes));
    } catch (const Json::exception &exception) {
        return Error{Error::Kind::Invalid, exception.what()};
    }
}

} // namespace chive
