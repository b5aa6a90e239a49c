#include <LibQuarantine/QuarantineMessage.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace chive;

namespace {

const TimePoint start{std::chrono::hours(100)};

Suspicion suspicionOf(const std::string &fingerprint, const std::string &nodeId,
                      std::uint64_t number, TimePoint at)
{
    Suspicion suspicion;
    suspicion.fingerprint = fingerprint;
    suspicion.crashes.push_back({nodeId, number, at});
    return suspicion;
}

} // namespace

TEST_CASE("Identification of a request that crashes its targets")
{
    Quarantine quarantine;
    REQUIRE(quarantine.merge(suspicionOf("killer", "ledger-1", 1, start), start));
    REQUIRE(quarantine.merge(suspicionOf("innocent", "ledger-1", 1, start), start));

    SUBCASE("one crash makes suspects and quarantines nothing")
    {
        CHECK(quarantine.suspects(start).size() == 2);
        CHECK(quarantine.quarantined(start).empty());
    }

    SUBCASE("the same crash reported twice counts once")
    {
        CHECK_FALSE(quarantine.merge(suspicionOf("killer", "ledger-1", 1, start), start));
        CHECK(quarantine.quarantined(start).empty());
    }

    SUBCASE("a completion clears a request, also of an earlier crash reported later")
    {
        const TimePoint later = start + std::chrono::seconds(1);
        CHECK(quarantine.noteCompletion("innocent", later));
        CHECK_FALSE(quarantine.merge(suspicionOf("innocent", "ledger-3", 7, start), later));
        CHECK(quarantine.suspects(later) == std::vector<std::string>{"killer"});
    }

    SUBCASE("a second crash quarantines the request")
    {
        const TimePoint later = start + std::chrono::seconds(2);
        CHECK(quarantine.merge(suspicionOf("killer", "ledger-2", 5, later), later));
        CHECK(quarantine.quarantined(later) == std::vector<std::string>{"killer"});
        CHECK(quarantine.suspects(later) == std::vector<std::string>{"innocent"});

        SUBCASE("for ten minutes, after which it is still a suspect")
        {
            const TimePoint released = later + std::chrono::minutes(10);
            CHECK(quarantine.quarantined(released - std::chrono::seconds(1)).size() == 1);
            CHECK(quarantine.quarantined(released).empty());
            CHECK(quarantine.suspects(released).size() == 2);

            SUBCASE("and a third crash quarantines it for twice as long")
            {
                CHECK(quarantine.merge(suspicionOf("killer", "ledger-2", 9, released), released));
                const TimePoint end = released + std::chrono::minutes(20);
                CHECK(quarantine.quarantined(end - std::chrono::seconds(1)).size() == 1);
                CHECK(quarantine.quarantined(end).empty());
            }
        }

        SUBCASE("and a completion elsewhere releases it")
        {
            CHECK(quarantine.noteCompletion("killer", later + std::chrono::seconds(1)));
            CHECK(quarantine.quarantined(later + std::chrono::seconds(1)).empty());
        }
    }

    SUBCASE("after a day all suspicions expire")
    {
        CHECK(quarantine.expire(start + std::chrono::hours(24)));
        CHECK(quarantine.suspicions().empty());
    }
}

TEST_CASE("Merging is independent of the order")
{
    const bool isTrue = rc::check("order does not matter", [] {
        const auto numbers = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
        const auto fill = [](auto begin, auto end) {
            Quarantine quarantine;
            for (auto number = begin; number != end; ++number) {
                const TimePoint at = start + std::chrono::seconds(*number);
                Suspicion suspicion = suspicionOf("a", "ledger-1", *number, at);
                if (*number % 5 == 0) {
                    suspicion.crashes.clear();
                    suspicion.completedAt = at;
                }
                quarantine.merge(suspicion, start);
            }
            return quarantine.quarantined(start + std::chrono::minutes(1));
        };
        RC_ASSERT(fill(numbers.begin(), numbers.end()) == fill(numbers.rbegin(), numbers.rend()));
    });
    CHECK(isTrue);
}

TEST_CASE("Suspicions are encoded with ages")
{
    Suspicion suspicion = suspicionOf("killer", "ledger-1", 1, start);
    suspicion.completedAt = start + std::chrono::seconds(1);
    const TimePoint sentAt = start + std::chrono::seconds(3);
    const std::string bytes = encodeSuspicions({&suspicion, 1}, sentAt);

    SUBCASE("which are converted to the clock of the receiver")
    {
        const TimePoint other{std::chrono::hours(7)};
        const auto parsed = parseSuspicions(bytes, other);
        REQUIRE(parsed.has_value());
        REQUIRE(parsed.value().size() == 1);
        CHECK(parsed.value()[0].fingerprint == "killer");
        CHECK(parsed.value()[0].crashes.at(0).nodeId == "ledger-1");
        CHECK(parsed.value()[0].crashes.at(0).at == other - std::chrono::seconds(3));
        CHECK(parsed.value()[0].completedAt == other - std::chrono::seconds(2));
    }

    SUBCASE("a very deeply nested message is rejected without a crash")
    {
        CHECK_FALSE(parseSuspicions(std::string(100'000, '\x81'), start).has_value());
        CHECK_FALSE(parseSuspicions(std::string(100'000, '\x7F'), start).has_value());
    }

    SUBCASE("a truncated message is rejected")
    {
        CHECK_FALSE(parseSuspicions(bytes.substr(0, bytes.size() / 2), start).has_value());
    }
}
