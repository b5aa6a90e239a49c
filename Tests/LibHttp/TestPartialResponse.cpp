#include <LibHttp/HttpClient.h>
#include <LibKernel/EventLoop.h>
#include <LibKernel/Socket.h>

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

using namespace chive;

namespace {

const Endpoint endpoint{"127.0.0.1", 19'478};
constexpr std::size_t bodyLimit = 1024 * 1024;
constexpr Milliseconds requestTimeout{5'000};
/// More than the buffers of a connection hold, so that the upload is still being written when the
/// response comes.
constexpr std::size_t longUpload = 32 * 1024 * 1024;
/// Until the client has read what was sent before.
constexpr std::chrono::milliseconds pause{100};
constexpr std::string_view endOfHead = "\r\n\r\n";
const std::string wholeResponse = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole";
const std::string lengthless = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\na part of the body";

enum class Ending : std::uint8_t {
    Reset,
    CloseUnread,    ///< While bytes of the request are unread, which resets the connection.
    CloseThenReset, ///< Closes its side in order, and resets the connection later.
    CloseInOrder,   ///< Closes its side in order and leaves the upload unread.
    StayOpen,
};

/// A server on plain sockets that serves one connection after the other. It answers `/whole` as a
/// sound server does, and any other request with the response under test as soon as its head has
/// come.
class RawServer
{
public:
    RawServer(std::string response, Ending ending)
        : response_(std::move(response))
        , ending_(ending)
        , listening_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(listening_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = addressOf(endpoint);
        REQUIRE(bind(listening_, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                == 0);
        REQUIRE(listen(listening_, 4) == 0);
        thread_ = std::thread([this] { run(); });
    }
    ~RawServer()
    {
        shutdown(listening_, SHUT_RDWR);
        thread_.join();
        close(listening_);
    }
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    [[nodiscard]] int connections() const { return connections_; }

private:
    void run()
    {
        for (;;) {
            const int connection = accept(listening_, nullptr, nullptr);
            if (connection < 0)
                return;
            ++connections_;
            const timeval limit{2, 0};
            setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
            serve(connection);
            close(connection);
        }
    }

    void serve(int connection) const
    {
        std::string input;
        std::array<char, 1'024> bytes{};
        for (;;) {
            const ssize_t size = recv(connection, bytes.data(), bytes.size(), 0);
            if (size <= 0)
                return;
            input.append(bytes.data(), static_cast<std::size_t>(size));
            if (input.find(endOfHead) == std::string::npos)
                continue;
            if (input.find(" /whole ") == std::string::npos) {
                answerWrongly(connection);
                return;
            }
            send(connection, wholeResponse.data(), wholeResponse.size(), MSG_NOSIGNAL);
            input.clear();
        }
    }

    void answerWrongly(int connection) const
    {
        send(connection, response_.data(), response_.size(), MSG_NOSIGNAL);
        std::this_thread::sleep_for(pause);
        if (ending_ == Ending::CloseThenReset || ending_ == Ending::CloseInOrder) {
            shutdown(connection, SHUT_WR);
            std::this_thread::sleep_for(pause);
        }
        if (ending_ == Ending::Reset || ending_ == Ending::CloseThenReset) {
            const linger reset{1, 0};
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        }
        if (ending_ == Ending::StayOpen) {
            char byte = 0;
            recv(connection, &byte, 1, 0); // Until the client closes.
        }
    }

    std::string response_;
    Ending ending_;
    int listening_;
    std::atomic<int> connections_ = 0;
    std::thread thread_;
};

struct Client
{
    EventLoop loop;
    HttpClient http{loop, endpoint, bodyLimit};

    HttpClient::Outcome exchange(const std::string &method, const std::string &target,
                                 std::size_t uploadSize)
    {
        std::optional<HttpClient::Outcome> outcome;
        http.send({method, target, {{"X-Id", "1"}}, makeBody(std::string(uploadSize, 'u'))},
                  requestTimeout,
                  [&](HttpClient::Outcome result) {
                      outcome.emplace(std::move(result));
                      loop.stop();
                  },
                  {{"X-Id", "1"}, BodyEnd::FramedOrClose});
        loop.run();
        REQUIRE(outcome.has_value());
        return std::move(*outcome);
    }
};

enum class Use : std::uint8_t { NewConnection, KeptConnection };

HttpClient::Outcome exchangeAfter(Use use, Client &client, const RawServer &server,
                                  std::size_t uploadSize)
{
    if (use == Use::KeptConnection)
        REQUIRE(client.exchange("GET", "/whole", 0).has_value());
    auto outcome = client.exchange("POST", "/", uploadSize);
    CHECK(server.connections() == 1);
    return outcome;
}

} // namespace

TEST_CASE("A body without a length is no whole response while the upload is being written")
{
    for (const Use use : {Use::NewConnection, Use::KeptConnection}) {
        for (const Ending ending :
             {Ending::Reset, Ending::CloseUnread, Ending::CloseThenReset, Ending::CloseInOrder}) {
            CAPTURE(static_cast<int>(use));
            CAPTURE(static_cast<int>(ending));
            const RawServer server(lengthless, ending);
            Client client;
            const auto outcome = exchangeAfter(use, client, server, longUpload);
            CHECK_FALSE(outcome.has_value());
            if (!outcome.has_value())
                CHECK(outcome.error().stage == HttpFailure::Stage::Incomplete);
        }
    }
}

TEST_CASE("A body without a length is whole after an orderly close if the request was received")
{
    for (const Use use : {Use::NewConnection, Use::KeptConnection}) {
        CAPTURE(static_cast<int>(use));
        const RawServer server(lengthless, Ending::CloseInOrder);
        Client client;
        const auto outcome = exchangeAfter(use, client, server, 0);
        REQUIRE(outcome.has_value());
        CHECK(bytesOf(outcome.value().body) == "a part of the body");
    }
}

TEST_CASE("What has no status from 100 to 599 is no response")
{
    for (const Use use : {Use::NewConnection, Use::KeptConnection}) {
        for (const std::string status : {"000", "099", "1000", "abc", "600", "999", "20", "0200"}) {
            CAPTURE(static_cast<int>(use));
            CAPTURE(status);
            const RawServer server("HTTP/1.1 " + status
                                           + " X\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody",
                                   Ending::StayOpen);
            Client client;
            const auto outcome = exchangeAfter(use, client, server, 0);
            CHECK_FALSE(outcome.has_value());
            if (!outcome.has_value()) {
                CHECK(outcome.error().stage == HttpFailure::Stage::Incomplete);
                CHECK(outcome.error().message == "the server sent bytes that are no response");
            }
            CHECK(client.exchange("GET", "/whole", 0).has_value());
            CHECK(server.connections() == 2);
        }
    }
}
