#include <LibQuota/QuotaAllocator.h>
#include <LibQuota/TokenPool.h>

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace chive;

namespace {

const TimePoint start{std::chrono::hours(100)};
const std::string customer = "northwind";
const Settings::QuotaBound bound{Milliseconds(5'000), 0.1, 20.0};

TimePoint at(int milliseconds)
{
    return start + Milliseconds(milliseconds);
}

Member onlyMember()
{
    Member member;
    member.nodeId = "node-1";
    member.links = {"127.0.0.1", 1};
    return member;
}

std::shared_ptr<const Catalogue> catalogueWith(double rate)
{
    auto catalogue = std::make_shared<Catalogue>();
    catalogue->version = 1;
    catalogue->customers[customer] = {customer, {}, std::nullopt, {rate, rate}};
    return catalogue;
}

TokenAnswer answerTo(const QuotaSend &send, std::uint32_t count)
{
    TokenAnswer answer;
    answer.id = send.question.id;
    answer.lent.push_back({count, Milliseconds(0), Milliseconds(0)});
    return answer;
}

} // namespace

TEST_CASE("Tokens of an entry node")
{
    const std::vector<Member> members{onlyMember()};
    TokenPool pool(1);
    pool.setAllocators(members);
    REQUIRE_FALSE(pool.want(1, customer, 0.5, at(0)).has_value());
    const auto sends = pool.takeQuestions(at(0));
    REQUIRE(sends.size() == 1);
    REQUIRE(sends[0].question.wanted.size() == 1);
    CHECK(sends[0].question.wanted[0].count == 1);

    SUBCASE("are used by the requests that wait")
    {
        pool.receive(answerTo(sends[0], 1), at(10));
        const auto decisions = pool.takeDecisions(at(10));
        REQUIRE(decisions.size() == 1);
        CHECK(decisions[0].isGranted);
        CHECK(pool.waiting() == 0);
    }

    SUBCASE("of an answer that comes after their lifetime are void")
    {
        CHECK_FALSE(pool.want(2, customer, 0.5, at(390)).has_value());
        CHECK(pool.takeDecisions(at(399)).empty());
        CHECK(pool.takeDecisions(at(400)).size() == 1);
        pool.receive(answerTo(sends[0], 1), at(400));
        CHECK(pool.takeDecisions(at(400)).empty());
        CHECK(pool.tokens(at(400)) == 0);
    }

    SUBCASE("are counted from the time of the question, not of the answer")
    {
        pool.cancel(1);
        pool.receive(answerTo(sends[0], 1), at(200));
        CHECK(pool.tokens(at(399)) == 1);
        CHECK(pool.tokens(at(400)) == 0);
        CHECK_FALSE(pool.want(2, customer, 0.5, at(400)).has_value());
    }

    SUBCASE("of an answer that is repeated, or beyond what was asked for, are void")
    {
        pool.receive(answerTo(sends[0], 9), at(10));
        pool.receive(answerTo(sends[0], 9), at(11));
        CHECK(pool.takeDecisions(at(11)).size() == 1);
        CHECK(pool.tokens(at(11)) == 0);
    }

    SUBCASE("that a request gives back are used again within their lifetime only")
    {
        pool.receive(answerTo(sends[0], 1), at(10));
        CHECK(pool.takeDecisions(at(10)).size() == 1);
        SUBCASE("in time")
        {
            pool.giveBack(1, at(200));
            CHECK(pool.want(2, customer, 0.5, at(210)).has_value());
            CHECK_FALSE(pool.want(3, customer, 0.5, at(220)).has_value());
        }
        SUBCASE("late")
        {
            pool.giveBack(1, at(401));
            CHECK_FALSE(pool.want(2, customer, 0.5, at(402)).has_value());
        }
        SUBCASE("twice")
        {
            pool.giveBack(1, at(200));
            pool.giveBack(1, at(200));
            CHECK(pool.tokens(at(200)) == 1);
        }
    }

    SUBCASE("that are not used are returned before they expire")
    {
        pool.cancel(1);
        pool.receive(answerTo(sends[0], 1), at(120));
        REQUIRE(pool.nextActionAt(at(130)).has_value());
        CHECK(*pool.nextActionAt(at(130)) == at(300));
        const auto returns = pool.takeQuestions(at(300));
        REQUIRE(returns.size() == 1);
        REQUIRE(returns[0].question.returned.size() == 1);
        CHECK(returns[0].question.returned[0].count == 1);
        CHECK(pool.tokens(at(300)) == 0);
    }

    SUBCASE("that do not come lead to a refusal after 400 ms")
    {
        CHECK(pool.takeDecisions(at(399)).empty());
        const auto decisions = pool.takeDecisions(at(400));
        REQUIRE(decisions.size() == 1);
        CHECK_FALSE(decisions[0].isGranted);
        CHECK(decisions[0].retryAfter >= Milliseconds(50));
    }

    SUBCASE("that cannot come in time lead to a refusal at once")
    {
        TokenAnswer answer = answerTo(sends[0], 0);
        answer.lent[0] = {0, Milliseconds(300), Milliseconds(800)};
        pool.receive(answer, at(10));
        const auto decisions = pool.takeDecisions(at(10));
        REQUIRE(decisions.size() == 1);
        CHECK(decisions[0].retryAfter >= Milliseconds(800));
        const auto next = pool.want(2, customer, 0.0, at(20));
        REQUIRE(next.has_value());
        CHECK_FALSE(next->isGranted);
        CHECK(next->retryAfter == Milliseconds(790));
        CHECK(pool.takeQuestions(at(100)).empty());
    }

    SUBCASE("are asked for at most every 50 ms, for all that wait")
    {
        CHECK_FALSE(pool.want(2, customer, 0.5, at(10)).has_value());
        CHECK_FALSE(pool.want(3, customer, 0.5, at(20)).has_value());
        CHECK(pool.takeQuestions(at(49)).empty());
        const auto next = pool.takeQuestions(at(50));
        REQUIRE(next.size() == 1);
        CHECK(next[0].question.wanted[0].count >= 2);
    }
}

TEST_CASE("Lending by an allocator")
{
    const std::vector<Member> members{onlyMember()};
    QuotaAllocator allocator("node-1", bound, start);
    allocator.setMembers(members, start);
    allocator.setCatalogue(catalogueWith(100.0), start);
    const auto lend = [&allocator](std::uint32_t count, TimePoint now) {
        return allocator.answer({1, {{customer, count, 0}}, {}}, now).lent.at(0).count;
    };
    const auto runUntil = [&allocator](int from, int until) {
        for (int now = from; now < until; now += 100)
            allocator.tick(at(now));
    };

    SUBCASE("begins 400 ms after the role, with an empty bucket")
    {
        CHECK(lend(50, at(0)) == 0);
        CHECK(lend(50, at(399)) == 0);
        CHECK(lend(50, at(500)) == 10);
    }

    SUBCASE("begins again after a pause, in which another node may have taken the role")
    {
        runUntil(0, 3'000);
        CHECK(lend(1, at(2'950)) == 0); // Contact is measured first.
        CHECK(lend(1, at(3'000)) == 1);
        CHECK(lend(50, at(9'000)) == 0);
        CHECK(lend(50, at(9'390)) == 0);
        CHECK(lend(50, at(9'500)) == 10);
    }

    SUBCASE("stops when the node loses the role, and begins again with an empty bucket")
    {
        runUntil(0, 3'000);
        Member other = onlyMember();
        other.nodeId = "node-2";
        allocator.setMembers({&other, 1}, at(3'000));
        CHECK(lend(1, at(3'050)) == 0);
        allocator.setMembers(members, at(3'100));
        CHECK(lend(50, at(3'490)) == 0);
        CHECK(lend(50, at(3'600)) < 11);
    }

    SUBCASE("needs the answers of the members to its probes")
    {
        std::vector<Member> three(3, onlyMember());
        three[1].nodeId = "node-2";
        three[1].links.port = 2;
        three[2].nodeId = "node-3";
        three[2].links.port = 3;
        // Of two allocators, the one of this customer.
        QuotaAllocator lone(allocatorOf(customer, allocatorsOf(three))->nodeId, bound, start);
        lone.setMembers(three, start);
        lone.setCatalogue(catalogueWith(100.0), start);
        CHECK(lone.answer({1, {{customer, 1, 0}}, {}}, at(500)).lent.at(0).count == 0);
        CHECK(lone.takeProbes().size() == 2);
        lone.tick(at(600));
        CHECK(lone.aliveShare() == doctest::Approx(1.0 / 3));
        lone.receive(ContactEcho{lone.contactRound()});
        lone.receive(ContactEcho{lone.contactRound()});
        lone.tick(at(700));
        CHECK(lone.aliveShare() == 1.0);
    }

    SUBCASE("keeps to the part of the rate and of the bucket that its side of a partition has")
    {
        std::vector<Member> three(3, onlyMember());
        three[1].links.port = 2;
        three[2].links.port = 3;
        allocator.setMembers(three, at(0));
        allocator.setMembers(members, at(0));
        runUntil(0, 10'000);
        CHECK(lend(1, at(9'950)) == 0); // Contact is measured first.
        CHECK(lend(500, at(10'000)) == 16);
        CHECK(lend(500, at(10'300)) == 11);
    }

    SUBCASE("is without a limit where its configuration has none, and needs a configuration")
    {
        runUntil(0, 1'000);
        CHECK(lend(1, at(1'000)) == 0); // Contact is measured first.
        allocator.setCatalogue(std::make_shared<const Catalogue>(), at(1'050));
        CHECK(lend(5, at(1'050)) == 0);
        auto without = std::make_shared<Catalogue>();
        without->version = 2;
        allocator.setCatalogue(without, at(1'060));
        CHECK(lend(500, at(1'060)) == 500);
    }
}
