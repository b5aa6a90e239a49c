#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>
#include <LibHttp/ResponseReader.h>
#include <LibKernel/EventLoop.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace chive;

namespace {

constexpr std::size_t bodyLimit = 1024 * 1024;
constexpr std::size_t tooMany = 64 * 1024 * 1024; // bytes
constexpr Milliseconds patience{3'000};
const Endpoint endpoint{"127.0.0.1", 19'473};
using State = ResponseReader::State;

/// How many bytes a reader takes of a beginning and an endless repetition before it gives up.
std::size_t bytesTaken(std::string_view beginning, std::string_view repeated)
{
    ResponseReader reader("GET", bodyLimit);
    std::size_t taken = reader.feed(beginning);
    std::string block;
    while (block.size() < 4'000)
        block.append(repeated);
    while (taken < tooMany && reader.state() == State::Reading)
        taken += reader.feed(block);
    CHECK(reader.state() == State::Malformed);
    return taken;
}

} // namespace

TEST_CASE("A response without end is given up")
{
    constexpr std::size_t most = 2 * bodyLimit;
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    SUBCASE("of header lines")
    {
        CHECK(bytesTaken("HTTP/1.1 200 OK\r\n", "X-More: 1\r\n") < most);
    }
    SUBCASE("of one header line")
    {
        CHECK(bytesTaken("HTTP/1.1 200 OK\r\nX-Long: ", "x") < most);
    }
    SUBCASE("of interim responses")
    {
        CHECK(bytesTaken("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n") < most);
    }
    SUBCASE("of a body with a length")
    {
        CHECK(bytesTaken("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x") < most);
    }
    SUBCASE("of a body without a length")
    {
        CHECK(bytesTaken("HTTP/1.1 200 OK\r\n\r\n", "x") < most);
    }
    SUBCASE("of chunks")
    {
        CHECK(bytesTaken(chunked, "5\r\nxxxxx\r\n") < 4 * most);
    }
    SUBCASE("of one chunk's extension")
    {
        CHECK(bytesTaken(chunked + "5;", "x") < most);
    }
    SUBCASE("of chunks that are mostly extension")
    {
        CHECK(bytesTaken(chunked, "1;" + std::string(3'900, 'x') + "\r\nx\r\n") < 4 * most);
    }
    SUBCASE("of trailer fields")
    {
        CHECK(bytesTaken(chunked + "0\r\n", "X-More: 1\r\n") < most);
    }
    SUBCASE("of blank lines")
    {
        CHECK(bytesTaken("\r\n", "\r\n") < most);
    }
}

TEST_CASE("A head of very many fields is given up")
{
    ResponseReader reader("GET", bodyLimit);
    reader.feed("HTTP/1.1 200 OK\r\n");
    for (int i = 0; i < 10'000 && reader.state() == State::Reading; ++i)
        reader.feed("a:\r\n");
    CHECK(reader.state() == State::Malformed);
}

TEST_CASE("A reader takes little more memory than the bytes that it keeps")
{
    constexpr std::size_t allowance = 128 * 1024; // Two blocks.
    ResponseReader reader("GET", tooMany);
    reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
    std::size_t size = 0;
    for (int i = 0; i < 1'000; ++i) {
        reader.feed(chunk);
        size += 0x1000;
        REQUIRE(reader.bytesHeld() >= size);
        REQUIRE(reader.bytesHeld() <= size + allowance);
    }
    reader.feed("0\r\n\r\n");
    REQUIRE(reader.state() == State::Complete);
    const HttpResponse response = reader.take();
    CHECK(bytesOf(response.body) == std::string(size, 'x'));
    CHECK(reader.bytesHeld() == 0);

    SUBCASE("of a head, too")
    {
        ResponseReader open("GET", bodyLimit);
        open.feed("HTTP/1.1 200 OK\r\nX-Long: " + std::string(50'000, 'x'));
        CHECK(open.bytesHeld() >= 50'000);
    }
}

TEST_CASE("Responses to other requests without end fail the request and close its connection")
{
    EventLoop loop;
    bool isGone = false;
    std::shared_ptr<HttpExchange> flooded;
    Timer flood;
    auto server = HttpServer::listen(
            loop, endpoint, bodyLimit, [&](const HttpRequest &request, const auto &exchange) {
                if (request.target == "/sound") {
                    exchange->respond({200, {{"X-Id", "own"}}, nullptr});
                    return;
                }
                flooded = exchange;
                exchange->onPeerGone([&] { isGone = true; });
                flood = loop.every(Milliseconds(1), [&] {
                    for (int i = 0; i < 100 && !isGone; ++i)
                        flooded->writeRaw(
                                "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n");
                });
            });
    REQUIRE(server.has_value());
    HttpClient client(loop, endpoint, bodyLimit);
    const ResponseRules rules{{"X-Id", "own"}};
    std::optional<HttpClient::Outcome> endless;
    std::optional<HttpClient::Outcome> sound;
    client.send(
            {}, patience, [&](auto outcome) { endless = std::move(outcome); }, rules);
    client.send(
            {"GET", "/sound", {}, nullptr}, patience,
            [&](auto outcome) { sound = std::move(outcome); }, rules);
    const Timer step = loop.every(Milliseconds(1), [&] {
        if (endless && sound && isGone)
            loop.stop();
    });
    const Timer limit = loop.after(patience * 2, [&] { loop.stop(); });
    loop.run();
    CHECK(isGone);
    REQUIRE(sound.has_value());
    CHECK(sound->has_value());
    REQUIRE(endless.has_value());
    REQUIRE_FALSE(endless->has_value());
    CHECK(endless->error().stage == HttpFailure::Stage::Incomplete);
    CHECK(endless->error().message == "the server sends responses to other requests");
}

TEST_CASE("Bodies without end on many connections do not exhaust the memory")
{
    constexpr std::size_t connections = 32;
    constexpr std::size_t blockSize = 64 * 1024;
    constexpr std::size_t maximumBytesHeld = 2 * bodyLimit;
    EventLoop loop;
    std::vector<std::shared_ptr<HttpExchange>> flooded;
    const std::string block(blockSize, 'x');
    auto server = HttpServer::listen(
            loop, endpoint, bodyLimit, [&](const HttpRequest &request, const auto &exchange) {
                if (request.target == "/sound") {
                    exchange->writeRaw("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha");
                    exchange->writeRaw("lf");
                    exchange->abandon();
                    return;
                }
                exchange->writeRaw("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n");
                flooded.push_back(exchange);
            });
    REQUIRE(server.has_value());
    HttpClient client(loop, endpoint, bodyLimit);
    client.limitBytesHeld(maximumBytesHeld);
    std::size_t failed = 0;
    for (std::size_t i = 0; i < connections; ++i) {
        client.send({}, patience, [&](auto outcome) {
            if (!outcome.has_value() && outcome.error().stage == HttpFailure::Stage::Incomplete)
                ++failed;
        });
    }
    std::size_t mostHeld = 0;
    int blocks = 0;
    std::optional<HttpClient::Outcome> sound;
    const Timer flood = loop.every(Milliseconds(2), [&] {
        mostHeld = std::max(mostHeld, client.bytesHeld());
        if (flooded.size() == connections && ++blocks <= 8) {
            for (const auto &exchange : flooded)
                exchange->writeRaw(block);
        }
        if (blocks == 6)
            client.send({"GET", "/sound", {}, nullptr}, patience,
                        [&](auto outcome) { sound = std::move(outcome); });
        if (sound && blocks > 20)
            loop.stop();
    });
    const Timer limit = loop.after(patience / 2, [&] { loop.stop(); });
    loop.run();
    CHECK(mostHeld <= maximumBytesHeld);
    CHECK(failed > 0);
    REQUIRE(sound.has_value());
    CHECK(sound->has_value());
}
