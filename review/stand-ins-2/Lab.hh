// Stand-ins for a small deployment on loopback addresses: the platform's store, back ends, clients
// and the settings of the nodes. A case starts the project's node as separate processes.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace lab {

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

using Headers = std::vector<std::pair<std::string, std::string>>;

inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0.0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void sleepUntil(double time)
{
    sleepFor(time - now());
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

/// What was sent, answered and run, one line each with the seconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(std::fopen(path.c_str(), "w"))
    {}
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%8.3f %s\n", now(), text);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE *file_;
};

inline sockaddr_in addressOf(const std::string &endpoint)
{
    const auto colon = endpoint.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(endpoint.substr(colon + 1))));
    inet_pton(AF_INET, endpoint.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

inline bool sendAll(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

inline bool isSameName(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

/// One end of a connection that speaks HTTP/1.1 with lengths of bodies.
class Stream
{
public:
    explicit Stream(int socket)
        : socket_(socket)
    {}
    ~Stream() { close(); }
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    struct Message
    {
        std::string firstLine;
        Headers headers;
        std::string body;
        [[nodiscard]] std::string header(std::string_view name) const
        {
            for (const auto &[key, value] : headers) {
                if (isSameName(key, name))
                    return value;
            }
            return {};
        }
        [[nodiscard]] int status() const
        {
            return firstLine.size() > 9 ? std::atoi(firstLine.c_str() + 9) : 0;
        }
        [[nodiscard]] std::string method() const
        {
            return firstLine.substr(0, firstLine.find(' '));
        }
        [[nodiscard]] std::string target() const
        {
            const auto from = firstLine.find(' ') + 1;
            return firstLine.substr(from, firstLine.find(' ', from) - from);
        }
    };

    /// Nothing if the connection ends before a whole message, or at the time.
    std::optional<Message> read(double until = 1e9)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until))
                return std::nullopt;
        }
        Message message;
        std::istringstream head(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        std::string line;
        std::getline(head, line);
        message.firstLine = trimmed(line);
        while (std::getline(head, line)) {
            const auto colon = line.find(':');
            if (colon != std::string::npos)
                message.headers.emplace_back(line.substr(0, colon),
                                             trimmed(line.substr(colon + 1)));
        }
        const std::size_t size
                = std::strtoull(message.header("Content-Length").c_str(), nullptr, 10);
        while (buffer_.size() < size) {
            if (!fill(until))
                return std::nullopt;
        }
        message.body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return message;
    }

    bool write(std::string_view bytes) { return socket_ >= 0 && sendAll(socket_, bytes); }

    /// Whether the peer has closed or reset the connection, or sent bytes that nobody waits for.
    [[nodiscard]] bool isOver() const
    {
        pollfd entry{socket_, POLLIN | POLLRDHUP, 0};
        return socket_ < 0 || ::poll(&entry, 1, 0) > 0;
    }

    void close()
    {
        if (socket_ >= 0)
            ::close(std::exchange(socket_, -1));
    }
    /// Ends reads and writes of other threads.
    void shutDown() const { ::shutdown(socket_, SHUT_RDWR); }
    /// Closes with a reset.
    void reset()
    {
        const linger hard{1, 0};
        ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }
    [[nodiscard]] int socket() const { return socket_; }

private:
    static std::string trimmed(std::string text)
    {
        const auto from = text.find_first_not_of(" \t\r");
        if (from == std::string::npos)
            return {};
        return text.substr(from, text.find_last_not_of(" \t\r") - from + 1);
    }

    bool fill(double until)
    {
        while (true) {
            const double left = std::min(until - now(), 100.0);
            if (left <= 0.0)
                return false;
            pollfd entry{socket_, POLLIN, 0};
            if (::poll(&entry, 1, static_cast<int>(left * 1000.0) + 1) > 0)
                break;
        }
        static thread_local std::vector<char> bytes(256 * 1024);
        const ssize_t size = ::recv(socket_, bytes.data(), bytes.size(), 0);
        if (size <= 0)
            return false;
        buffer_.append(bytes.data(), static_cast<std::size_t>(size));
        return true;
    }

    int socket_;
    std::string buffer_;
};

