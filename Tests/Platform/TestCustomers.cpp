#include <LibCustomers/KeyDigest.h>
#include <LibNode/DecisionLines.h>
#include <LibNode/Dialect.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace chive;

namespace {

constexpr const char *customerHeader = "X-Chiverouter-Tenant";

const Dialect &dialect()
{
    const Dialect *found = Registry<Dialect>::find("platform");
    REQUIRE(found != nullptr);
    return *found;
}

Customer customerWith(std::string name, const std::vector<std::string> &keys)
{
    Customer customer;
    customer.name = std::move(name);
    for (const std::string &key : keys)
        customer.keys.push_back(keyDigest(key));
    return customer;
}

/// One host with a route that needs a key and one that does not, and two customers.
Catalogue sampleCatalogue()
{
    Route route;
    route.name = "closed";
    route.pathPrefix = "/x/";
    route.kind.name = "closed";
    route.kind.importance = Importance::Normal;
    route.shares = {{"ledger", 1.0}};
    Route open = route;
    open.name = open.kind.name = "open";
    open.pathPrefix = "/open/";
    open.isOpen = true;
    Catalogue catalogue;
    catalogue.version = 3;
    catalogue.routes["a.example"] = {route, open};
    catalogue.customers["north"] = customerWith("north", {"n1", "n2"});
    catalogue.customers["south"] = customerWith("south", {"s1"});
    catalogue.customers["south"].importance = Importance::Low;
    return catalogue;
}

/// The entry node's view of its callers.
struct Entry
{
    Catalogue catalogue = sampleCatalogue();
    CallerKeys keys{buildCustomerKeys(catalogue, {}), false, nullptr};

    void apply(Catalogue newer)
    {
        catalogue = std::move(newer);
        keys.table = buildCustomerKeys(catalogue, keys.table);
    }

    [[nodiscard]] Judged<Call> read(const HttpRequest &request) const
    {
        ShareCounters shares;
        return dialect().readCall(request, {catalogue, shares, "lookup", &keys}, TimePoint());
    }

    /// 200 if the request is let in.
    [[nodiscard]] int statusOf(const HttpRequest &request) const
    {
        const auto call = read(request);
        return call.has_value() ? 200 : dialect().responseFor(call.error(), "id-1").status;
    }
};

HttpRequest requestFor(std::string path, const std::vector<std::string> &authorizations = {})
{
    HttpRequest request{"GET",
                        std::move(path),
                        {{"Host", "a.example"}, {"X-Chiverouter-Attempt-Id", "id-1"}},
                        nullptr};
    for (const std::string &value : authorizations)
        request.headers.emplace_back("Authorization", value);
    return request;
}

HttpRequest sentToTarget(const Judged<Call> &call)
{
    REQUIRE(call.has_value());
    return dialect().requestForTarget(call.value(), {"", "i-7"}, TimePoint());
}

std::size_t countOf(const std::vector<Header> &headers, std::string_view name)
{
    return std::ranges::count_if(
            headers, [&](const Header &header) { return isSameHeaderName(header.first, name); });
}

} // namespace

TEST_CASE("A caller's request is assigned the customer of its key")
{
    const Entry entry;
    const auto call = entry.read(requestFor("/x/1", {"Bearer n2"}));
    REQUIRE(call.has_value());
    CHECK(call.value().customer == "north");

    SUBCASE("the target gets the name in place of the key")
    {
        const HttpRequest sent = sentToTarget(call);
        CHECK(findHeader(sent.headers, customerHeader) == "north");
        CHECK(countOf(sent.headers, "Authorization") == 0);
    }
    SUBCASE("whatever name the caller sends")
    {
        HttpRequest request = requestFor("/x/1", {"bearer n2"});
        request.headers.emplace_back("x-chiverouter-tenant", "south");
        const HttpRequest sent = sentToTarget(entry.read(request));
        CHECK(countOf(sent.headers, customerHeader) == 1);
        CHECK(findHeader(sent.headers, customerHeader) == "north");
    }
    SUBCASE("also if the caller names headers that concern the connection only")
    {
        HttpRequest request = requestFor("/x/1", {"Bearer n2"});
        request.headers.emplace_back("Connection", std::string("Authorization, ") + customerHeader);
        CHECK(findHeader(sentToTarget(entry.read(request)).headers, customerHeader) == "north");
    }
    SUBCASE("the customer's importance takes precedence over the route's, where it has one")
    {
        CHECK(call.value().importance == Importance::Normal);
        CHECK(entry.read(requestFor("/x/1", {"Bearer s1"})).value().importance == Importance::Low);
    }
    SUBCASE("the decision line names the customer and not the key")
    {
        DecisionInputs inputs;
        inputs.event = "request";
        const std::string line = decisionLine(call.value(), Answer{}, inputs);
        CHECK(line.find(" customer=north ") != std::string::npos);
        CHECK(line.find("n2") == std::string::npos);
    }
}

