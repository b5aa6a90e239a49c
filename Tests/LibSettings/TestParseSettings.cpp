#include <LibSettings/Settings.h>

#include <doctest/doctest.h>

#include <random>

using namespace chive;

namespace {

const std::string wholeFile = R"(node_id = "ledger-1"
data_centre = "kathmandu"
region = "central"

[endpoints]
callers = "127.0.0.1:7001"
target_calls = "127.0.0.1:7002"
links = "127.0.0.1:7003"
admin = "127.0.0.1:7004"

[log]
endpoint = "127.0.0.1:7100"

[mesh]
peers = ["127.0.0.1:7013", "127.0.0.1:7023"]

[limits]
maximum_body_bytes = 1048576
maximum_held_bytes = 4194304
drain_timeout_ms = 5000
memory_mb = 160

[policies]
choice = "two-choices"
admission = "adaptive"

[logging]
directory = ""
)";

std::string replaced(std::string text, std::string_view from, std::string_view to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string mistakesIn(const std::string &text)
{
    const Result<Settings> settings = parseSettings(text, "node.toml");
    REQUIRE_FALSE(settings.has_value());
    CHECK(settings.error().kind == Error::Kind::Invalid);
    return settings.error().message;
}

} // namespace

TEST_CASE("A settings file is read")
{
    SUBCASE("with every key")
    {
        const Result<Settings> settings = parseSettings(wholeFile, "node.toml");
        REQUIRE(settings.has_value());
        CHECK(settings.value().nodeId == "ledger-1");
        CHECK(settings.value().links == Endpoint{"127.0.0.1", 7003});
        CHECK(settings.value().peers.size() == 2);
        CHECK(settings.value().maximumBytesHeld == 4'194'304);
        CHECK(settings.value().drainTimeout == Milliseconds(5000));
        CHECK(settings.value().memory == 160'000'000);
    }

    SUBCASE("with the time between SIGTERM and SIGKILL, before which the drain must end")
    {
        const Result<Settings> settings = parseSettings(
                replaced(wholeFile, "drain_timeout_ms = 5000", "stop_grace_s = \"10.5\""),
                "node.toml");
        REQUIRE(settings.has_value());
        CHECK(settings.value().drainTimeout > Milliseconds(9500));
        CHECK(settings.value().drainTimeout < Milliseconds(10500));
    }

    SUBCASE("with the memory of the process, which bounds the target's responses")
    {
        const std::string text
                = replaced(replaced(wholeFile, "maximum_body_bytes = 1048576",
                                    "maximum_body_bytes = 67108864"),
                           "maximum_held_bytes = 4194304", "maximum_held_bytes = 100663296");
        const Settings small = parseSettings(text, "node.toml").value();
        CHECK(maximumResponseBytesHeld(small) == 40'000'000);
        CHECK(maximumResponseBodySize(small) == 20'000'000);
        const Settings large
                = parseSettings(replaced(text, "memory_mb = 160", "memory_mb = 4096"), "node.toml")
                          .value();
        CHECK(maximumResponseBytesHeld(large) == 100'663'296);
        CHECK(maximumResponseBodySize(large) == 50'331'648);
        const Settings unknown
                = parseSettings(replaced(text, "memory_mb = 160\n", ""), "node.toml").value();
        CHECK(maximumResponseBytesHeld(unknown) == 100'663'296);
        CHECK(maximumResponseBodySize(unknown) == 67'108'864);
    }

    SUBCASE("with only what has no default")
    {
        const Result<Settings> settings
                = parseSettings(wholeFile.substr(0, wholeFile.find("[mesh]")), "node.toml");
        REQUIRE(settings.has_value());
        CHECK(settings.value().drainTimeout == Settings{}.drainTimeout);
        CHECK(settings.value().choicePolicy == Settings{}.choicePolicy);
    }
}