/// A connection, or nothing after a second.
inline std::unique_ptr<Stream> connectTo(const std::string &endpoint)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const sockaddr_in address = addressOf(endpoint);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(socket);
        return nullptr;
    }
    const timeval none{0, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &none, sizeof none);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<Stream>(socket);
}

inline std::string formatResponse(int status, const Headers &headers, std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text.append(body);
}

/// A server with a thread for each connection. The handler writes the answer itself and returns
/// whether the connection stays open.
class Server
{
public:
    using Handler = std::function<bool(Stream &, const Stream::Message &)>;

    Server(const std::string &endpoint, Handler handler)
        : handler_(std::move(handler))
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = addressOf(endpoint);
        isListening_
                = ::bind(listener_, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                          == 0
                  && ::listen(listener_, 512) == 0;
        if (isListening_)
            acceptor_ = std::thread([this] { acceptAll(); });
    }
    ~Server() { stop(); }
    [[nodiscard]] bool isListening() const { return isListening_; }

    /// Ends the listener and all connections, as the end of a process does.
    void stop()
    {
        if (std::exchange(isStopped_, true))
            return;
        ::shutdown(listener_, SHUT_RDWR);
        if (acceptor_.joinable())
            acceptor_.join();
        ::close(listener_);
        {
            const std::lock_guard lock(mutex_);
            for (const auto &stream : streams_)
                stream->shutDown();
        }
        for (std::thread &thread : threads_)
            thread.join();
    }

private:
    void acceptAll()
    {
        while (true) {
            const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard lock(mutex_);
            streams_.push_back(std::make_shared<Stream>(socket));
            threads_.emplace_back([this, stream = streams_.back()] {
                while (const auto message = stream->read()) {
                    if (!handler_(*stream, *message))
                        break;
                }
                stream->shutDown();
            });
        }
    }

    Handler handler_;
    int listener_ = -1;
    bool isListening_ = false;
    bool isStopped_ = false;
    std::thread acceptor_;
    std::mutex mutex_;
    std::vector<std::shared_ptr<Stream>> streams_;
    std::vector<std::thread> threads_;
};

inline std::string base64(std::string_view bytes)
{
    static constexpr std::string_view digits
            = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8
                    | (i + j < bytes.size() ? static_cast<std::uint8_t>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63U] : '=';
    }
    return text;
}

/// The platform's store: topics of one partition whose newest record of each key is kept.
class Store
{
public:
    explicit Store(const std::string &endpoint)
        : server_(endpoint, [this](Stream &stream, const Stream::Message &request) {
            return answer(stream, request);
        })
    {}
    ~Store()
    {
        isEnding_ = true;
        changed_.notify_all();
    }
    [[nodiscard]] bool isListening() const { return server_.isListening(); }

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        topics_[topic].push_back({key, value});
        changed_.notify_all();
    }

