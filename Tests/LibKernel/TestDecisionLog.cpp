#include <LibKernel/DecisionLog.h>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

using namespace chive;

namespace {

constexpr std::size_t mostBytes = 512 * 1024; // what the log may hold, and more
constexpr int seconds = 100;
constexpr int linesPerSecond = 5'000;

std::string readAll(int descriptor)
{
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> part{};
    for (ssize_t size = 0; (size = read(descriptor, part.data(), part.size())) > 0;)
        text.append(part.data(), static_cast<std::size_t>(size));
    return text;
}

void runFor(EventLoop &loop, Milliseconds time)
{
    const Timer end = loop.after(time, [&] { loop.stop(); });
    loop.run();
}

} // namespace

TEST_CASE("The decision log is bounded and never blocks")
{
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    EventLoop loop;
    ManualClock clock;
    DecisionLog log(loop, clock, ends[1]);
    const auto addMany = [&](LineWeight weight) {
        int taken = 0;
        for (int i = 0; i < linesPerSecond; ++i) {
            if (!log.takes(weight))
                continue;
            log.add(weight, "event=request id=" + std::string(200, 'x'));
            ++taken;
        }
        return taken;
    };

    SUBCASE("failures go before successes, and what was dropped is said")
    {
        const int successes = addMany(LineWeight::Success);
        const int failures = addMany(LineWeight::Failure);
        CHECK(successes > 0);
        CHECK(failures > successes);
        CHECK(failures < linesPerSecond);
        runFor(loop, Milliseconds(120));
        CHECK(readAll(ends[0]).find("event=lines-dropped count=") != std::string::npos);
    }
    SUBCASE("a reader that stops costs no more than the bound")
    {
        int taken = 0;
        for (int i = 0; i < seconds; ++i) {
            clock.advance(std::chrono::seconds(1));
            taken += addMany(LineWeight::Failure);
        }
        runFor(loop, Milliseconds(120));
        CHECK(log.pendingBytes() < mostBytes);
        CHECK(taken < seconds * linesPerSecond);
    }
    close(ends[0]);
    close(ends[1]);
}
