#include <platform/Configuration.h>

#include <LibCustomers/KeyDigest.h>

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace chive;

namespace {

const std::string record
        = R"({"version":7,"services":[{"name":"s1","healthPath":"/health","maxConns":
1606},{"name":"s2","healthPath":"/health","maxConns":580}],"limits":{"idleTimeoutS":15,"headerTimeoutS":4.5},
"virtualHosts":[{"host":"a.example","routePaths":[
{"name":"r1","pathPrefix":"/x/","kind":"safe","timeoutS":6,"targetLatencyS":1.5,"priority":2,
"trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2},
{"name":"r2","pathPrefix":"/x/y/","kind":"upload","timeoutS":0.8,"targetLatencyS":0.4,"priority":9,
"service":"s2","maxAttempts":1}]}]})";

std::string with(std::string_view from, std::string_view to)
{
    std::string changed = record;
    changed.replace(changed.find(from), from.size(), to);
    return changed;
}

} // namespace

TEST_CASE("The operator's record becomes a catalogue")
{
    const auto catalogue = platform::readConfiguration(record);
    REQUIRE(catalogue.has_value());
    CHECK(catalogue.value().version == 7);
    CHECK(catalogue.value().idleTimeout == Milliseconds(15'000));
    CHECK(catalogue.value().headTimeout == Milliseconds(4'500));

    SUBCASE("the longest prefix of the host decides")
    {
        const RouteTable &routes = catalogue.value().routes;
        const Route *longer = findRoute(routes, "a.example", "/x/y/1");
        REQUIRE(longer != nullptr);
        CHECK(longer->name == "r2");
        CHECK(longer->kind.deadline == Milliseconds(800));
        CHECK(longer->kind.repetition == Repetition::Guarded);
        CHECK(longer->kind.duration == Duration::Long);
        CHECK(longer->kind.importance == Importance::Low);
        CHECK(longer->kind.retries == 0);
        const Route *shorter = findRoute(routes, "a.example", "/x/1");
        REQUIRE(shorter != nullptr);
        CHECK(shorter->kind.repetition == Repetition::Idempotent);
        CHECK(shorter->latencyObjective == Milliseconds(1'500));
        CHECK(shorter->shares.size() == 2);
        CHECK(findRoute(routes, "a.example", "/y/") == nullptr);
        CHECK(findRoute(routes, "b.example", "/x/1") == nullptr);
    }
}

TEST_CASE("The operator's record holds customers")
{
    const std::string customers = R"("tenants":[
{"name":"north","apiKeys":["n1","n2"],"priority":0,"ratePerS":40.5,"burstSize":41},
{"name":"south","apiKeys":[],"priority":9},{"name":"east","apiKeys":["e1"]}],)";
    const auto catalogue
            = platform::readConfiguration(with("\"limits\"", customers + "\"limits\""));
    REQUIRE(catalogue.has_value());
    const auto &read = catalogue.value().customers;
    REQUIRE(read.size() == 3);

    SUBCASE("with limits and an importance, where they have them")
    {
        const Customer &north = read.at("north");
        CHECK(north.name == "north");
        CHECK(north.importance == Importance::Critical);
        CHECK(north.quota == CustomerQuota{40.5, 41.0});
        CHECK(read.at("south").importance == Importance::Low);
        CHECK(read.at("east").importance == std::nullopt);
        CHECK(read.at("east").quota == CustomerQuota{});
    }
    SUBCASE("and digests of keys, as a key's text is kept nowhere")
    {
        CHECK(read.at("north").keys == std::vector{keyDigest("n1"), keyDigest("n2")});
        CHECK(read.at("south").keys.empty());
    }
}

TEST_CASE("Nodes exchange the record without the text of any key")
{
    const std::string customers
            = R"("tenants":[{"name":"north","apiKeys":["first-key","second-key"],"priority":1,
"ratePerS":4,"burstSize":8},{"name":"east","apiKeys":[]}],)";
    const std::string original = with("\"limits\"", customers + "\"limits\"");
    const std::string shared = platform::recordForPeers(original);
    CHECK(shared.find("first-key") == std::string::npos);
    CHECK(shared.find("second-key") == std::string::npos);

    SUBCASE("which gives a peer the same catalogue")
    {
        const auto own = platform::readConfiguration(original);
        const auto received = platform::readConfiguration(shared);
        REQUIRE(own.has_value());
        REQUIRE(received.has_value());
        CHECK(received.value() == own.value());
    }
    SUBCASE("and passes on unchanged from peer to peer")
    {
        CHECK(platform::recordForPeers(shared) == shared);
    }
    SUBCASE("and byte for byte where there are no customers")
    {
        CHECK(platform::recordForPeers(record) == record);
        const std::string empty = with("\"limits\"", "\"tenants\":[],\"limits\"");
        CHECK(platform::recordForPeers(empty) == empty);
    }
    SUBCASE("whatever the record holds")
    {
        for (const std::string customersField :
             {"5", "[5]", "[{}]", R"([{"apiKeys":5}])", "null"}) {
            const std::string odd
                    = with("\"limits\"", "\"tenants\":" + customersField + ",\"limits\"");
            CHECK(platform::recordForPeers(odd) == odd);
        }
        CHECK(platform::recordForPeers("no record") == "no record");
    }
}

TEST_CASE("A record without customers asks nobody for a key")
{
    const auto without = platform::readConfiguration(record);
    const auto empty = platform::readConfiguration(with("\"limits\"", "\"tenants\":[],\"limits\""));
    REQUIRE(without.has_value());
    REQUIRE(empty.has_value());
    CHECK(without.value().customers.empty());
    CHECK(without.value() == empty.value());
}

TEST_CASE("A route needs a key unless the record exempts it")
{
    const auto isOpen = [](const std::string &text) {
        const auto catalogue = platform::readConfiguration(text);
        REQUIRE(catalogue.has_value());
        return findRoute(catalogue.value().routes, "a.example", "/x/1")->isOpen;
    };
    CHECK_FALSE(isOpen(record));
    CHECK(isOpen(with("\"maxAttempts\":2", "\"maxAttempts\":2,\"authExempt\":true")));
    CHECK_FALSE(isOpen(with("\"maxAttempts\":2", "\"maxAttempts\":2,\"authExempt\":false")));
}

TEST_CASE("A record that is wrong names the field")
{
    const auto errorOf = [](const std::string &text) {
        const auto catalogue = platform::readConfiguration(text);
        REQUIRE_FALSE(catalogue.has_value());
        return catalogue.error().message;
    };
    CHECK(errorOf(record.substr(0, 100)).starts_with("body:"));
    CHECK(errorOf(with("\"version\":7", "\"version\":\"7\"")).starts_with("version:"));
    CHECK(errorOf(with("\"timeoutS\":6", "\"timeoutS\":-1")).starts_with("timeoutS:"));
    CHECK(errorOf(with("\"priority\":2", "\"priority\":null")).starts_with("priority:"));
    CHECK(errorOf(with("\"maxAttempts\":2", "\"maxAttempts\":0")).starts_with("maxAttempts:"));
    CHECK(errorOf(with("\"host\":\"a.example\"", "\"host\":\"\"")).starts_with("host:"));
    CHECK(errorOf(with("\"maxAttempts\":2", "\"maxAttempts\":2,\"authExempt\":1"))
                  .starts_with("authExempt:"));

    const auto errorOfCustomers = [&](const std::string &customers) {
        return errorOf(with("\"limits\"", "\"tenants\":" + customers + ",\"limits\""));
    };
    CHECK(errorOfCustomers("{}").starts_with("tenants:"));
    CHECK(errorOfCustomers(R"([{"apiKeys":[]}])").starts_with("name:"));
    CHECK(errorOfCustomers(R"([{"name":"a\nb","apiKeys":[]}])").starts_with("name:"));
    CHECK(errorOfCustomers(R"([{"name":"a","apiKeys":[]},{"name":"a","apiKeys":[]}])")
                  .starts_with("name:"));
    CHECK(errorOfCustomers(R"([{"name":"a"}])").starts_with("apiKeys:"));
    CHECK(errorOfCustomers(R"([{"name":"a","apiKeys":[1]}])").starts_with("apiKeys:"));
    CHECK(errorOfCustomers(R"([{"name":"a","apiKeys":[""]}])").starts_with("apiKeys:"));
    CHECK(errorOfCustomers(R"([{"name":"a","apiKeys":[],"ratePerS":-1}])")
                  .starts_with("ratePerS:"));
    CHECK(errorOfCustomers(R"([{"name":"a","apiKeys":[],"burstSize":"1"}])")
                  .starts_with("burstSize:"));
}
