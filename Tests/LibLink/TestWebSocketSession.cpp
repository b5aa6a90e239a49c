#include <LibLink/WebSocketSession.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace chive;

namespace {

constexpr std::size_t maximumMessageSize = 1024 * 1024;
constexpr int messageCount = 3'000;

/// Two sessions whose bytes are handed over by the test.
struct Pair
{
    std::string toServer;
    std::string toClient;
    std::vector<std::string> atServer;
    std::vector<std::string> atClient;
    WebSocketSession server{WebSocketRole::Server,
                            maximumMessageSize,
                            {[this](std::string_view bytes) { toClient += bytes; }, [] {},
                             [this](std::string_view text) { atServer.emplace_back(text); },
                             [] {}}};
    WebSocketSession client{WebSocketRole::Client,
                            maximumMessageSize,
                            {[this](std::string_view bytes) { toServer += bytes; }, [] {},
                             [this](std::string_view text) { atClient.emplace_back(text); },
                             [] {}}};

    Pair()
    {
        server.start();
        client.start();
        server.feed(std::exchange(toServer, {}));
        client.feed(std::exchange(toClient, {}));
    }
};

std::string randomMessage(std::mt19937 &random, std::size_t longest)
{
    std::string message(random() % longest, '\0');
    for (char &byte : message)
        byte = static_cast<char>(random());
    return message;
}

/// Feeds the bytes in pieces of up to `longest`.
void feedInPieces(WebSocketSession &session, std::string_view bytes, std::mt19937 &random,
                  std::size_t longest)
{
    while (!bytes.empty()) {
        const std::size_t size = std::min(bytes.size(), 1 + random() % longest);
        session.feed(bytes.substr(0, size));
        bytes.remove_prefix(size);
    }
}

/// The number of the first message that differs; the count of messages when all are equal.
std::size_t firstDifference(const std::vector<std::string> &left,
                            const std::vector<std::string> &right)
{
    const auto differing = std::ranges::mismatch(left, right);
    return static_cast<std::size_t>(differing.in2 - right.begin());
}

} // namespace

TEST_CASE("Messages come over as they were sent, wherever the network cuts the bytes")
{
    // Single bytes and little more, pieces of a packet, more than the library's own buffer.
    for (const std::size_t longestPiece : {7, 100, 1'500, 40'000}) {
        CAPTURE(longestPiece);
        std::mt19937 random(1);
        Pair pair;
        std::vector<std::string> sent;
        for (int i = 0; i < messageCount; ++i) {
            sent.push_back(randomMessage(random, i % 100 == 0 ? 50'000 : 700));
            REQUIRE(pair.client.send(sent.back()));
            REQUIRE(pair.server.send(sent.back()));
        }
        SUBCASE("from the client to the server")
        {
            feedInPieces(pair.server, pair.toServer, random, longestPiece);
            CHECK(firstDifference(pair.atServer, sent) == sent.size());
        }
        SUBCASE("from the server to the client")
        {
            feedInPieces(pair.client, pair.toClient, random, longestPiece);
            CHECK(firstDifference(pair.atClient, sent) == sent.size());
        }
    }
}
