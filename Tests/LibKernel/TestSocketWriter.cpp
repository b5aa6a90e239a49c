#include <LibKernel/EventLoop.h>
#include <LibKernel/SocketWriter.h>

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>
#include <utility>

using namespace chive;

namespace {

/// One end of a socket pair as a connection with a writer; the test reads the other end.
struct Connection
{
    EventLoop loop;
    std::array<int, 2> sockets{-1, -1};
    bufferevent *handle = nullptr;
    std::unique_ptr<SocketWriter> writer;
    int sent = 0;
    int errors = 0;

    Connection()
    {
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()) == 0);
        evutil_make_socket_nonblocking(sockets[0]);
        evutil_make_socket_nonblocking(sockets[1]);
        handle = bufferevent_socket_new(loop.base(), sockets[0], BEV_OPT_CLOSE_ON_FREE);
        const auto onDrained = [](bufferevent *, void *argument) {
            static_cast<Connection *>(argument)->writer->handleDrained();
        };
        const auto onEvent = [](bufferevent *, short, void *argument) {
            ++static_cast<Connection *>(argument)->errors;
        };
        bufferevent_setcb(handle, nullptr, onDrained, onEvent, this);
        bufferevent_disable(handle, EV_WRITE);
        writer = std::make_unique<SocketWriter>(loop.base(), handle, [this] { ++sent; });
    }
    ~Connection()
    {
        writer.reset();
        bufferevent_free(handle);
        if (sockets[1] >= 0)
            close(sockets[1]);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void add(const std::string &bytes) const
    {
        evbuffer_add(bufferevent_get_output(handle), bytes.data(), bytes.size());
        writer->writeSoon();
    }

    /// Runs what is due without waiting.
    void runOnce() const { event_base_loop(loop.base(), EVLOOP_NONBLOCK); }

    [[nodiscard]] bool waitsForSocket() const
    {
        return (bufferevent_get_enabled(handle) & EV_WRITE) != 0;
    }

    [[nodiscard]] std::string readAll() const
    {
        std::string received;
        std::array<char, 65536> bytes{};
        for (ssize_t size = 0; (size = read(sockets[1], bytes.data(), bytes.size())) > 0;)
            received.append(bytes.data(), static_cast<std::size_t>(size));
        return received;
    }
};

} // namespace

TEST_CASE("Output is written without waiting for the socket while it takes all bytes")
{
    Connection connection;

    SUBCASE("nothing is written before the connection is open")
    {
        connection.add("early");
        connection.runOnce();
        CHECK(connection.readAll().empty());

        connection.writer->start();
        connection.runOnce();
        CHECK(connection.readAll() == "early");
        CHECK(connection.sent == 1);
    }

    SUBCASE("output added in one round of the loop is written together")
    {
        connection.writer->start();
        connection.add("one ");
        connection.add("two");
        connection.runOnce();
        CHECK(connection.readAll() == "one two");
        CHECK(connection.sent == 1);
        CHECK_FALSE(connection.waitsForSocket());
    }

    SUBCASE("a stopped writer writes nothing more")
    {
        connection.writer->start();
        connection.add("late");
        connection.writer->stop();
        connection.runOnce();
        CHECK(connection.readAll().empty());
    }
}

TEST_CASE("Output beyond what the socket takes is written completely, and reported once")
{
    Connection connection;
    connection.writer->start();
    const std::string large(4 * 1024 * 1024, 'x');
    connection.add(large);
    connection.runOnce();
    CHECK(connection.sent == 0);
    CHECK(connection.waitsForSocket());

    std::size_t received = 0;
    for (int round = 0; round < 10'000 && connection.sent == 0; ++round) {
        received += connection.readAll().size();
        connection.runOnce();
    }
    received += connection.readAll().size();
    CHECK(received == large.size());
    CHECK(connection.sent == 1);
    CHECK_FALSE(connection.waitsForSocket());

    connection.add("next");
    connection.runOnce();
    CHECK(connection.readAll() == "next");
    CHECK(connection.sent == 2);
}

TEST_CASE("A write to a connection that the peer has closed is reported as an error")
{
    Connection connection;
    connection.writer->start();
    close(std::exchange(connection.sockets[1], -1));
    connection.add("lost");
    for (int round = 0; round < 3; ++round)
        connection.runOnce();
    CHECK(connection.errors > 0);
    CHECK(connection.sent == 0);
}
