#include <LibKernel/EventLoop.h>

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

using namespace chive;

namespace {

/// Appends a letter to a text when it is destroyed.
class Marker
{
public:
    Marker(std::string &text, char letter)
        : text_(text)
        , letter_(letter)
    {}
    ~Marker() { text_ += letter_; }
    Marker(const Marker &) = delete;
    Marker &operator=(const Marker &) = delete;

private:
    std::string &text_;
    char letter_;
};

/// Appends a letter to the text when the event base is freed: the base destroys a bufferevent that
/// was freed, and with it the bytes that it holds.
void markEndOfBase(EventLoop &loop, std::string &text)
{
    static constexpr std::string_view bytes = "x";
    bufferevent *handle = bufferevent_socket_new(loop.base(), -1, 0);
    const auto release = [](const void *, std::size_t, void *argument) {
        *static_cast<std::string *>(argument) += 'b';
    };
    bufferevent_disable(handle, EV_WRITE);
    evbuffer_add_reference(bufferevent_get_output(handle), bytes.data(), bytes.size(), release,
                           &text);
    bufferevent_free(handle);
}

} // namespace

TEST_CASE("Callbacks that are posted while the loop ends outlive its event base")
{
    std::string ended;
    std::optional<EventLoop> loop(std::in_place);

    SUBCASE("those that have not run")
    {
        markEndOfBase(*loop, ended);
        loop->post([marker = std::make_shared<Marker>(ended, 'c')] {});
        loop.reset();
        CHECK(ended == "cb");
    }

    SUBCASE("those that are posted when another is destroyed")
    {
        markEndOfBase(*loop, ended);
        const auto postAnother = [&](const int *) {
            loop->post([marker = std::make_shared<Marker>(ended, 'd')] {});
        };
        loop->post([marker = std::make_shared<Marker>(ended, 'c'),
                    poster = std::shared_ptr<int>(nullptr, postAnother)] {});
        loop.reset();
        CHECK(ended.ends_with('b'));
        CHECK(ended.size() == 3);
    }

    SUBCASE("which close their connections")
    {
        std::array<int, 2> sockets{};
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets.data()) == 0);
        std::shared_ptr<bufferevent> connection(
                bufferevent_socket_new(loop->base(), sockets[0], BEV_OPT_CLOSE_ON_FREE),
                bufferevent_free);
        loop->post([&loop, connection] {
            loop->post([connection] {});
            loop->stop();
        });
        loop->run();
        connection.reset();
        char byte = 0;
        CHECK(read(sockets[1], &byte, 1) == -1);
        loop.reset();
        CHECK(read(sockets[1], &byte, 1) == 0);
        close(sockets[1]);
    }
}

TEST_CASE("The time for which the process did not run is not seen")
{
    EventLoop loop;
    Milliseconds pause{-1};
    loop.onSignal(SIGUSR1, [&] {
        pause = loop.pause();
        loop.stop();
    });

    SUBCASE("before a signal that came meanwhile")
    {
        const Timer sleeper = loop.after(Milliseconds(150), [] {
            std::this_thread::sleep_for(Milliseconds(500));
            REQUIRE(raise(SIGUSR1) == 0);
        });
        loop.run();
        CHECK(pause >= Milliseconds(500));
        CHECK(pause < Milliseconds(5'000));
    }

    SUBCASE("and there was none before a signal that comes while it waits")
    {
        const SystemClock clock;
        TimePoint lastTick = clock.now();
        Milliseconds longestGap{0}; // Longer when the machine itself did not let the loop run.
        const auto noteGap = [&] {
            const auto gap = std::chrono::ceil<Milliseconds>(clock.now() - lastTick);
            longestGap = std::max(longestGap, gap);
            lastTick = clock.now();
        };
        const Timer ticks = loop.every(Milliseconds(10), noteGap);
        const Timer sender = loop.after(Milliseconds(450), [] { REQUIRE(raise(SIGUSR1) == 0); });
        loop.run();
        noteGap();
        CAPTURE(longestGap.count());
        if (longestGap < Milliseconds(150))
            CHECK(pause == Milliseconds(0));
        else
            CHECK(pause < longestGap + Milliseconds(150));
    }
}
