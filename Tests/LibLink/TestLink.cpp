#include <LibKernel/EventLoop.h>
#include <LibLink/Link.h>

#include <doctest/doctest.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <string>

using namespace chive;

namespace {

constexpr std::size_t messageLimit = 1024 * 1024;
const Endpoint endpoint{"127.0.0.1", 29'481};
const Endpoint nobody{"127.0.0.1", 29'482};

/// Accepts links and sends every message back.
class EchoServer
{
public:
    explicit EchoServer(EventLoop &loop)
        : loop_(loop)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const auto accept
                = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *argument) {
                      static_cast<EchoServer *>(argument)->add(socket);
                  };
        listener_ = evconnlistener_new_bind(loop.base(), accept, this,
                                            LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
                                            reinterpret_cast<sockaddr *>(&address), sizeof address);
        REQUIRE(listener_ != nullptr);
    }
    ~EchoServer() { evconnlistener_free(listener_); }

    void add(int socket)
    {
        link = Link::accept(loop_, socket, messageLimit,
                            {[] {}, [this](std::string_view message) { link->send(message); },
                             [this] {
                                 isClosed = true;
                                 link.reset();
                             }});
    }

    std::unique_ptr<Link> link;
    bool isClosed = false;

private:
    EventLoop &loop_;
    evconnlistener *listener_ = nullptr;
};

} // namespace

TEST_CASE("Two nodes talk over a link")
{
    EventLoop loop;
    EchoServer server(loop);
    std::string received;
    bool isClosed = false;
    std::string message = "hello";
    std::unique_ptr<Link> link;
    link = Link::connect(loop, endpoint, messageLimit,
                         {[&] { CHECK(link->send(message)); },
                          [&](std::string_view bytes) {
                              received = bytes;
                              loop.stop();
                          },
                          [&] {
                              isClosed = true;
                              loop.stop();
                          }});
    CHECK_FALSE(link->send("too early"));
    CHECK_FALSE(link->hasOpened());

    SUBCASE("a short message comes back")
    {
        loop.run();
        CHECK(received == "hello");
        CHECK(link->hasOpened());
    }

    SUBCASE("a long message with all byte values comes back unharmed")
    {
        message.resize(700'000);
        std::mt19937 generator(7);
        for (char &byte : message)
            byte = static_cast<char>(generator());
        loop.run();
        CHECK(received == message);
    }

    SUBCASE("a message over the limit ends the link")
    {
        message.assign(messageLimit + 1, 'x');
        loop.run();
        CHECK(isClosed);
        CHECK(received.empty());
    }
}

TEST_CASE("A link to nobody closes without ever opening")
{
    EventLoop loop;
    bool isClosed = false;
    auto link = Link::connect(loop, nobody, messageLimit,
                              {[] {}, [](std::string_view) {},
                               [&] {
                                   isClosed = true;
                                   loop.stop();
                               }});
    loop.run();
    CHECK(isClosed);
    CHECK_FALSE(link->hasOpened());
}

TEST_CASE("Bytes that are not WebSocket end the link and nothing else")
{
    EventLoop loop;
    EchoServer server(loop);
    std::mt19937 generator(11);
    for (int round = 0; round < 20; ++round) {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
        std::string bytes(generator() % 3000, '\0');
        for (char &byte : bytes)
            byte = static_cast<char>(generator());
        bytes += "\r\n\r\n";
        REQUIRE(::send(socket, bytes.data(), bytes.size(), 0) > 0);
        server.isClosed = false;
        const Timer limit = loop.after(Milliseconds(5), [&] { loop.stop(); });
        loop.run();
        ::close(socket);
        const Timer after = loop.after(Milliseconds(5), [&] { loop.stop(); });
        loop.run();
        CHECK(server.isClosed);
    }
}
