#include "Lab.hh"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {

namespace {

constexpr std::int64_t heartbeatMs = 1'500;

std::int64_t unixMs()
{
    timespec time{};
    clock_gettime(CLOCK_REALTIME, &time);
    return time.tv_sec * 1000 + time.tv_nsec / 1'000'000;
}

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

bool readHead(std::string_view head, std::string &first, Headers &headers)
{
    std::istringstream lines{std::string(head)};
    std::string line;
    if (!std::getline(lines, first))
        return false;
    if (!first.empty() && first.back() == '\r')
        first.pop_back();
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto start = line.find_first_not_of(" \t", colon + 1);
        headers.emplace_back(line.substr(0, colon),
                             start == std::string::npos ? "" : line.substr(start));
    }
    return true;
}

std::string queryOf(const std::string &target, const std::string &name)
{
    auto start = target.find('?');
    while (start != std::string::npos) {
        ++start;
        const auto end = target.find('&', start);
        const std::string part = target.substr(start, end == std::string::npos ? end : end - start);
        if (part.starts_with(name + "="))
            return part.substr(name.size() + 1);
        start = end;
    }
    return {};
}

std::string base64(std::string_view bytes)
{
    static constexpr char digits[]
            = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8
                    | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

void appendNumber(std::string &bytes, std::uint64_t value, int size)
{
    for (int i = size - 1; i >= 0; --i)
        bytes.push_back(static_cast<char>(value >> (8 * i)));
}

std::uint64_t number(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char c : bytes)
        value = value << 8 | static_cast<unsigned char>(c);
    return value;
}

} // namespace

std::int64_t nowMs()
{
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return time.tv_sec * 1000 + time.tv_nsec / 1'000'000;
}

void sleepMs(std::int64_t duration)
{
    if (duration > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

std::string headerOf(const Headers &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (lower(key) == lower(std::string(name)))
            return value;
    }
    return {};
}

Connection::~Connection()
{
    ::close(socket_);
}

std::unique_ptr<Connection> Connection::open(const Address &address, std::int64_t timeoutMs)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return nullptr;
    const int flags = fcntl(socket, F_GETFL);
    fcntl(socket, F_SETFL, flags | O_NONBLOCK);
    const sockaddr_in to = socketAddress(address);
    auto connection = std::make_unique<Connection>(socket);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        pollfd wait{socket, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || poll(&wait, 1, static_cast<int>(timeoutMs)) != 1)
            return nullptr;
        getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0)
            return nullptr;
    }
    fcntl(socket, F_SETFL, flags);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return connection;
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool Connection::fill(std::int64_t untilMs)
{
    pollfd wait{socket_, POLLIN, 0};
    const std::int64_t left = untilMs < 0 ? -1 : std::max<std::int64_t>(untilMs - nowMs(), 0);
    if (poll(&wait, 1, static_cast<int>(left)) != 1)
        return false;
    std::array<char, 65'536> bytes{};
    const ssize_t size = recv(socket_, bytes.data(), bytes.size(), 0);
    if (size <= 0)
        return false;
    input_.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
}

bool Connection::readRequest(Request &request)
{
    request = {};
    std::size_t end = 0;
    while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(-1))
            return false;
    }
    std::string first;
    readHead(std::string_view(input_).substr(0, end), first, request.headers);
    std::istringstream words(first);
    words >> request.method >> request.target;
    input_.erase(0, end + 4);
    const std::size_t length
            = std::strtoul(headerOf(request.headers, "Content-Length").c_str(), nullptr, 10);
    while (input_.size() < length) {
        if (!fill(-1))
            return false;
    }
    request.body = input_.substr(0, length);
    input_.erase(0, length);
    return true;
}

