#include <LibHttp/HttpClient.h>
#include <LibHttp/ResponseReader.h>
#include <LibKernel/EventLoop.h>
#include <LibKernel/Socket.h>

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace chive;

namespace {

constexpr std::size_t bodyLimit = 1'000;
constexpr Milliseconds patience{5'000};
const Endpoint endpoint{"127.0.0.1", 19'474};
using State = ResponseReader::State;

struct Sample
{
    std::string_view name;
    std::string_view method = "GET";
    std::string_view head; ///< With interim responses before it.
    std::string_view body;
};

constexpr std::array<Sample, 9> samples{{
        {"with a length", "GET", "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 4\r\n\r\n", "body"},
        {"with an empty body", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
        {"in chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         "4\r\nbody\r\n0\r\n\r\n"},
        {"that ends with its connection", "GET", "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n", "body"},
        {"of HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nServer: old\r\n\r\n", "body"},
        {"after interim ones", "POST",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
         "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n",
         "body"},
        {"204", "GET", "HTTP/1.1 204 No Content\r\nX-Id: 7\r\n\r\n", ""},
        {"304", "GET", "HTTP/1.1 304 Not Modified\r\nETag: a\r\n\r\n", ""},
        {"to HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", ""},
}};

enum class Ending : std::uint8_t {
    Close,
    Reset,
    Silence, ///< The connection stays open.
};

constexpr std::string_view cutHead = "HTTP/1.1 200 OK\r\nX-Id: ";
constexpr std::string_view framedRest = "\r\nContent-Length: 4\r\n\r\nbody";
constexpr std::string_view unframedRest = "\r\nServer: old\r\n\r\n";

std::string wholeResponse(std::string_view id)
{
    return std::string(cutHead).append(id).append(framedRest);
}

/// Answers `GET /ID` as a sound server does, and `GET /ID/N` with the first N bytes of a head.
class CuttingServer
{
public:
    struct Faults
    {
        Ending ending = Ending::Close;
        bool sendsOtherResponseFirst = false; ///< A whole response that names another request.
        std::string_view rest = framedRest;   ///< Of the response that is cut.
    };

    CuttingServer(EventLoop &loop, Faults faults)
        : faults_(faults)
    {
        sockaddr_in address = addressOf(endpoint);
        const auto accept = [](evconnlistener *listener, evutil_socket_t socket, sockaddr *, int,
                               void *argument) {
            auto *self = static_cast<CuttingServer *>(argument);
            bufferevent *handle = bufferevent_socket_new(evconnlistener_get_base(listener), socket,
                                                         BEV_OPT_CLOSE_ON_FREE);
            auto &peer = self->peers_.emplace_back(std::make_unique<Peer>(
                    Peer{*self, self->peers_.size(), {handle, bufferevent_free}, {}}));
            const auto onReadable = [](bufferevent *, void *argument) {
                auto *peer = static_cast<Peer *>(argument);
                peer->server.answer(*peer);
            };
            bufferevent_setcb(handle, onReadable, nullptr, nullptr, peer.get());
            bufferevent_enable(handle, EV_READ | EV_WRITE);
        };
        listener_ = evconnlistener_new_bind(loop.base(), accept, this,
                                            LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
                                            reinterpret_cast<sockaddr *>(&address), sizeof address);
        REQUIRE(listener_ != nullptr);
    }
    ~CuttingServer() { evconnlistener_free(listener_); }
    CuttingServer(const CuttingServer &) = delete;
    CuttingServer &operator=(const CuttingServer &) = delete;

    /// The number of the connection on which the request for this target came.
    [[nodiscard]] std::optional<std::size_t> connectionOf(const std::string &target) const
    {
        const auto found = connections_.find(target);
        return found == connections_.end() ? std::nullopt : std::optional(found->second);
    }

private:
    struct Peer
    {
        CuttingServer &server;
        std::size_t number = 0;
        std::unique_ptr<bufferevent, decltype(&bufferevent_free)> handle;
        std::string input;
    };

    void answer(Peer &peer)
    {
        std::array<char, 4'096> bytes{};
        while (const std::size_t size
               = bufferevent_read(peer.handle.get(), bytes.data(), bytes.size()))
            peer.input.append(bytes.data(), size);
        if (!peer.input.ends_with("\r\n\r\n"))
            return;
        const std::string request = std::exchange(peer.input, {});
        const std::size_t start = request.find('/');
        const std::string target = request.substr(start, request.find(' ', start) - start);
        connections_[target] = peer.number;
        const std::size_t separator = target.find('/', 1);
        const std::string id = target.substr(1, separator - 1);
        const int socket = bufferevent_getfd(peer.handle.get());
        if (separator == std::string::npos) {
            sendAll(socket, wholeResponse(id));
            return;
        }
        const std::size_t cut = std::stoul(target.substr(separator + 1));
        const std::string response = std::string(cutHead).append(id).append(faults_.rest);
        // In one piece, as a reset discards what has not left.
        const std::string before = faults_.sendsOtherResponseFirst ? wholeResponse("other") : "";
        sendAll(socket, before + response.substr(0, cut));
        if (faults_.ending == Ending::Silence)
            return;
        if (faults_.ending == Ending::Reset) {
            const linger reset{1, 0};
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        }
        peer.handle.reset();
    }

    static void sendAll(int socket, std::string_view bytes)
    {
        CHECK(send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL)
              == static_cast<ssize_t>(bytes.size()));
    }

    Faults faults_;
    evconnlistener *listener_ = nullptr;
    std::vector<std::unique_ptr<Peer>> peers_;
    std::map<std::string, std::size_t> connections_; ///< By request target.
};

/// One client, whose second request gets a response that is cut. The others are answered.
struct Trial
{
    std::unique_ptr<HttpClient> client;
    std::array<std::string, 3> targets;
    std::array<std::optional<HttpClient::Outcome>, 3> outcomes;
    bool hasEnded = false;
};

void sendNext(Trial &trial, std::size_t step, BodyEnd bodyEnd, Milliseconds timeout)
{
    if (step == trial.targets.size()) {
        trial.hasEnded = true;
        return;
    }
    const std::string &target = trial.targets.at(step);
    if (target.empty()) {
        sendNext(trial, step + 1, bodyEnd, timeout);
        return;
    }
    const std::string id = target.substr(1, target.find('/', 1) - 1);
    const bool isCut = step == 1;
    trial.client->send({"GET", target, {}, nullptr}, isCut ? timeout : patience,
                       [&trial, step, bodyEnd, timeout](HttpClient::Outcome outcome) {
                           trial.outcomes.at(step) = std::move(outcome);
                           sendNext(trial, step + 1, bodyEnd, timeout);
                       },
                       {{"X-Id", id}, bodyEnd});
}

/// Where the response that is cut comes.
enum class Place : std::uint8_t {
    NewConnection,
    ReusedConnection,
    AfterOtherResponse, ///< On a reused connection, after a late response to another request.
};

/// Cuts a response everywhere in its head, with a client of its own for each cut.
void tryEveryCut(Ending ending, Place place, BodyEnd bodyEnd, std::string_view rest)
{
    const Milliseconds timeout = ending == Ending::Silence ? Milliseconds(500) : patience;
    const bool isReused = place != Place::NewConnection;
    EventLoop loop;
    CuttingServer server(loop, {ending, place == Place::AfterOtherResponse, rest});
    std::vector<std::unique_ptr<Trial>> trials;
    const std::string lastOfHead = "\r\n\r\n";
    const std::size_t headSize = cutHead.size() + std::string("id-100").size()
                                 + rest.find(lastOfHead) + lastOfHead.size();
    for (std::size_t cut = 0; cut < headSize; ++cut) {
        Trial &trial = *trials.emplace_back(std::make_unique<Trial>());
        trial.client = std::make_unique<HttpClient>(loop, endpoint, bodyLimit);
        const std::string name = std::to_string(100 + cut);
        if (isReused)
            trial.targets[0] = "/before-" + name;
        trial.targets[1] = "/id-" + name + "/" + std::to_string(cut);
        trial.targets[2] = "/after-" + name;
        sendNext(trial, 0, bodyEnd, timeout);
    }
    const Timer poll = loop.every(Milliseconds(1), [&] {
        if (std::ranges::all_of(trials, [](const auto &trial) { return trial->hasEnded; }))
            loop.stop();
    });
    const Timer limit = loop.after(patience * 2, [&] { loop.stop(); });
    loop.run();

    for (std::size_t cut = 0; cut < trials.size(); ++cut) {
        CAPTURE(cut);
        const Trial &trial = *trials[cut];
        REQUIRE(trial.hasEnded);
        const HttpClient::Outcome &outcome = *trial.outcomes[1];
        REQUIRE_FALSE(outcome.has_value());
        CHECK(outcome.error().stage
              == (cut == 0 ? HttpFailure::Stage::Sent : HttpFailure::Stage::Incomplete));
        if (isReused) {
            REQUIRE(trial.outcomes[0]->has_value());
            CHECK(server.connectionOf(trial.targets[0]) == server.connectionOf(trial.targets[1]));
        }
        REQUIRE(trial.outcomes[2]->has_value());
        CHECK(server.connectionOf(trial.targets[2]) != server.connectionOf(trial.targets[1]));
    }
}

void tryEveryPlace(Ending ending)
{
    for (const Place place :
         {Place::NewConnection, Place::ReusedConnection, Place::AfterOtherResponse}) {
        for (const BodyEnd bodyEnd : {BodyEnd::Framed, BodyEnd::FramedOrClose}) {
            for (const std::string_view rest : {framedRest, unframedRest}) {
                CAPTURE(static_cast<int>(place));
                CAPTURE(static_cast<int>(bodyEnd));
                CAPTURE(rest);
                tryEveryCut(ending, place, bodyEnd, rest);
            }
        }
    }
}

} // namespace

TEST_CASE("No response that is cut in its head counts as complete")
{
    for (const Sample &sample : samples) {
        CAPTURE(sample.name);
        const std::string bytes = std::string(sample.head).append(sample.body);
        for (std::size_t cut = 0; cut < sample.head.size(); ++cut) {
            CAPTURE(cut);
            for (const std::size_t pieceSize : {std::size_t(1), bytes.size()}) {
                CAPTURE(pieceSize);
                ResponseReader reader(sample.method, bodyLimit);
                for (std::size_t i = 0; i < cut; i += pieceSize)
                    reader.feed(std::string_view(bytes).substr(i, std::min(pieceSize, cut - i)));
                CHECK(reader.state() == (cut == 0 ? State::Empty : State::Reading));
                reader.finishAtClose();
                CHECK(reader.state() == (cut == 0 ? State::Empty : State::Malformed));
            }
        }
        // The sample itself is sound.
        ResponseReader reader(sample.method, bodyLimit);
        reader.feed(bytes);
        reader.finishAtClose();
        CHECK(reader.state() == State::Complete);
    }
}

TEST_CASE("A response that is cut in its head fails its request, and its connection is not reused")
{
    SUBCASE("by a close")
    {
        tryEveryPlace(Ending::Close);
    }
    SUBCASE("by a reset")
    {
        tryEveryPlace(Ending::Reset);
    }
    SUBCASE("by silence")
    {
        tryEveryPlace(Ending::Silence);
    }
}
