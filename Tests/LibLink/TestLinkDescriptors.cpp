#include <Harness/NoFreeDescriptor.h>
#include <LibKernel/Kernel.h>
#include <LibKernel/Socket.h>
#include <LibNode/Messages.h>

#include <doctest/doctest.h>
#include <event2/event.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ctime>
#include <memory>
#include <utility>
#include <vector>

using namespace chive;

namespace {

const Endpoint links{"127.0.0.1", 19'485};
const Endpoint peer{"127.0.0.1", 19'486};
/// Leaves links a share of two descriptors.
constexpr std::size_t descriptors = 12;
constexpr std::size_t share = 2;
constexpr Milliseconds observed{500};
constexpr Milliseconds timeLimit{1'000};

/// Counts the lines that libevent logs.
class LibeventLines
{
public:
    LibeventLines()
    {
        count = 0;
        event_set_log_callback([](int, const char *) { ++count; });
    }
    ~LibeventLines() { event_set_log_callback(nullptr); }
    LibeventLines(const LibeventLines &) = delete;
    LibeventLines &operator=(const LibeventLines &) = delete;

    inline static int count = 0;
};

class Socket
{
public:
    Socket()
        : handle_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        REQUIRE(handle_ >= 0);
    }
    ~Socket() { close(); }
    Socket(Socket &&other) noexcept
        : handle_(std::exchange(other.handle_, -1))
    {}
    Socket &operator=(Socket &&) = delete;

    void connectTo(const Endpoint &endpoint) const
    {
        const sockaddr_in address = addressOf(endpoint);
        REQUIRE(::connect(handle_, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                == 0);
    }
    void listenAt(const Endpoint &endpoint) const
    {
        const int on = 1;
        setsockopt(handle_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = addressOf(endpoint);
        REQUIRE(::bind(handle_, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
        REQUIRE(::listen(handle_, 8) == 0);
        REQUIRE(fcntl(handle_, F_SETFL, O_NONBLOCK) == 0);
    }
    [[nodiscard]] bool accepts() const
    {
        const int accepted = ::accept(handle_, nullptr, nullptr);
        if (accepted >= 0)
            ::close(accepted);
        return accepted >= 0;
    }
    [[nodiscard]] bool isClosedByPeer() const
    {
        char byte = 0;
        return recv(handle_, &byte, 1, MSG_DONTWAIT) == 0;
    }
    void close()
    {
        if (handle_ >= 0)
            ::close(std::exchange(handle_, -1));
    }

private:
    int handle_;
};

Settings settings()
{
    Settings settings;
    settings.nodeId = "node-1";
    settings.links = links;
    settings.maximumDescriptors = descriptors;
    return settings;
}

/// The link task of a node, without the other tasks.
struct Node
{
    SystemClock clock;
    Kernel kernel{settings(), clock};
    std::unique_ptr<Task> task;
    std::vector<Token> unsent;
    std::vector<PeerLost> lost;

    Node()
    {
        const TaskPlugin *plugin = Registry<TaskPlugin>::find("link");
        REQUIRE(plugin != nullptr);
        task = plugin->create(kernel);
        task->start();
        kernel.bus().subscribe<SendFailed>(
                [this](const SendFailed &failed) { unsent.push_back(failed.token); });
        kernel.bus().subscribe<PeerLost>([this](const PeerLost &one) { lost.push_back(one); });
    }

    [[nodiscard]] const DescriptorShare &peers() { return kernel.descriptors().peers; }

    void send(Token token)
    {
        kernel.bus().post(SendToPeer{peer, LinkClass::Short, Topic::Call, makeBody("x"), token});
    }

    void wait(Milliseconds time)
    {
        const Timer timer = kernel.loop().after(time, [this] { kernel.loop().stop(); });
        kernel.loop().run();
    }

    template<typename Condition>
    bool waitUntil(Condition condition)
    {
        constexpr Milliseconds step{10};
        bool holds = condition();
        for (Milliseconds waited{0}; waited < timeLimit && !holds; waited += step) {
            wait(step);
            holds = condition();
        }
        return holds;
    }
};

std::vector<Socket> connectTo(const Endpoint &endpoint, std::size_t count)
{
    std::vector<Socket> sockets(count);
    for (const Socket &socket : sockets)
        socket.connectTo(endpoint);
    return sockets;
}

std::chrono::duration<double> processorTime()
{
    return std::chrono::duration<double>(static_cast<double>(std::clock()) / CLOCKS_PER_SEC);
}

} // namespace

TEST_CASE("A node without a free descriptor does not try to accept links in a loop")
{
    Node node;
    const std::vector<Socket> others = connectTo(links, share);
    const LibeventLines lines;
    {
        const NoFreeDescriptor shortage;
        const auto before = processorTime();
        node.wait(observed);
        CHECK(processorTime() - before < observed / 2);
        CHECK(LibeventLines::count == 0);
        CHECK(node.peers().used() == 0);
        CHECK(node.peers().refused() > 0);
    }

    SUBCASE("it accepts them when descriptors are free again")
    {
        CHECK(node.waitUntil([&] { return node.peers().used() == share; }));
    }
}

TEST_CASE("A frame for a link that gets no descriptor is reported unsent")
{
    Node node;
    const NoFreeDescriptor shortage;
    node.send(7);
    CHECK(node.waitUntil([&] { return !node.unsent.empty(); }));
    CHECK(node.unsent == std::vector<Token>{7});
    CHECK(node.peers().refused() == 1);
}

TEST_CASE("Links do not take more descriptors than their share")
{
    Node node;
    const Socket listener;
    listener.listenAt(peer);
    REQUIRE(node.peers().most() == share);
    std::vector<Socket> others = connectTo(links, share);
    REQUIRE(node.waitUntil([&] { return node.peers().used() == share; }));

    SUBCASE("one more that another node opens is closed at once")
    {
        const std::vector<Socket> more = connectTo(links, 1);
        CHECK(node.waitUntil([&] { return more[0].isClosedByPeer(); }));
        CHECK(node.peers().used() == share);
        CHECK(node.peers().refused() == 1);
    }

    SUBCASE("one more of its own fails before a connection is tried")
    {
        node.send(7);
        CHECK(node.waitUntil([&] { return !node.unsent.empty(); }));
        CHECK(node.unsent == std::vector<Token>{7});
        CHECK(node.peers().used() == share);
        CHECK(node.peers().refused() == 1);
        CHECK_FALSE(listener.accepts());
    }

    SUBCASE("a link that ends makes room for another")
    {
        others.pop_back();
        REQUIRE(node.waitUntil([&] { return node.peers().used() < share; }));
        node.send(7);
        CHECK(node.waitUntil([&] { return listener.accepts(); }));
        CHECK(node.unsent.empty());
    }
}

TEST_CASE("Calls that get no link for want of a descriptor are reported as not run")
{
    Node node;
    const std::unique_ptr<Task> router = Registry<TaskPlugin>::find("router")->create(node.kernel);
    std::vector<CallOutcome> outcomes;
    node.kernel.bus().subscribe<CallRouted>(
            [&](const CallRouted &routed) { outcomes.push_back(routed.outcome); });
    Member target;
    target.nodeId = "node-2";
    target.links = peer;
    target.service = "photos";
    node.kernel.bus().post(MembersChanged{std::make_shared<const std::vector<Member>>(1, target)});
    auto call = std::make_shared<Call>();
    call->service = target.service;
    call->deadline = node.clock.now() + Milliseconds(10'000);
    const auto callTwice = [&] {
        node.kernel.bus().post(RouteCall{1, call});
        node.kernel.bus().post(RouteCall{2, call});
        REQUIRE(node.waitUntil([&] { return outcomes.size() == 2; }));
        for (const CallOutcome &outcome : outcomes) {
            REQUIRE_FALSE(outcome.result.has_value());
            CHECK(outcome.result.error().execution == Execution::NotRun);
        }
        CHECK(node.lost.empty()); // Nothing is known of the peer.
    };

    SUBCASE("of their share")
    {
        const std::vector<Socket> others = connectTo(links, share);
        REQUIRE(node.waitUntil([&] { return node.peers().used() == share; }));
        callTwice();
    }

    SUBCASE("of the process")
    {
        const NoFreeDescriptor shortage;
        callTwice();
    }
}