Response Connection::readResponse(std::int64_t untilMs, const std::string &method)
{
    Response response;
    std::size_t end = 0;
    while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(untilMs))
            return {};
    }
    std::string first;
    readHead(std::string_view(input_).substr(0, end), first, response.headers);
    input_.erase(0, end + 4);
    const std::size_t length
            = method == "HEAD"
                      ? 0
                      : std::strtoul(headerOf(response.headers, "Content-Length").c_str(), nullptr,
                                     10);
    while (input_.size() < length) {
        if (!fill(untilMs))
            return {};
    }
    response.body = input_.substr(0, length);
    input_.erase(0, length);
    response.status = std::atoi(first.substr(first.find(' ') + 1).c_str());
    return response;
}

bool Connection::waitForClose(std::int64_t durationMs)
{
    const std::int64_t until = nowMs() + durationMs;
    for (std::int64_t left = durationMs; left > 0; left = until - nowMs()) {
        pollfd wait{socket_, POLLRDHUP, 0};
        if (poll(&wait, 1, static_cast<int>(left)) == 1)
            return true;
    }
    return false;
}

std::string format(const Request &request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers)
        text += name + ": " + value + "\r\n";
    if (!request.body.empty() || request.method == "POST")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

std::string format(const Response &response)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " Status\r\n";
    for (const auto &[name, value] : response.headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
    return text + response.body;
}

Response call(const Address &address, const Request &request, std::int64_t timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    const auto connection = Connection::open(address, std::min<std::int64_t>(timeoutMs, 1'000));
    if (connection == nullptr || !connection->send(format(request)))
        return {};
    return connection->readResponse(until, request.method);
}

void serve(const Address &address, std::function<void(Connection &)> handler)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = socketAddress(address);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0
        || listen(listener, 512) != 0) {
        std::cerr << "cannot listen on " << address.text() << "\n";
        std::_Exit(notRun);
    }
    std::thread([listener, handler = std::move(handler)] {
        for (;;) {
            const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                continue;
            const int on = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([socket, &handler] {
                Connection connection(socket);
                handler(connection);
            }).detach();
        }
    }).detach();
}

Store::Store(const Address &address)
{
    serve(address, [this](Connection &connection) { handle(connection); });
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::scoped_lock lock(mutex_);
    topics_[topic].emplace_back(key, value);
}

void Store::handle(Connection &connection)
{
    Request request;
    while (connection.readRequest(request)) {
        const std::int64_t until
                = nowMs() + std::strtol(queryOf(request.target, "waitMs").c_str(), nullptr, 10);
        Response response = answer(request);
        while (response.status == 0 && nowMs() < until) {
            if (connection.waitForClose(10))
                return;
            response = answer(request);
        }
        if (response.status == 0) {
            const std::scoped_lock lock(mutex_);
            response.status = 200;
            appendNumber(response.body, topics_[queryOf(request.target, "topic")].size(), 8);
            appendNumber(response.body, 0, 8);
        }
        if (isSilent()) {
            while (!connection.waitForClose(60'000))
                continue;
            return;
        }
        if (!connection.send(format(response)))
            return;
    }
}

void Store::putThenBeSilent(const std::string &topic, const std::string &key,
                            const std::string &value, std::int64_t durationMs)
{
    // Reads look at the records under this lock, so none is answered in between.
    const std::scoped_lock lock(mutex_);
    topics_[topic].emplace_back(key, value);
    silentUntil_ = nowMs() + durationMs;
}

/// A status of 0 if a read has to wait.
Response Store::answer(const Request &request)
{
    const std::scoped_lock lock(mutex_);
    Response response;
    response.status = 200;
    auto &records = topics_[queryOf(request.target, "topic")];
    if (request.target.starts_with("/chiverouter/log-append")) {
        const std::size_t first = records.size();
        std::string_view bytes = request.body;
        while (bytes.size() >= 5) {
            const std::size_t size = number(bytes.substr(0, 4));
            const std::size_t keySize = number(bytes.substr(4, 1));
            records.emplace_back(std::string(bytes.substr(5, keySize)),
                                 std::string(bytes.substr(5 + keySize, size - 1 - keySize)));
            bytes.remove_prefix(4 + size);
        }
        response.body = R"({"offset":)" + std::to_string(first) + R"(,"end":)"
                        + std::to_string(records.size()) + "}";
    } else if (request.target.starts_with("/chiverouter/log-newest")) {
        std::map<std::string, std::size_t> newest;
        for (std::size_t i = 0; i < records.size(); ++i)
            newest[records[i].first] = i;
        std::string items;
        for (const auto &[key, offset] : newest) {
            items += items.empty() ? "" : ",";
            items += R"({"key":")" + key + R"(","value":")" + base64(records[offset].second)
                     + R"(","offset":)" + std::to_string(offset) + "}";
        }
        response.body = R"({"items":[)" + items + R"(],"hasMore":false,"end":)"
                        + std::to_string(records.size()) + "}";
    } else if (request.target.starts_with("/chiverouter/log-read")) {
        const std::size_t from
                = std::strtoul(queryOf(request.target, "from").c_str(), nullptr, 10);
        if (from >= records.size())
            return {};
        appendNumber(response.body, records.size(), 8);
        appendNumber(response.body, 0, 8);
        for (std::size_t i = from; i < records.size(); ++i) {
            const auto &[key, value] = records[i];
            appendNumber(response.body, 1 + key.size() + value.size(), 4);
            appendNumber(response.body, key.size(), 1);
            response.body += key + value;
        }
    } else {
        response.status = 404;
    }
    return response;
}

