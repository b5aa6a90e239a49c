#pragma once

/// A small deployment on loopback addresses for the cases of this review: nodes as separate
/// processes, and stand-ins for the platform's store, the backends and the clients.

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace lab {

/// Milliseconds of the steady clock, which all processes of a machine share.
std::int64_t nowMs();
void sleepMs(std::int64_t duration);

struct Address
{
    std::string ip;
    int port = 0;
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

using Headers = std::vector<std::pair<std::string, std::string>>;
std::string headerOf(const Headers &headers, std::string_view name);

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
};

struct Response
{
    int status = 0; ///< 0: the connection ended without a whole response.
    Headers headers;
    std::string body;
};

/// One TCP connection with HTTP/1.1 messages.
class Connection
{
public:
    explicit Connection(int socket)
        : socket_(socket)
    {}
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Null if the connection could not be opened in time.
    static std::unique_ptr<Connection> open(const Address &address, std::int64_t timeoutMs);

    bool send(std::string_view bytes);
    /// False if the peer has closed the connection or sent no whole request.
    bool readRequest(Request &request);
    Response readResponse(std::int64_t untilMs, const std::string &method = "GET");
    /// Waits; true as soon as the peer has closed.
    bool waitForClose(std::int64_t durationMs);
    [[nodiscard]] int socket() const { return socket_; }

private:
    bool fill(std::int64_t untilMs);

    int socket_;
    std::string input_;
};

std::string format(const Request &request);
std::string format(const Response &response);
/// Sends one request on a new connection.
Response call(const Address &address, const Request &request, std::int64_t timeoutMs);

/// Serves each connection on a thread of its own until the process ends.
void serve(const Address &address, std::function<void(Connection &)> handler);

/// The platform's store, for keyed topics only.
class Store
{
public:
    explicit Store(const Address &address);
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// Writes a record and then answers nobody for a while: waiting reads of it get no answer. A
    /// connection on which an answer was lost returns nothing further, also when the store is back.
    void putThenBeSilent(const std::string &topic, const std::string &key,
                         const std::string &value, std::int64_t durationMs);

private:
    void handle(Connection &connection);
    Response answer(const Request &request);
    [[nodiscard]] bool isSilent() const { return nowMs() < silentUntil_; }

    std::atomic<std::int64_t> silentUntil_{0};

    std::mutex mutex_;
    std::map<std::string, std::vector<std::pair<std::string, std::string>>> topics_;
};

/// What a backend process is told on its command line.
struct BackendOptions
{
    std::string service;
    std::string id;
    Address listen;
    Address control;  ///< Of the node beside it.
    Address outbound; ///< Of the node beside it, for calls of its own.
    std::string runs; ///< Each event of a run is appended to this file.
    int slots = 100;
};

/// A backend as PROTOCOL.md describes it. `run` does the work of one request and sends its answer.
class Backend
{
public:
    using Run = std::function<void(Backend &, const Request &, Connection &)>;
    Backend(BackendOptions options, Run run);
    /// Serves and sends heartbeats until the process is ended.
    [[noreturn]] void serveForever();
    void note(std::string_view event, const Request &request) const;
    /// Sends a whole answer with a signature.
    void answer(const Request &request, Connection &connection, int status,
                const std::string &body) const;
    void succeed(const Request &request, Connection &connection, const std::string &body) const;
    /// Works for a while; false if the caller has closed the connection.
    static bool work(Connection &connection, std::int64_t durationMs);
    [[nodiscard]] const BackendOptions &options() const { return options_; }

private:
    void handle(Connection &connection);
    void sendHeartbeats();

    BackendOptions options_;
    Run run_;
    std::int64_t bornMs_;
    std::atomic<int> running_{0};
};

BackendOptions backendOptions(int argc, char **argv);

/// One machine: the addresses of its node and of its backend.
struct Machine
{
    std::string name;
    std::string service;
    std::string ip;
    pid_t node = -1;
    pid_t backend = -1;
    int starts = 0;
    [[nodiscard]] Address at(int port) const { return {ip, port}; }
    [[nodiscard]] Address outbound() const { return at(8304); }
    [[nodiscard]] Address ready() const { return at(8302); }
    [[nodiscard]] Address control() const { return at(8306); }
    [[nodiscard]] Address app() const { return at(8301); }
};

struct Run
{
    std::int64_t at = 0;
    std::string event;
    std::string id;
    std::string instance;
    std::string target;
    std::string caller;
};

/// All processes of a case. The destructor ends them.
class Deployment
{
public:
    /// `program` is this program itself, which also runs the backends.
    Deployment(std::string program, std::string folder);
    ~Deployment();

    Machine &add(const std::string &name, const std::string &service);
    /// Writes a configuration to the store, which acknowledges it at once.
    void configure(const std::string &json);
    Store &store() { return *store_; }
    void startNode(Machine &machine);
    void startBackend(Machine &machine);
    /// False if some machine is not ready in time.
    bool waitUntilReady(std::int64_t timeoutMs);
    /// Starts backends that have ended again, `downMs` after their end.
    void keepBackendsRunning(std::int64_t downMs);
    [[nodiscard]] std::vector<Run> runs() const;
    std::vector<std::unique_ptr<Machine>> machines;

    /// Appends a line to record.txt, with the time since the start of the case.
    void record(const std::string &line);
    [[nodiscard]] std::int64_t startedAt() const { return startedAt_; }

private:
    std::string program_;
    std::string folder_; ///< Of the case, where record.txt is written.
    std::string scratch_;
    std::string network_;
    std::unique_ptr<Store> store_;
    std::mutex mutex_;
    std::atomic<bool> isEnding_{false};
    std::thread keeper_;
    std::int64_t startedAt_;
};

/// The ways to leave a case.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

bool hasTrouble(); ///< False with TROUBLE=0.

} // namespace lab
