#include <StandIns/CuttingTarget.h>

#include <LibKernel/Socket.h>
#include <StandIns/Http.h>

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <string_view>
#include <utility>

namespace chive {

namespace {

constexpr std::size_t maximumBodySize = 1024 * 1024;
constexpr Milliseconds announceInterval{1000};
constexpr Milliseconds announceTimeout{2000};
constexpr std::string_view endOfLine = "\r\n";
constexpr std::string_view endOfHead = "\r\n\r\n";
constexpr int okStatus = 200;

/// Assumes that the node writes names as this project does.
std::string headerIn(const std::string &request, std::string_view name)
{
    const std::string start = std::string(endOfLine).append(name).append(": ");
    const std::size_t found = request.find(start);
    if (found == std::string::npos)
        return {};
    const std::size_t value = found + start.size();
    return request.substr(value, request.find(endOfLine, value) - value);
}

/// How many bytes of the response the query of the request asks for.
std::size_t sizeToSend(const std::string &path, const std::string &response)
{
    constexpr std::uint64_t unset = std::numeric_limits<std::uint64_t>::max();
    const std::size_t headSize = response.find(endOfHead) + endOfHead.size();
    const std::uint64_t leftOut = numberInQuery(path, "short", unset);
    if (leftOut <= headSize)
        return headSize - leftOut;
    return std::min<std::uint64_t>(numberInQuery(path, "cut", unset), response.size());
}

/// What an endless response begins with and what it repeats.
struct EndlessResponse
{
    std::string beginning;
    std::string repeated;
};

EndlessResponse endlessResponse(const std::string &path, const std::string &call)
{
    const std::string head = "HTTP/1.1 200 OK\r\nChive-Call: " + call + "\r\n";
    if (path.find("endless=chunks") != std::string::npos) {
        const std::string chunk(16'384, 'x');
        return {head + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + chunk + "\r\n"};
    }
    if (path.find("endless=head") != std::string::npos)
        return {head, "X-More: " + std::string(1'000, 'x') + "\r\n"};
    return {"", "no response "};
}

/// The status that the query of the request asks for, which may be none of HTTP's.
std::string statusFor(const std::string &path)
{
    constexpr std::string_view name = "status=";
    const std::size_t start = path.find(name);
    if (start == std::string::npos)
        return std::to_string(okStatus);
    const std::string rest = path.substr(start + name.size());
    return rest.substr(0, rest.find('&'));
}

std::string wireFormat(const std::string &status, const std::string &call, const std::string &body)
{
    return "HTTP/1.1 " + status + " OK\r\nContent-Type: application/json\r\nChive-Call: " + call
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

struct CuttingTarget::Connection
{
    CuttingTarget &server;
    std::unique_ptr<bufferevent, decltype(&bufferevent_free)> handle;
    std::string input;
    std::string repeated; ///< Sent again and again until the caller closes; empty: nothing is.
};

CuttingTarget::CuttingTarget(EventLoop &loop, const Clock &clock, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , executions_(clock, options_.executionsFile)
    , node_(loop, options_.node, maximumBodySize)
{
    node_.trustServer();
}

CuttingTarget::~CuttingTarget()
{
    if (listener_ != nullptr)
        evconnlistener_free(listener_);
}

Result<void> CuttingTarget::start()
{
    sockaddr_in address = addressOf(options_.listen);
    const auto onAccept
            = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *argument) {
                  static_cast<CuttingTarget *>(argument)->accept(socket);
              };
    listener_ = evconnlistener_new_bind(loop_.base(), onAccept, this,
                                        LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
                                        reinterpret_cast<sockaddr *>(&address), sizeof address);
    if (listener_ == nullptr)
        return Error{Error::Kind::Invalid, "cannot listen on " + format(options_.listen)};
    announcer_ = loop_.every(announceInterval, [this] { announce(); });
    announce();
    return outcome::success();
}

void CuttingTarget::announce()
{
    const nlohmann::json body = {{"service", options_.service},         {"ip", options_.listen.ip},
                                 {"port", options_.listen.port},        {"slots", options_.slots},
                                 {"connections", options_.connections}, {"draining", false}};
    const HttpRequest request{
            "POST", "/announce", {{"Content-Type", "application/json"}}, makeBody(body.dump())};
    node_.send(request, announceTimeout, [](const HttpClient::Outcome &) {});
}

void CuttingTarget::accept(int socket)
{
    bufferevent *handle = bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    connections_.push_back(
            std::make_unique<Connection>(Connection{*this, {handle, bufferevent_free}, {}, {}}));
    const auto onReadable = [](bufferevent *, void *argument) {
        auto *connection = static_cast<Connection *>(argument);
        connection->server.handleReadable(*connection);
    };
    const auto onEvent = [](bufferevent *, short, void *argument) {
        auto *connection = static_cast<Connection *>(argument);
        connection->server.close(*connection);
    };
    const auto onWritten = [](bufferevent *, void *argument) {
        sendEndless(*static_cast<Connection *>(argument));
    };
    bufferevent_setcb(handle, onReadable, onWritten, onEvent, connections_.back().get());
    bufferevent_enable(handle, EV_READ | EV_WRITE);
}

void CuttingTarget::handleReadable(Connection &connection)
{
    std::array<char, 4'096> bytes{};
    while (const std::size_t size
           = bufferevent_read(connection.handle.get(), bytes.data(), bytes.size()))
        connection.input.append(bytes.data(), size);
    if (connection.input.ends_with(endOfHead))
        answer(connection, std::exchange(connection.input, {}));
}

void CuttingTarget::answer(Connection &connection, const std::string &request)
{
    const std::size_t start = request.find(' ') + 1;
    RunRecord record;
    record.requestId = headerIn(request, "Chive-Request-Id");
    record.call = headerIn(request, "Chive-Call");
    record.method = request.substr(0, start - 1);
    record.path = request.substr(start, request.find(' ', start) - start);
    const std::string path = record.path;
    const nlohmann::json body = {{"service", options_.service}, {"path", path}};
    const std::string response = wireFormat(statusFor(path), record.call, body.dump());
    // The crash detector's checks are no runs.
    if (path != "/health")
        executions_.finish(executions_.begin(std::move(record)), RunEnd::Answered, okStatus);

    if (path.find("endless=") != std::string::npos) {
        EndlessResponse endless = endlessResponse(path, headerIn(request, "Chive-Call"));
        connection.repeated = std::move(endless.repeated);
        bufferevent_write(connection.handle.get(), endless.beginning.data(),
                          endless.beginning.size());
        sendEndless(connection);
        return;
    }
    const int socket = bufferevent_getfd(connection.handle.get());
    const std::size_t sentSize = sizeToSend(path, response);
    [[maybe_unused]] const ssize_t size = send(socket, response.data(), sentSize, MSG_NOSIGNAL);
    if (sentSize == response.size() || path.find("by=silence") != std::string::npos)
        return;
    if (path.find("by=reset") != std::string::npos) {
        const linger reset{1, 0};
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    close(connection);
}

void CuttingTarget::sendEndless(Connection &connection)
{
    if (connection.repeated.empty())
        return;
    constexpr std::size_t leastWritten = 65'536;
    std::string bytes;
    while (bytes.size() < leastWritten)
        bytes += connection.repeated;
    bufferevent_write(connection.handle.get(), bytes.data(), bytes.size());
}

void CuttingTarget::close(const Connection &connection)
{
    std::erase_if(connections_, [&](const auto &open) { return open.get() == &connection; });
}

} // namespace chive