TEST_CASE("A caller's request without a valid key is refused as not run")
{
    Entry entry;
    const std::vector<std::vector<std::string>> refused{
            {},
            {"Bearer n3"},
            {"Bearer n1", "Bearer n1"},
            {"Bearer n1", "Basic n1"},
            {"Basic n1"},
            {"n1"},
            {"Bearer"},
            {"Bearer "},
            {""},
            {"Bearer " + std::string(10 * 1024, 'n')},
            {"Bearer n1\x01"},
            {std::string("Bearer n1\0", 10)},
    };
    for (const auto &values : refused) {
        CAPTURE(values.size());
        CHECK(entry.statusOf(requestFor("/x/1", values)) == 401);
        const auto onOpenRoute = entry.read(requestFor("/open/1", values));
        REQUIRE(onOpenRoute.has_value());
        CHECK(onOpenRoute.value().customer.empty());
        CHECK(countOf(sentToTarget(onOpenRoute).headers, "Authorization") == 0);
    }

    SUBCASE("and told which scheme is expected, but not the key that it sent")
    {
        const auto call = entry.read(requestFor("/x/1", {"Bearer very-secret"}));
        REQUIRE_FALSE(call.has_value());
        CHECK(call.error().execution == Execution::NotRun);
        CHECK(call.error().reason == Reason::UnknownKey);
        const HttpResponse response = dialect().responseFor(call.error(), "id-1");
        CHECK(findHeader(response.headers, "WWW-Authenticate") == "Bearer");
        CHECK(bytesOf(response.body).find("very-secret") == std::string_view::npos);
    }
    SUBCASE("but not as unknown while a newer version may hold the key")
    {
        entry.keys.isNewerVersionKnown = true;
        const auto call = entry.read(requestFor("/x/1", {"Bearer n3"}));
        REQUIRE_FALSE(call.has_value());
        const HttpResponse response = dialect().responseFor(call.error(), "id-1");
        CHECK(response.status == 503);
        CHECK_FALSE(findHeader(response.headers, "Retry-After").empty());
        CHECK(entry.statusOf(requestFor("/x/1", {"Bearer n1"})) == 200);
        CHECK(entry.statusOf(requestFor("/x/1")) == 401);
        CHECK(entry.statusOf(requestFor("/x/1", {"Basic n1"})) == 401);
    }
    SUBCASE("nor while there is no configuration")
    {
        entry.apply(Catalogue());
        CHECK(entry.statusOf(requestFor("/x/1", {"Bearer n1"})) == 503);
    }
}

TEST_CASE("An open route needs no key, but a known one counts")
{
    const Entry entry;
    CHECK(entry.read(requestFor("/open/1", {"Bearer n1"})).value().customer == "north");
    CHECK(entry.read(requestFor("/open/1", {"Bearer s1"})).value().importance == Importance::Low);
    CHECK(entry.read(requestFor("/open/1", {"Bearer n3"})).value().customer.empty());

    SUBCASE("and a request without a customer names none, whatever the caller sends")
    {
        HttpRequest request = requestFor("/open/1");
        request.headers.emplace_back(customerHeader, "north");
        CHECK(countOf(sentToTarget(entry.read(request)).headers, customerHeader) == 0);
    }
}

TEST_CASE("A change of the keys takes effect with the version that holds it")
{
    Entry entry;
    Catalogue moved = sampleCatalogue();
    moved.version = 4;
    moved.customers["north"] = customerWith("north", {"n1"});
    moved.customers["south"] = customerWith("south", {"s1", "n2"});
    entry.apply(moved);
    CHECK(entry.read(requestFor("/x/1", {"Bearer n2"})).value().customer == "south");

    Catalogue withdrawn = moved;
    withdrawn.version = 5;
    withdrawn.customers["south"] = customerWith("south", {"s1"});
    entry.apply(withdrawn);
    CHECK(entry.statusOf(requestFor("/x/1", {"Bearer n2"})) == 401);
    CHECK(entry.statusOf(requestFor("/x/1", {"Bearer n1"})) == 200);
}

TEST_CASE("Without customers no request needs a key")
{
    Entry entry;
    Catalogue without = sampleCatalogue();
    without.customers.clear();
    entry.apply(without);
    HttpRequest request = requestFor("/x/1", {"Basic any", "Bearer n1"});
    request.headers.emplace_back(customerHeader, "north");
    const auto call = entry.read(request);
    REQUIRE(call.has_value());
    CHECK(call.value().customer.empty());
    CHECK(call.value().importance == Importance::Normal);

    SUBCASE("and the header passes on to the target as it is, but no name of a customer")
    {
        const HttpRequest sent = sentToTarget(call);
        CHECK(countOf(sent.headers, "Authorization") == 2);
        CHECK(findHeader(sent.headers, "Authorization") == "Basic any");
        CHECK(countOf(sent.headers, customerHeader) == 0);
    }
}

TEST_CASE("A target's nested call carries no key")
{
    Entry entry;
    entry.keys.isNestedCall = [](std::string_view requestId, std::string_view kind) {
        return requestId == "id-1" && kind == "closed";
    };
    HttpRequest request = requestFor("/x/1");
    request.headers.emplace_back(customerHeader, "north");
    auto call = entry.read(request);
    REQUIRE(call.has_value());
    CHECK(call.value().customer.empty());

    SUBCASE("and does not name the customer of its root to the target")
    {
        call.value().isNested = true;
        call.value().customer = "north";
        CHECK(countOf(sentToTarget(call).headers, customerHeader) == 0);
    }
    SUBCASE("a request that carries one is a caller's")
    {
        CHECK(entry.statusOf(requestFor("/x/1", {"Bearer n3"})) == 401);
        CHECK(entry.statusOf(requestFor("/x/1", {"Basic n1"})) == 401);
    }
    SUBCASE("nor does it at the target's own endpoint")
    {
        ShareCounters shares;
        const auto nested = dialect().readCall(requestFor("/x/1"),
                                               {entry.catalogue, shares, "lookup"}, TimePoint());
        CHECK(nested.has_value());
    }
}