Backend::Backend(BackendOptions options, Run run)
    : options_(std::move(options))
    , run_(std::move(run))
    , bornMs_(unixMs())
{}

void Backend::note(std::string_view event, const Request &request) const
{
    std::string line = std::to_string(nowMs()) + " " + std::string(event) + " "
                       + headerOf(request.headers, "X-Chiverouter-Attempt-Id") + " " + options_.id
                       + " " + request.target + " "
                       + headerOf(request.headers, "X-Chiverouter-Caller-Service") + "\n";
    const int file = ::open(options_.runs.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    [[maybe_unused]] const ssize_t written = write(file, line.data(), line.size());
    ::close(file);
}

void Backend::succeed(const Request &request, Connection &connection, const std::string &body) const
{
    answer(request, connection, 200, body);
}

void Backend::answer(const Request &request, Connection &connection, int status,
                     const std::string &body) const
{
    const std::string id = headerOf(request.headers, "X-Chiverouter-Attempt-Id");
    connection.send(format(Response{status,
                                    {{"X-Chiverouter-Attempt-Id", id},
                                     {"X-Chiverouter-Response-Stamp", options_.id + "." + id}},
                                    body}));
}

bool Backend::work(Connection &connection, std::int64_t durationMs)
{
    return !connection.waitForClose(durationMs);
}

void Backend::handle(Connection &connection)
{
    Request request;
    while (connection.readRequest(request)) {
        const std::string id = headerOf(request.headers, "X-Chiverouter-Attempt-Id");
        const std::string expected = headerOf(request.headers, "X-Chiverouter-Expect-Instance");
        if (request.target == "/health") {
            connection.send(format(Response{200, {{"X-Chiverouter-Instance-Id", options_.id}}, ""}));
            continue;
        }
        Headers echo{{"X-Chiverouter-Attempt-Id", id}};
        if (id.empty() || (!expected.empty() && expected != options_.id)) {
            echo.emplace_back("X-Chiverouter-Not-Executed", "1");
            echo.emplace_back("X-Chiverouter-Instance-Id", options_.id);
            connection.send(format(Response{id.empty() ? 400 : 421, echo, ""}));
            continue;
        }
        if (++running_ > options_.slots) {
            --running_;
            echo.emplace_back("X-Chiverouter-Not-Executed", "1");
            connection.send(format(Response{503, echo, ""}));
            continue;
        }
        note("begin", request);
        run_(*this, request, connection);
        --running_;
    }
}

void Backend::sendHeartbeats()
{
    for (int sequence = 1;; ++sequence) {
        const std::string body = R"({"address":")" + options_.listen.text() + R"(","born":)"
                                 + std::to_string(bornMs_) + R"(,"info":{"service":")"
                                 + options_.service + R"(","version":"v1","zone":"z","slots":)"
                                 + std::to_string(options_.slots)
                                 + R"(},"status":{"state":"ready","sequence":)"
                                 + std::to_string(sequence) + R"(,"coldLeftS":0}})";
        const Response answer = call(options_.control,
                                     {"POST",
                                      "/chiverouter/instances/" + options_.id + "/heartbeat",
                                      {{"Host", options_.control.text()},
                                       {"Content-Type", "application/json"}},
                                      body},
                                     1'000);
        sleepMs(answer.status == 200 ? heartbeatMs : heartbeatMs / 3);
    }
}