private:
    struct Entry
    {
        std::string key;
        std::string value;
    };

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const auto from = target.find(name + "=");
        if (from == std::string::npos)
            return {};
        const auto start = from + name.size() + 1;
        return target.substr(start, target.find('&', start) - start);
    }
    static std::string number(std::uint64_t value, int size)
    {
        std::string bytes;
        for (int i = size - 1; i >= 0; --i)
            bytes.push_back(static_cast<char>(value >> (8 * i)));
        return bytes;
    }

    bool answer(Stream &stream, const Stream::Message &request)
    {
        const std::string target = request.target();
        const std::string topic = parameter(target, "topic");
        const Headers json{{"Content-Type", "application/json"}};
        if (target.find("log-append") != std::string::npos) {
            const auto size
                    = static_cast<std::uint8_t>(request.body.size() > 4 ? request.body[4] : 0);
            put(topic, request.body.substr(5, size), request.body.substr(5 + size));
            return stream.write(formatResponse(200, json, R"({"offset":0,"end":1})"));
        }
        std::unique_lock lock(mutex_);
        std::vector<Entry> &entries = topics_[topic];
        if (target.find("log-newest") != std::string::npos) {
            std::map<std::string, std::size_t> newest;
            for (std::size_t i = 0; i < entries.size(); ++i)
                newest[entries[i].key] = i;
            std::string items;
            for (const auto &[key, offset] : newest)
                items += std::string(items.empty() ? "" : ",") + R"({"key":")" + key
                         + R"(","value":")" + base64(entries[offset].value) + R"(","offset":)"
                         + std::to_string(offset) + "}";
            return stream.write(formatResponse(200, json,
                                               R"({"items":[)" + items
                                                       + R"(],"hasMore":false,"end":)"
                                                       + std::to_string(entries.size()) + "}"));
        }
        const std::uint64_t from = std::strtoull(parameter(target, "from").c_str(), nullptr, 10);
        const int wait = std::atoi(parameter(target, "waitMs").c_str());
        changed_.wait_for(lock, std::chrono::milliseconds(wait),
                          [&] { return isEnding_ || topics_[topic].size() > from; });
        std::string body = number(topics_[topic].size(), 8) + number(0, 8);
        for (std::size_t i = from; i < topics_[topic].size(); ++i) {
            const Entry &entry = topics_[topic][i];
            body += number(1 + entry.key.size() + entry.value.size(), 4)
                    + number(entry.key.size(), 1) + entry.key + entry.value;
        }
        lock.unlock();
        return stream.write(formatResponse(200, {}, body));
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::atomic<bool> isEnding_ = false;
    std::map<std::string, std::vector<Entry>> topics_;
    Server server_;
};

/// A process of the project, in its own process group.
class Process
{
public:
    Process(const std::vector<std::string> &words, const std::string &logPath)
    {
        id_ = ::fork();
        if (id_ != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // No node outlives its case.
        const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        std::vector<char *> arguments;
        for (const std::string &word : words)
            arguments.push_back(const_cast<char *>(word.c_str()));
        arguments.push_back(nullptr);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
    ~Process()
    {
        if (isRunning())
            kill(SIGKILL);
        wait();
    }
    void kill(int signal) const { ::kill(id_, signal); }
    bool isRunning()
    {
        if (id_ > 0 && !hasEnded_ && ::waitpid(id_, &status_, WNOHANG) == id_)
            hasEnded_ = true;
        return id_ > 0 && !hasEnded_;
    }
    void wait()
    {
        if (id_ > 0 && !hasEnded_ && ::waitpid(id_, &status_, 0) == id_)
            hasEnded_ = true;
    }
    [[nodiscard]] int status() const { return status_; }

    /// In bytes, 0 if the process is gone.
    [[nodiscard]] std::size_t memory() const
    {
        std::ifstream file("/proc/" + std::to_string(id_) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.starts_with("VmRSS:"))
                return std::strtoull(line.c_str() + 6, nullptr, 10) * 1024;
        }
        return 0;
    }

private:
    pid_t id_ = -1;
    int status_ = 0;
    bool hasEnded_ = false;
};

/// One machine: its loopback address and ports, its node and the settings of the node.
struct Machine
{
    std::string name;
    std::string ip;
    std::string service;
    [[nodiscard]] std::string outbound() const { return ip + ":8304"; }
    [[nodiscard]] std::string ready() const { return ip + ":8302"; }
    [[nodiscard]] std::string control() const { return ip + ":8306"; }
    [[nodiscard]] std::string links() const { return ip + ":7620"; }
    [[nodiscard]] std::string app() const { return ip + ":8301"; }
};

inline std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/// A temporary folder, a store and machines on addresses of their own.
class Deployment
{
public:
    explicit Deployment(const std::string &root)
        : root_(root)
    {
        std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        folder_ = ::mkdtemp(name.data());
        std::random_device random;
        net_ = "127." + std::to_string(20 + random() % 200) + "."
               + std::to_string(1 + random() % 250) + ".";
        storeEndpoint_ = net_ + "250:8309";
    }
    ~Deployment()
    {
        nodes_.clear();
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(folder_, ignored);
    }

