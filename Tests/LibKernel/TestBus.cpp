#include <LibKernel/Bus.h>
#include <LibKernel/EventLoop.h>

#include <doctest/doctest.h>

#include <string>

using namespace chive;

namespace {

struct Greeting
{
    std::string text;
};

} // namespace

TEST_CASE("Tasks talk over the bus")
{
    EventLoop loop;
    Bus bus(loop);
    std::string heard;
    bus.subscribe<Greeting>([&](const Greeting &greeting) { heard += greeting.text; });
    bus.subscribe<int>([&](const int &) { loop.stop(); });

    SUBCASE("a message is not delivered inside the poster's call")
    {
        bus.post(Greeting{"a"});
        CHECK(heard.empty());
        bus.post(0);
        loop.run();
        CHECK(heard == "a");
    }

    SUBCASE("messages of all types keep their order")
    {
        bus.post(Greeting{"a"});
        bus.post(Greeting{"b"});
        bus.post(0);
        loop.run();
        CHECK(heard == "ab");
    }

    SUBCASE("a message without a subscriber is dropped")
    {
        bus.post(3.5);
        bus.post(0);
        loop.run();
        CHECK(heard.empty());
    }
}

TEST_CASE("Timers")
{
    EventLoop loop;
    int count = 0;

    SUBCASE("a repeating timer may cancel itself")
    {
        Timer timer;
        timer = loop.every(Milliseconds(1), [&] {
            if (++count == 3) {
                timer.cancel();
                loop.stop();
            }
        });
        loop.run();
        CHECK(count == 3);
    }

    SUBCASE("a timer that went out of scope never fires")
    {
        {
            const Timer timer = loop.after(Milliseconds(1), [&] { ++count; });
        }
        const Timer end = loop.after(Milliseconds(10), [&] { loop.stop(); });
        loop.run();
        CHECK(count == 0);
    }
}