void Backend::serveForever()
{
    serve(options_.listen, [this](Connection &connection) { handle(connection); });
    sendHeartbeats();
    std::abort();
}

BackendOptions backendOptions(int argc, char **argv)
{
    BackendOptions options;
    if (argc < 9)
        std::_Exit(notRun);
    const auto address = [](const std::string &text) {
        const auto colon = text.find(':');
        return Address{text.substr(0, colon), std::atoi(text.substr(colon + 1).c_str())};
    };
    options.service = argv[2];
    options.id = argv[3];
    options.listen = address(argv[4]);
    options.control = address(argv[5]);
    options.outbound = address(argv[6]);
    options.runs = argv[7];
    options.slots = std::atoi(argv[8]);
    return options;
}

Deployment::Deployment(std::string program, std::string folder)
    : program_(std::move(program))
    , folder_(std::move(folder))
    , startedAt_(nowMs())
{
    std::signal(SIGPIPE, SIG_IGN);
    std::string scratch = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    scratch_ = mkdtemp(scratch.data());
    const int number = getpid();
    network_ = "127." + std::to_string(50 + number % 150) + "." + std::to_string(number / 150 % 250)
               + ".";
    std::ofstream(folder_ + "/record.txt", std::ios::trunc);
    store_ = std::make_unique<Store>(Address{network_ + "250", 8309});
}

Deployment::~Deployment()
{
    isEnding_ = true;
    if (keeper_.joinable())
        keeper_.join();
    for (const auto &machine : machines) {
        for (const pid_t process : {machine->node, machine->backend}) {
            if (process > 0) {
                kill(process, SIGCONT);
                kill(process, SIGKILL);
                waitpid(process, nullptr, 0);
            }
        }
    }
    if (std::getenv("KEEP") == nullptr) {
        for (const auto &machine : machines) {
            unlink((scratch_ + "/" + machine->name + ".toml").c_str());
            unlink((scratch_ + "/" + machine->name + ".log").c_str());
        }
        unlink((scratch_ + "/runs").c_str());
        rmdir(scratch_.c_str());
    } else {
        std::cerr << "kept " << scratch_ << "\n";
    }
}

Machine &Deployment::add(const std::string &name, const std::string &service)
{
    auto machine = std::make_unique<Machine>();
    machine->name = name;
    machine->service = service;
    machine->ip = network_ + std::to_string(machines.size() + 1);
    machines.push_back(std::move(machine));
    return *machines.back();
}

void Deployment::configure(const std::string &json)
{
    store_->put("keyed.op", "config", json);
}

