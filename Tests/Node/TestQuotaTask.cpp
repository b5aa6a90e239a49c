#include <LibHttp/HttpClient.h>
#include <LibKernel/Kernel.h>
#include <LibNode/Dialect.h>
#include <LibNode/Messages.h>
#include <LibQuota/Allocators.h>
#include <LibQuota/QuotaMessage.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace chive;

namespace {

const Endpoint ownLinks{"127.0.0.1", 1};
const Endpoint peerLinks{"127.0.0.1", 2};
const Endpoint callers{"127.0.0.1", 47'311};
/// Longer than a new allocator lends nothing.
constexpr Milliseconds startTime{500};

/// A waiting request counts as such and as a response that is due.
constexpr std::size_t inFlightOfOne = 2;

/// Takes the customer from a header, in place of a key.
Judged<Call> readCallOfCustomer(const HttpRequest &request, const RequestSource &, TimePoint now)
{
    Call call;
    call.requestId = findHeader(request.headers, "Id");
    call.customer = findHeader(request.headers, "Customer");
    call.service = "search";
    call.kind = findHeader(request.headers, "Kind");
    call.deadline = now + std::chrono::seconds(2);
    return call;
}

std::string idOf(const HttpRequest &request)
{
    return std::string(findHeader(request.headers, "Id"));
}

std::string_view noParent(std::string_view)
{
    return {};
}

HttpResponse respondTo(const Judged<Answer> &result, std::string_view)
{
    if (result.has_value())
        return {result.value().status, {}, nullptr};
    HttpResponse response{503, {}, nullptr};
    if (result.error().reason == Reason::QuotaExceeded)
        response.status = 429;
    if (result.error().retryAfter)
        response.headers.emplace_back("Retry-After",
                                      std::to_string(result.error().retryAfter->count()));
    return response;
}

Dialect dialectWithCustomers()
{
    Dialect dialect;
    dialect.name = "customers";
    dialect.readCall = readCallOfCustomer;
    dialect.requestIdOf = idOf;
    dialect.parentOf = noParent;
    dialect.responseFor = respondTo;
    return dialect;
}

const Registration<Dialect> registration{dialectWithCustomers()};

Settings settingsWith(bool hasQuotas)
{
    Settings settings;
    settings.nodeId = "node-1";
    settings.links = ownLinks;
    settings.callers = callers;
    settings.dialect = "customers";
    if (hasQuotas)
        settings.quotaBound = Settings::QuotaBound{Milliseconds(5'000), 0.1, 20.0};
    return settings;
}

Member memberAt(const std::string &nodeId, const Endpoint &links)
{
    Member member;
    member.nodeId = nodeId;
    member.links = links;
    return member;
}

/// Returns a limited customer whose allocator is this node.
std::string customerOf(const std::string &nodeId, const std::vector<Member> &members)
{
    std::string name;
    for (int i = 0; i < 10; ++i) {
        const std::string candidate = "limited-" + std::to_string(i);
        if (allocatorOf(candidate, members)->nodeId == nodeId)
            name = candidate;
    }
    return name;
}

/// The entry task and, with quotas, the quota task of one node. The router is the test.
struct Node
{
    SystemClock clock;
    Kernel kernel;
    std::unique_ptr<Task> quota;
    std::unique_ptr<Task> entry;
    HttpClient client;
    std::vector<RouteCall> routed;
    std::vector<TokenQuestion> questions;
    std::vector<int> statuses;
    std::vector<std::string> retryAfters;
    std::size_t sent = 0;
    std::size_t offered = 0;
    std::size_t returned = 0;
    bool runs = true; ///< Whether calls are answered or end as not run.

    explicit Node(bool hasQuotas = true, double rate = 2.0)
        : kernel(settingsWith(hasQuotas), clock)
        , client(kernel.loop(), callers, 1'000)
    {
        if (hasQuotas)
            quota = Registry<TaskPlugin>::find("quota")->create(kernel);
        entry = Registry<TaskPlugin>::find("entry")->create(kernel);
        kernel.bus().subscribe<RouteCall>([this](const RouteCall &call) {
            routed.push_back(call);
            CallOutcome outcome;
            if (runs)
                outcome.result = Answer{200, {}, nullptr};
            kernel.bus().post(CallRouted{call.token, std::move(outcome)});
        });
        kernel.bus().subscribe<RootDecided>([this](const RootDecided &) { ++offered; });
        kernel.bus().subscribe<TokensReturned>([this](const TokensReturned &) { ++returned; });
        kernel.bus().subscribe<SendToPeer>([this](const SendToPeer &message) {
            if (message.topic == Topic::Quota)
                questions.push_back(
                        std::get<TokenQuestion>(parseQuotaMessage(*message.payload).value()));
        });
        auto catalogue = std::make_shared<Catalogue>();
        catalogue->version = 1;
        catalogue->customers["limited"] = {"limited", {}, std::nullopt, {rate, rate}};
        for (int i = 0; i < 10; ++i) {
            const std::string name = "limited-" + std::to_string(i);
            catalogue->customers[name] = {name, {}, std::nullopt, {rate, rate}};
        }
        catalogue->customers["free"] = {"free", {}, std::nullopt, {}};
        kernel.bus().post(CatalogueChanged{std::move(catalogue)});
        setMembers({memberAt("node-1", ownLinks)});
        entry->start();
        if (quota != nullptr)
            quota->start();
    }

    void setMembers(std::vector<Member> members)
    {
        kernel.bus().post(
                MembersChanged{std::make_shared<const std::vector<Member>>(std::move(members))});
    }

    void runFor(Milliseconds time)
    {
        const Timer timer = kernel.loop().after(time, [this] { kernel.loop().stop(); });
        kernel.loop().run();
    }

    HttpClient::RequestId request(const std::string &customer,
                                  const std::string &kind = "search-query")
    {
        HttpRequest request;
        request.headers = {{"Id", std::to_string(++sent)}};
        if (!customer.empty())
            request.headers.emplace_back("Customer", customer);
        request.headers.emplace_back("Kind", kind);
        return client.send(request, Milliseconds(5'000), [this](HttpClient::Outcome outcome) {
            statuses.push_back(outcome.has_value() ? outcome.value().status : 0);
            if (outcome.has_value())
                retryAfters.emplace_back(findHeader(outcome.value().headers, "Retry-After"));
        });
    }

    [[nodiscard]] std::size_t count(int status) const
    {
        return static_cast<std::size_t>(std::ranges::count(statuses, status));
    }
};

} // namespace

// Guards against customers beyond their quota being served, and others being refused for it.
TEST_CASE("Requests at an entry node that lends the tokens itself")
{
    Node node;

    SUBCASE("are granted within the quota and refused beyond it, before they count as offered")
    {
        node.runFor(startTime + Milliseconds(2'600)); // 5 tokens at 2 a second.
        for (int i = 0; i < 12; ++i)
            node.request("limited");
        node.runFor(Milliseconds(300));
        CHECK(node.count(200) + node.count(429) == 12);
        CHECK(node.count(200) >= 4);
        CHECK(node.count(200) <= 6);
        CHECK(node.offered == node.count(200));
        for (const std::string &retryAfter : node.retryAfters)
            CHECK((retryAfter.empty() || std::stoi(retryAfter) >= 50));
    }

    SUBCASE("are not asked for where the customer has no rate, or there is none, or they are "
            "nested")
    {
        auto mesh = std::make_shared<MeshPressure>();
        mesh->nestedKinds.insert("nested");
        node.kernel.bus().post(PressureChanged{std::move(mesh)});
        node.runFor(Milliseconds(10));
        for (int i = 0; i < 10; ++i) {
            node.request("free");
            node.request({});
            node.request({}, "nested");
        }
        node.runFor(Milliseconds(200));
        CHECK(node.count(200) == 30);
    }

    SUBCASE("give their token back when they have not run")
    {
        node.runFor(startTime + Milliseconds(1'600)); // 3 tokens.
        node.runs = false;
        for (int i = 0; i < 3; ++i) {
            node.request("limited");
            node.runFor(Milliseconds(20));
        }
        CHECK(node.returned == 3);
        node.runs = true;
        for (int i = 0; i < 3; ++i)
            node.request("limited");
        node.runFor(Milliseconds(150));
        CHECK(node.count(200) == 3);
    }

    SUBCASE("are listed in the status report")
    {
        node.runFor(startTime + Milliseconds(600));
        node.request("limited");
        node.runFor(Milliseconds(100));
        const nlohmann::json status = node.kernel.status().at("quotas");
        CHECK(status.at("allocator") == true);
        CHECK(status.at("customers").at("limited").at("rate") == 2.0);
        CHECK(status.at("customers").at("limited").at("used") == 1);
    }
}

// Guards against requests that wait for ever, and callers that go leaving something behind.
TEST_CASE("Requests whose allocator does not answer")
{
    Node node(true, 50.0);
    node.runFor(Milliseconds(20));
    const std::vector<Member> members{memberAt("node-1", ownLinks), memberAt("node-2", peerLinks)};
    node.setMembers(members);
    node.runFor(Milliseconds(20));
    const std::string customer = customerOf("node-2", members);
    node.request(customer);
    node.runFor(Milliseconds(40));
    REQUIRE(node.questions.size() == 1);

    SUBCASE("are refused after 400 ms")
    {
        node.runFor(Milliseconds(250));
        CHECK(node.kernel.inFlight() == inFlightOfOne);
        CHECK(node.count(429) == 0);
        node.runFor(Milliseconds(200));
        CHECK(node.count(429) == 1);
        CHECK(node.kernel.inFlight() == 0);
    }

    SUBCASE("leave nothing behind when their caller goes")
    {
        const auto id = node.request(customer);
        node.runFor(Milliseconds(10));
        CHECK(node.kernel.inFlight() == 2 * inFlightOfOne);
        node.client.cancel(id);
        node.runFor(Milliseconds(15));
        CHECK(node.kernel.inFlight() == inFlightOfOne);
        CHECK(node.returned == 1);
        node.runFor(Milliseconds(450));
        CHECK(node.kernel.inFlight() == 0);
        CHECK(node.kernel.status().at("quotas").at("waiting") == 0);
    }

    SUBCASE("are granted with its answer, and so are later ones that have a token")
    {
        TokenAnswer answer;
        answer.id = node.questions.front().id;
        answer.lent = {{1, Milliseconds(0), Milliseconds(0)}};
        node.kernel.bus().post(
                ReceivedFromPeer{peerLinks, LinkClass::Control, Topic::Quota,
                                 std::make_shared<const std::string>(encodeQuotaMessage(answer))});
        node.runFor(Milliseconds(20));
        CHECK(node.count(200) == 1);
    }

    SUBCASE("malformed answers change nothing")
    {
        node.kernel.bus().post(ReceivedFromPeer{peerLinks, LinkClass::Control, Topic::Quota,
                                                std::make_shared<const std::string>("\xff\x01")});
        node.kernel.bus().post(
                ReceivedFromPeer{peerLinks, LinkClass::Control, Topic::Quota, nullptr});
        node.runFor(Milliseconds(450));
        CHECK(node.count(429) == 1);
    }
}

// Guards against costs in deployments without quotas.
TEST_CASE("Without quotas in the settings nothing is asked for")
{
    Node node(false);
    node.request("limited");
    node.runFor(Milliseconds(50));
    CHECK(node.count(200) == 1);
    CHECK(node.questions.empty());
}
