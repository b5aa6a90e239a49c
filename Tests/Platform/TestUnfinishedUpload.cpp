#include <LibHttp/HttpClient.h>
#include <LibKernel/Kernel.h>
#include <LibKernel/Socket.h>
#include <LibNode/CallCodec.h>
#include <LibNode/Messages.h>
#include <Platform/StoreStandIn.h>

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

using namespace chive;

namespace {

const Endpoint storeEndpoint{"127.0.0.1", 22'051};
const Endpoint nodeEndpoint{"127.0.0.1", 22'052};
const Endpoint targetEndpoint{"127.0.0.1", 22'053};
const Endpoint callers{"127.0.0.1", 22'054};
constexpr std::size_t bodyLimit = 64 * 1024 * 1024;
/// More than the buffers of a connection hold.
constexpr std::size_t longUpload = 32 * 1024 * 1024;
constexpr Milliseconds timeLimit{5'000};
constexpr std::chrono::milliseconds pause{100};
constexpr std::string_view endOfHead = "\r\n\r\n";

enum class Ending : std::uint8_t { Reset, CloseInOrder, CloseThenReset };

/// A target that answers health checks and `/x/whole` with a whole response, and any other request
/// as soon as its head has come: with this status and part of a body without a length.
class HastyTarget
{
public:
    HastyTarget(std::string status, Ending ending)
        : status_(std::move(status))
        , ending_(ending)
        , listening_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(listening_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = addressOf(targetEndpoint);
        REQUIRE(bind(listening_, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                == 0);
        REQUIRE(listen(listening_, 8) == 0);
        acceptor_ = std::thread([this] { run(); });
    }
    ~HastyTarget()
    {
        shutdown(listening_, SHUT_RDWR);
        acceptor_.join();
        for (std::thread &connection : connections_)
            connection.join();
        close(listening_);
    }
    HastyTarget(const HastyTarget &) = delete;
    HastyTarget &operator=(const HastyTarget &) = delete;

private:
    void run()
    {
        for (;;) {
            const int connection = accept(listening_, nullptr, nullptr);
            if (connection < 0)
                return;
            const timeval limit{3, 0};
            setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
            connections_.emplace_back([this, connection] {
                serve(connection);
                close(connection);
            });
        }
    }

    void serve(int connection) const
    {
        std::string input;
        std::array<char, 4'096> bytes{};
        for (;;) {
            const ssize_t size = recv(connection, bytes.data(), bytes.size(), 0);
            if (size <= 0)
                return;
            input.append(bytes.data(), static_cast<std::size_t>(size));
            if (input.find(endOfHead) == std::string::npos)
                continue;
            const bool isHasty = input.starts_with("POST /x/hasty ");
            const std::string response = responseTo(input, isHasty);
            send(connection, response.data(), response.size(), MSG_NOSIGNAL);
            if (isHasty) {
                end(connection);
                return;
            }
            input.clear();
        }
    }

    [[nodiscard]] std::string responseTo(const std::string &request, bool isHasty) const
    {
        constexpr std::string_view name = "X-Chiverouter-Attempt-Id: ";
        std::string id;
        const std::size_t found = request.find(name);
        if (found != std::string::npos)
            id = request.substr(found, request.find("\r\n", found) + 2 - found);
        const std::string common = id
                                   + "X-Chiverouter-Instance-Id: i-1\r\n"
                                     "X-Chiverouter-Response-Stamp: s\r\n";
        if (!isHasty)
            return "HTTP/1.1 200 OK\r\n" + common + "Content-Length: 0\r\n\r\n";
        return "HTTP/1.1 " + status_ + " OK\r\n" + common + "\r\na part of the body";
    }

    void end(int connection) const
    {
        std::this_thread::sleep_for(pause);
        if (ending_ != Ending::Reset) {
            shutdown(connection, SHUT_WR);
            std::this_thread::sleep_for(pause);
        }
        if (ending_ != Ending::CloseInOrder) {
            const linger reset{1, 0};
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        }
    }

    std::string status_;
    Ending ending_;
    int listening_;
    std::vector<std::thread> connections_; ///< Of the acceptor, until it has ended.
    std::thread acceptor_;
};

Settings settings()
{
    Settings settings;
    settings.nodeId = "node-1";
    settings.dialect = "platform";
    settings.backing = Settings::Backing::Store;
    settings.store = storeEndpoint;
    settings.targetCalls = nodeEndpoint;
    settings.callers = callers;
    settings.maximumBodySize = bodyLimit;
    settings.maximumBytesHeld = 2 * bodyLimit;
    return settings;
}

/// The entry task of one node and the target task of another. Calls and outcomes pass between them
/// as over a link.
struct TwoNodes
{
    SystemClock clock;
    Kernel kernel{settings(), clock};
    StoreStandIn store{kernel.loop(), storeEndpoint};
    HttpClient target{kernel.loop(), nodeEndpoint, bodyLimit};
    HttpClient caller{kernel.loop(), callers, bodyLimit};
    std::vector<std::unique_ptr<Task>> tasks;
    std::string usedService;

    TwoNodes()
    {
        kernel.bus().subscribe<TargetPressure>(
                [this](const TargetPressure &pressure) { usedService = pressure.service; });
        kernel.bus().subscribe<RouteCall>([this](const RouteCall &route) {
            const TimePoint now = kernel.clock().now();
            auto sent = decodeCall(encodeCall(route.token, *route.call, now), now);
            REQUIRE(sent.has_value());
            kernel.bus().post(
                    RunCall{sent.value().token, std::make_shared<const Call>(sent.value().call)});
        });
        kernel.bus().subscribe<CallRan>([this](const CallRan &ran) {
            const auto received = decodeOutcome(encodeOutcome(ran.token, ran.outcome));
            REQUIRE(received.has_value());
            kernel.bus().post(CallRouted{received.value().token, received.value().outcome});
        });
        for (const char *name : {"target", "store", "entry"}) {
            tasks.push_back(Registry<TaskPlugin>::find(name)->create(kernel));
            tasks.back()->start();
        }
        kernel.bus().post(CatalogueChanged{catalogue()});
        runFor(Milliseconds(100));
        REQUIRE(exchange(target, {"POST", "/chiverouter/instances/i-1/heartbeat", {}, heartbeat()})
                        .status
                == 200);
        runFor(Milliseconds(1'000));
        REQUIRE(usedService == "s");
    }

    static std::shared_ptr<const Catalogue> catalogue()
    {
        Route route;
        route.name = route.kind.name = "upload";
        route.pathPrefix = "/x/";
        route.shares = {{"s", 1.0}};
        auto catalogue = std::make_shared<Catalogue>();
        catalogue->version = 1;
        catalogue->services["s"].name = "s";
        catalogue->routes["a.example"] = {route};
        return catalogue;
    }

    static std::shared_ptr<const std::string> heartbeat()
    {
        return makeBody(R"({"address":"127.0.0.1:22053","born":1700000000000,)"
                        R"("info":{"service":"s","version":"v1","zone":"a","slots":4},)"
                        R"("status":{"state":"ready","sequence":1,"coldLeftS":0}})");
    }

    void runFor(Milliseconds time)
    {
        const Timer timer = kernel.loop().after(time, [this] { kernel.loop().stop(); });
        kernel.loop().run();
    }

    HttpResponse exchange(HttpClient &client, const HttpRequest &request)
    {
        HttpResponse response{0, {}, nullptr};
        client.send(request, timeLimit, [&](const HttpClient::Outcome &outcome) {
            if (outcome.has_value())
                response = outcome.value();
            kernel.loop().stop();
        });
        kernel.loop().run();
        return response;
    }

    HttpResponse upload(const std::string &path, const std::string &id, std::size_t size)
    {
        return exchange(caller, {"POST",
                                 path,
                                 {{"Host", "a.example"}, {"X-Chiverouter-Attempt-Id", id}},
                                 makeBody(std::string(size, 'u'))});
    }
};

/// What the caller gets for the request on a new connection to the target, and on a kept one.
void checkIsNoResponse(const std::string &status, Ending ending, std::size_t uploadSize)
{
    const HastyTarget hasty(status, ending);
    TwoNodes nodes;
    for (const std::string use : {"new", "kept"}) {
        CAPTURE(use);
        if (use == "kept")
            REQUIRE(nodes.upload("/x/whole", "whole", 0).status == 200);
        const HttpResponse response = nodes.upload("/x/hasty", "id-" + use, uploadSize);
        CHECK(response.status == 502);
        CHECK(bytesOf(response.body).starts_with("may-have-run incomplete-answer"));
    }
}

} // namespace

TEST_CASE("An upload that the target answers in part and cuts off has no complete response")
{
    for (const Ending ending : {Ending::Reset, Ending::CloseInOrder, Ending::CloseThenReset}) {
        CAPTURE(static_cast<int>(ending));
        checkIsNoResponse("200", ending, longUpload);
    }
}

TEST_CASE("A response without a status from 100 to 599 does not reach the caller")
{
    for (const std::string status : {"000", "099", "1000", "abc"}) {
        CAPTURE(status);
        checkIsNoResponse(status, Ending::CloseInOrder, 0);
    }
}
