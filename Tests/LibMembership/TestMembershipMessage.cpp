#include <LibMembership/MembershipMessage.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace chive;

TEST_CASE("Membership messages are encoded as bytes")
{
    MembershipMessage message;
    message.type = MembershipMessage::Type::SyncRecords;
    message.sender = {"ledger-1", 1'764'844'000'123, {"10.0.0.1", 7003},  "pokhara",
                      "west",     "ledger",          MemberState::Leaving};
    message.sequence = 12;
    message.subject = "ledger-2";
    message.subjectLinks = {"10.0.0.2", 7003};
    message.claims = {message.sender};
    message.digests = {1, ~0ULL};
    message.knownMembers = 890;
    message.buckets = {3, 63};
    message.isReplyWanted = true;

    SUBCASE("and decoded unchanged")
    {
        const auto parsed = parseMembershipMessage(encode(message));
        REQUIRE(parsed.has_value());
        CHECK(parsed.value().type == message.type);
        CHECK(parsed.value().sender == message.sender);
        CHECK(parsed.value().sequence == message.sequence);
        CHECK(parsed.value().subject == message.subject);
        CHECK(parsed.value().subjectLinks == message.subjectLinks);
        CHECK(parsed.value().claims == message.claims);
        CHECK(parsed.value().digests == message.digests);
        CHECK(parsed.value().knownMembers == message.knownMembers);
        CHECK(parsed.value().buckets == message.buckets);
        CHECK(parsed.value().isReplyWanted);
    }

    SUBCASE("very deep nesting is rejected without a crash")
    {
        CHECK_FALSE(parseMembershipMessage(std::string(100'000, '\x81')).has_value());
        CHECK_FALSE(parseMembershipMessage(std::string(100'000, '\x7F')).has_value());
    }
    SUBCASE("damaged bytes are rejected or parsed without a crash")
    {
        const std::string bytes = encode(message);
        const bool isTrue = rc::check("damage is survived", [&] {
            std::string damaged = bytes;
            const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size());
            damaged[at] = *rc::gen::arbitrary<char>();
            damaged.resize(*rc::gen::inRange<std::size_t>(0, damaged.size() + 1));
            const auto parsed = parseMembershipMessage(damaged);
            if (!parsed.has_value())
                RC_ASSERT(parsed.error().kind == Error::Kind::Invalid);
        });
        CHECK(isTrue);
    }
}
