#pragma once

#include <FaultProxy/ProxyFaults.h>
#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibHttp/HttpMessage.h>
#include <LibKernel/EventLoop.h>
#include <LibSettings/Settings.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>

struct evconnlistener;

namespace chive {

class HttpExchange;
class HttpServer;

/// A TCP proxy in front of one server that delays, stalls, discards and cuts as it is told over
/// `POST /control` on a second endpoint.
class FaultProxy
{
public:
    struct Options
    {
        Endpoint listen;
        Endpoint server;
        Endpoint control;
        std::uint64_t seed = 0;
    };

    FaultProxy(EventLoop &loop, const Clock &clock, Options options);
    ~FaultProxy();

    [[nodiscard]] Result<void> start();

private:
    class Connection;

    void accept(int socket);
    void close(std::uint64_t id);
    void control(const HttpRequest &request, HttpExchange &exchange);

    EventLoop &loop_;
    const Clock &clock_;
    Options options_;
    ProxyFaults faults_;
    std::mt19937_64 random_;
    std::uint64_t nextId_ = 1;
    std::uint64_t cuts_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
    evconnlistener *listener_ = nullptr;
    std::unique_ptr<HttpServer> controlServer_;
};

} // namespace chive