TEST_CASE("A mistake in a settings file is reported with its line and what was expected")
{
    SUBCASE("a syntax error")
    {
        CHECK(mistakesIn("node_id = \"a\"\nregion = \n").starts_with("node.toml:2: "));
    }

    SUBCASE("a wrong type")
    {
        CHECK(mistakesIn(replaced(wholeFile, "5000", "\"long\""))
              == "node.toml:20: limits.drain_timeout_ms: expected a whole number of 0 to 3600000 "
                 "ms");
    }

    SUBCASE("a number out of range")
    {
        CHECK(mistakesIn(replaced(wholeFile, "5000", "-1")).starts_with("node.toml:20: "));
    }

    SUBCASE("a time between SIGTERM and SIGKILL that no platform allows")
    {
        CHECK(mistakesIn(replaced(wholeFile, "drain_timeout_ms = 5000", "stop_grace_s = \"1e10\""))
                      .starts_with("node.toml:20: "));
    }

    SUBCASE("two limits of one drain")
    {
        CHECK(mistakesIn(replaced(wholeFile, "drain_timeout_ms = 5000",
                                  "drain_timeout_ms = 5000\nstop_grace_s = \"6\""))
                      .starts_with("node.toml:21: "));
    }

    SUBCASE("a name instead of an IP number")
    {
        CHECK(mistakesIn(replaced(wholeFile, "127.0.0.1:7100", "log.example:7100"))
                      .starts_with("node.toml:12: log.endpoint: expected an IPv4 number"));
    }

    SUBCASE("an unknown key")
    {
        CHECK(mistakesIn(replaced(wholeFile, "choice =", "chioce ="))
              == "node.toml:24: unknown key policies.chioce");
    }

    SUBCASE("a missing key")
    {
        CHECK(mistakesIn(replaced(wholeFile, "links = \"127.0.0.1:7003\"\n", ""))
              == "node.toml:5: expected the key endpoints.links");
    }

    SUBCASE("limits that contradict each other")
    {
        CHECK(mistakesIn(replaced(wholeFile, "4194304", "1024"))
              == "node.toml:19: limits.maximum_held_bytes: expected at least maximum_body_bytes");
    }

    SUBCASE("every one of several")
    {
        std::string text = replaced(wholeFile, "ledger-1", "Ledger 1");
        text = replaced(text, "region", "regoin");
        const std::string mistakes = mistakesIn(text);
        CHECK(mistakes.find("node.toml:1: node_id: expected") != std::string::npos);
        CHECK(mistakes.find("node.toml:1: expected the key region") != std::string::npos);
        CHECK(mistakes.find("node.toml:3: unknown key regoin") != std::string::npos);
    }
}

TEST_CASE("The memory of a process is a whole number of megabytes")
{
    CHECK(memoryFromMegabytes("160") == 160'000'000U);
    for (const char *text :
         {"", "0", "-1", "15", "160.5", "160 ", "{{limits.memoryMb}}", "1048577"})
        CHECK_FALSE(memoryFromMegabytes(text).has_value());
}

TEST_CASE("Damaged settings are rejected or valid, never fatal")
{
    constexpr int rounds = 20'000;
    std::mt19937 generator(20'261'204);
    const auto below = [&](std::size_t limit) {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(generator);
    };
    int rejected = 0;
    for (int round = 0; round < rounds; ++round) {
        std::string text = wholeFile;
        for (std::size_t change = 0; change <= below(4); ++change) {
            const std::size_t at = below(text.size());
            switch (below(4)) {
            case 0:
                text[at] = static_cast<char>(below(256));
                break;
            case 1:
                text.erase(at, below(20) + 1);
                break;
            case 2:
                text.insert(at, wholeFile.substr(below(wholeFile.size()), below(30)));
                break;
            default:
                text.insert(at, 1, "[]{}\"'=.,#\n"[below(11)]);
            }
        }
        const Result<Settings> settings = parseSettings(text, "node.toml");
        if (settings.has_value())
            continue;
        ++rejected;
        CHECK(settings.error().message.starts_with("node.toml:"));
    }
    CHECK(rejected > rounds / 4);
}