    /// The limits and bounds are those of sites/himkool-ktm.toml.
    Machine addMachine(const std::string &service, int memoryMb = 260)
    {
        Machine machine;
        const int number = ++machines_;
        machine.name = "sidecar-" + std::to_string(number);
        machine.ip = net_ + std::to_string(number);
        machine.service = service;
        const std::map<std::string, std::string> values{
                {"nodeName", machine.name},
                {"zone", "zone-a"},
                {"region", "region-a"},
                {"ip", machine.ip},
                {"portRange.0", "7620"},
                {"listen.outbound", machine.outbound()},
                {"listen.control", machine.control()},
                {"listen.ready", machine.ready()},
                {"platform.address", storeEndpoint_},
                {"service", service},
                {"appAddr", machine.app()},
                {"bounds.retryBudgetRatio", "0.2"},
                {"bounds.budgetExtra", "50"},
                {"bounds.budgetWindowS", "10"},
                {"bounds.graceS", "6"},
                {"limits.maxFds", "4100"},
        };
        std::ofstream(settingsOf(machine))
                << render(readFile(root_ + "/deploy/node.toml.template"), values);
        memoryMb_[machine.name] = memoryMb;
        return machine;
    }

    /// Starts the node of the machine with the command of deploy/system.toml.
    void start(const Machine &machine)
    {
        nodes_[machine.name] = std::make_unique<Process>(
                std::vector<std::string>{root_ + "/target/Services/ChiveRouter/chiverouter", "node",
                                         "--settings=" + settingsOf(machine),
                                         "--memory-mb=" + std::to_string(memoryMb_[machine.name])},
                folder_ + "/" + machine.name + ".log");
    }
    Process &node(const Machine &machine) { return *nodes_.at(machine.name); }
    [[nodiscard]] const std::string &storeEndpoint() const { return storeEndpoint_; }
    [[nodiscard]] const std::string &folder() const { return folder_; }

    /// Whether the node answers 200 before the time.
    static bool awaitReady(const Machine &machine, double until)
    {
        for (; now() < until; sleepFor(0.1)) {
            const auto stream = connectTo(machine.ready());
            if (stream == nullptr
                || !stream->write("GET /chiverouter/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
                continue;
            const auto response = stream->read(now() + 1.0);
            if (response && response->status() == 200)
                return true;
        }
        return false;
    }

private:
    [[nodiscard]] std::string settingsOf(const Machine &machine) const
    {
        return folder_ + "/" + machine.name + ".toml";
    }

    /// Sections are left out: none of their values is set here.
    static std::string render(std::string text, const std::map<std::string, std::string> &values)
    {
        for (auto from = text.find("{{#"); from != std::string::npos; from = text.find("{{#")) {
            const auto end = text.find("{{/", from);
            text.erase(from, text.find("}}", end) + 2 - from);
        }
        for (auto from = text.find("{{"); from != std::string::npos; from = text.find("{{")) {
            const auto end = text.find("}}", from);
            const auto value = values.find(text.substr(from + 2, end - from - 2));
            text.replace(from, end + 2 - from, value == values.end() ? "" : value->second);
        }
        return text;
    }

    std::string root_;
    std::string folder_;
    std::string net_;
    std::string storeEndpoint_;
    int machines_ = 0;
    std::map<std::string, int> memoryMb_;
    std::map<std::string, std::unique_ptr<Process>> nodes_;
};

/// A back end's words about itself, as JSON.
struct Instance
{
    std::string id;
    std::string service;
    std::string address;
    int slots = 200;
    std::uint64_t born = 0;

    [[nodiscard]] std::string heartbeat(const std::string &state, std::uint64_t sequence) const
    {
        std::ostringstream text;
        text << R"({"address":")" << address << R"(","born":)" << born << R"(,"info":{"service":")"
             << service << R"(","version":"v1","zone":"zone-a","slots":)" << slots
             << R"(},"status":{"state":")" << state << R"(","sequence":)" << sequence
             << R"(,"coldLeftS":0}})";
        return text.str();
    }
};

inline std::uint64_t unixMilliseconds()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                              std::chrono::system_clock::now().time_since_epoch())
                                              .count());
}