void Deployment::startNode(Machine &machine)
{
    // The template of the deploy file, filled in as DEPLOY.md says.
    std::ifstream file("deploy/node.toml.template");
    std::stringstream text;
    text << file.rdbuf();
    std::string settings = text.str();
    const std::map<std::string, std::string> values{
            {"nodeName", machine.name},
            {"zone", "z"},
            {"region", "r"},
            {"listen.outbound", machine.outbound().text()},
            {"listen.control", machine.control().text()},
            {"listen.ready", machine.ready().text()},
            {"ip", machine.ip},
            {"portRange.0", "7620"},
            {"platform.address", network_ + "250:8309"},
            {"service", machine.service},
            {"appAddr", machine.app().text()},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.budgetExtra", "50"},
            {"bounds.budgetWindowS", "10"},
            {"bounds.graceS", "6"},
            {"limits.maxFds", "4100"},
    };
    for (const auto &[name, value] : values) {
        const std::string placeholder = "{{" + name + "}}";
        for (auto at = settings.find(placeholder); at != std::string::npos;
             at = settings.find(placeholder))
            settings.replace(at, placeholder.size(), value);
    }
    const std::string path = scratch_ + "/" + machine.name + ".toml";
    std::ofstream(path) << settings;
    const std::string log = scratch_ + "/" + machine.name + ".log";
    const std::string argument = "--settings=" + path;
    const pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, 1);
        dup2(output, 2);
        std::signal(SIGPIPE, SIG_DFL);
        execl("target/Services/ChiveRouter/chiverouter", "chiverouter", "node", argument.c_str(),
              nullptr);
        std::_Exit(127);
    }
    machine.node = child;
    record("start of node " + machine.name + " (" + machine.service + ")");
}

void Deployment::startBackend(Machine &machine)
{
    const std::string id = "i-" + machine.name + "-" + std::to_string(++machine.starts);
    const std::string runs = scratch_ + "/runs";
    const pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        execl(program_.c_str(), program_.c_str(), "backend", machine.service.c_str(), id.c_str(),
              machine.app().text().c_str(), machine.control().text().c_str(),
              machine.outbound().text().c_str(), runs.c_str(), "100", nullptr);
        std::_Exit(127);
    }
    {
        const std::scoped_lock lock(mutex_);
        machine.backend = child;
    }
    record("start of backend " + id + " (" + machine.service + ")");
}

bool Deployment::waitUntilReady(std::int64_t timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    for (const auto &machine : machines) {
        while (call(machine->ready(),
                    {"GET", "/chiverouter/ready", {{"Host", machine->ready().text()}}, ""}, 500)
                       .status
               != 200) {
            if (nowMs() > until) {
                record("node " + machine->name + " is not ready");
                return false;
            }
            sleepMs(50);
        }
    }
    // All backends are known everywhere.
    sleepMs(3'000);
    record("all nodes are ready");
    return true;
}

void Deployment::keepBackendsRunning(std::int64_t downMs)
{
    keeper_ = std::thread([this, downMs] {
        std::map<Machine *, std::int64_t> down;
        while (!isEnding_) {
            for (const auto &machine : machines) {
                if (machine->backend > 0 && waitpid(machine->backend, nullptr, WNOHANG) > 0) {
                    machine->backend = -1;
                    down[machine.get()] = nowMs();
                    record("backend i-" + machine->name + "-" + std::to_string(machine->starts)
                           + " has crashed");
                }
                const auto found = down.find(machine.get());
                if (found != down.end() && nowMs() - found->second >= downMs) {
                    down.erase(found);
                    startBackend(*machine);
                }
            }
            sleepMs(20);
        }
    });
}

std::vector<Run> Deployment::runs() const
{
    std::vector<Run> all;
    std::ifstream file(scratch_ + "/runs");
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        Run run;
        words >> run.at >> run.event >> run.id >> run.instance >> run.target >> run.caller;
        run.at -= startedAt_;
        all.push_back(run);
    }
    return all;
}

void Deployment::record(const std::string &line)
{
    const std::scoped_lock lock(mutex_);
    std::ofstream file(folder_ + "/record.txt", std::ios::app);
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f s  ",
                  static_cast<double>(nowMs() - startedAt_) / 1000.0);
    file << time.data() << line << "\n";
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

} // namespace lab
