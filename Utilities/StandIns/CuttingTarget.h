#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibHttp/HttpClient.h>
#include <LibKernel/EventLoop.h>
#include <LibSettings/Settings.h>
#include <StandIns/Executions.h>

#include <cstdint>
#include <list>
#include <memory>
#include <string>

struct bufferevent;
struct evconnlistener;

namespace chive {

/// Stands in for a target that fails within the heads of its responses, on raw sockets. A request
/// whose query names `cut` gets that many bytes of the response, one whose query names `short` gets
/// the head without that many of its last bytes. The query's `by` says what follows: `close`,
/// `reset`, or `silence`, which leaves the connection open. A request whose query names `endless`
/// gets `chunks` of a body, lines of a `head` or bytes that are no `response` until the caller
/// closes. A request whose query names `status` gets a whole response with that text for a status.
/// Other requests are answered. Requests must have no body.
class CuttingTarget
{
public:
    struct Options
    {
        std::string service;
        Endpoint listen;
        Endpoint node; ///< The node's endpoint for calls of its target.
        std::uint32_t slots = 1;
        std::uint32_t connections = 1;
        std::string executionsFile; ///< Empty writes none.
    };

    CuttingTarget(EventLoop &loop, const Clock &clock, Options options);
    ~CuttingTarget();
    CuttingTarget(const CuttingTarget &) = delete;
    CuttingTarget &operator=(const CuttingTarget &) = delete;

    [[nodiscard]] Result<void> start();

private:
    struct Connection;

    void accept(int socket);
    void handleReadable(Connection &connection);
    void answer(Connection &connection, const std::string &request);
    static void sendEndless(Connection &connection);
    void close(const Connection &connection);
    void announce();

    EventLoop &loop_;
    Options options_;
    Executions executions_;
    HttpClient node_;
    std::list<std::unique_ptr<Connection>> connections_;
    evconnlistener *listener_ = nullptr;
    Timer announcer_;
};

} // namespace chive