/// The status of the answer, or 0.
inline int post(const std::string &endpoint, const std::string &path, const std::string &body)
{
    const auto stream = connectTo(endpoint);
    if (stream == nullptr)
        return 0;
    stream->write("POST " + path + " HTTP/1.1\r\nHost: " + endpoint
                  + "\r\nContent-Type: application/json\r\nContent-Length: "
                  + std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto response = stream->read(now() + 1.0);
    return response ? response->status() : 0;
}

inline int sendHeartbeat(const Machine &machine, const Instance &instance, const std::string &state,
                         std::uint64_t sequence)
{
    return post(machine.control(), "/chiverouter/instances/" + instance.id + "/heartbeat",
                instance.heartbeat(state, sequence));
}

inline int deregister(const Machine &machine, const Instance &instance)
{
    return post(machine.control(), "/chiverouter/instances/" + instance.id + "/deregister",
                R"({"born":)" + std::to_string(instance.born) + "}");
}

/// Sends heartbeats every 1.5 s, the `heartbeatS` of the settings, until it ends.
class Heartbeats
{
public:
    Heartbeats(Machine machine, Instance instance)
        : thread_([this, machine = std::move(machine), instance = std::move(instance)] {
            std::uint64_t sequence = 1;
            std::unique_lock lock(mutex_);
            while (!isEnding_) {
                sendHeartbeat(machine, instance, "ready", sequence++);
                changed_.wait_for(lock, std::chrono::milliseconds(1500),
                                  [this] { return isEnding_; });
            }
        })
    {}
    ~Heartbeats()
    {
        {
            const std::lock_guard lock(mutex_);
            isEnding_ = true;
        }
        changed_.notify_all();
        thread_.join();
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool isEnding_ = false;
    std::thread thread_;
};

struct RouteEntry
{
    std::string name;
    std::string prefix;
    std::string service;
    std::string kind;
    double timeout = 5.0;
};

inline const char *const host = "calls.example";

inline std::string configuration(int version, const std::vector<RouteEntry> &routes)
{
    std::ostringstream text;
    text << R"({"version":)" << version << R"(,"services":[)";
    std::string separator;
    std::vector<std::string> named;
    for (const RouteEntry &route : routes) {
        if (std::ranges::find(named, route.service) != named.end())
            continue;
        named.push_back(route.service);
        text << separator << R"({"name":")" << route.service
             << R"(","healthPath":"/health","maxConns":1438,"protocol":"h1","tls":false})";
        separator = ",";
    }
    text << R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,)"
         << R"("idleTimeoutS":15},"baseVersion":0,"virtualHosts":[{"host":")" << host
         << R"(","routePaths":[)";
    separator.clear();
    for (const RouteEntry &route : routes) {
        text << separator << R"({"name":")" << route.name << R"(","pathPrefix":")" << route.prefix
             << R"(","kind":")" << route.kind << R"(","timeoutS":)" << route.timeout
             << R"(,"targetLatencyS":1.5,"priority":0,"service":")" << route.service
             << R"(","maxAttempts":2})";
        separator = ",";
    }
    return text.str() + "]}]}";
}

inline std::string formatRequest(const std::string &method, const std::string &path,
                                 const std::string &id, int deadlineMs, std::size_t bodySize)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host
                       + "\r\nX-Chiverouter-Attempt-Id: " + id
                       + "\r\nX-Chiverouter-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (bodySize > 0 || method == "POST")
        text += "Content-Length: " + std::to_string(bodySize) + "\r\n";
    return text + "\r\n";
}

/// The headers of a back end's answer to a request.
inline Headers stamped(const std::string &requestId)
{
    return {{"X-Chiverouter-Attempt-Id", requestId},
            {"X-Chiverouter-Response-Stamp", "s." + requestId}};
}

} // namespace lab
