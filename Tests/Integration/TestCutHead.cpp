#include <Harness/Mesh.h>
#include <Integration/ReleaseNotes.h>
#include <LibCore/Identifier.h>
#include <LibKernel/Socket.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <string>
#include <string_view>
#include <vector>

using namespace chive;

namespace {

/// In the version, the status and the end of the status line, in a name and in a value; in the
/// length, and in the end of the head.
constexpr std::array<std::string_view, 8> cuts{"cut=1",  "cut=10",  "cut=16",  "cut=20",
                                               "cut=40", "short=5", "short=2", "short=1"};
constexpr int leastFailure = 500;

/// What a caller's connection got, up to its close.
struct RawResponse
{
    std::string bytes;

    [[nodiscard]] std::string_view head() const
    {
        const std::string_view all = bytes;
        const std::size_t end = all.find("\r\n\r\n");
        return end == std::string_view::npos ? std::string_view() : all.substr(0, end + 4);
    }
    [[nodiscard]] std::string_view body() const
    {
        return std::string_view(bytes).substr(head().size());
    }
    [[nodiscard]] std::string_view header(const std::string &name) const
    {
        const std::string start = "\r\n" + name + ": ";
        const std::size_t found = head().find(start);
        if (found == std::string_view::npos)
            return {};
        const std::string_view rest = head().substr(found + start.size());
        return rest.substr(0, rest.find("\r\n"));
    }
    [[nodiscard]] int status() const
    {
        constexpr std::string_view version = "HTTP/1.1 ";
        int value = 0;
        if (bytes.starts_with(version))
            std::from_chars(bytes.data() + version.size(), bytes.data() + bytes.size(), value);
        return value;
    }
    /// One response and no byte more or less than its length says.
    [[nodiscard]] bool isFramedWhole() const
    {
        return !head().empty() && header("Content-Length") == std::to_string(body().size());
    }
};

RawResponse callRaw(const Endpoint &server, const std::string &method, const std::string &path,
                    const std::string &moreHeaders = "")
{
    constexpr timeval patience{20, 0};
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    const sockaddr_in address = addressOf(server);
    REQUIRE(connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
    std::string request = method + " " + path + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n";
    if (method == "POST")
        request += "Content-Length: 0\r\n";
    request += moreHeaders + "\r\n";
    REQUIRE(send(socket, request.data(), request.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(request.size()));
    RawResponse response;
    std::array<char, 4'096> bytes{};
    ssize_t size = 0;
    while ((size = recv(socket, bytes.data(), bytes.size(), 0)) > 0)
        response.bytes.append(bytes.data(), static_cast<std::size_t>(size));
    CHECK(size == 0); // Closed in order.
    close(socket);
    return response;
}

/// A node beside a target that cuts its responses.
struct CuttingMember
{
    RunningMember &member;
    Process target;
};

CuttingMember addCutting(Mesh &mesh, const std::string &name, const std::string &service)
{
    MemberSpec spec;
    spec.name = name;
    spec.hasTarget = false;
    RunningMember &member = mesh.add(spec);
    member.executionFiles.push_back(mesh.workspace().pathOf(name + ".jsonl"));
    Process target(CHIVE_STAND_IN_PROGRAM,
                   {"cutting-target", "--service=" + service, "--listen=" + format(member.target),
                    "--node=" + format(member.targetCalls), "--slots=8",
                    "--executions=" + member.executionFiles.back()},
                   mesh.workspace().pathOf(name + "-target.log"));
    return {member, std::move(target)};
}

RunningMember &addEntry(Mesh &mesh)
{
    MemberSpec spec;
    spec.name = "entry";
    spec.hasTarget = false;
    return mesh.add(spec);
}

int runsOf(const Mesh &mesh, const std::string &path)
{
    int runs = 0;
    for (const RunRecord &record : mesh.executions())
        runs += record.path == path ? 1 : 0;
    return runs;
}

/// The only target of the service cuts its responses.
void checkEveryCut(const Mesh &mesh, const Endpoint &server)
{
    for (const std::string method : {"GET", "POST"}) {
        for (const std::string by : {"close", "reset", "silence"}) {
            for (const std::string_view cut : cuts) {
                const bool isSilent = by == "silence";
                const std::string path = (method == "GET" ? "/read/x" : "/write/x")
                                         + std::string("?").append(cut) + "&by=" + by;
                const RawResponse response = callRaw(server, method, "/vault" + path,
                                                     isSilent ? "Chive-Deadline-Ms: 500\r\n" : "");
                CAPTURE(method);
                CAPTURE(path);
                CAPTURE(response.bytes);
                CHECK(response.status() >= leastFailure);
                CHECK(response.isFramedWhole());
                CHECK(response.header("Chive-Execution") == "may-have-run");
                CHECK(response.header("Chive-Reason")
                      == (isSilent ? "deadline-exceeded" : "incomplete-answer"));
                CHECK(runsOf(mesh, path) == 1);
            }
        }
    }
}

} // namespace

TEST_CASE("A target's response that is cut in its head is no answer on the caller's connection")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", {"vault"}));
    RunningMember &entry = addEntry(mesh);
    const CuttingMember vault = addCutting(mesh, "vault", "vault");
    REQUIRE(mesh.waitUntilAnswered(vault.member, "/vault/read/ready"));
    REQUIRE(mesh.waitUntilAnswered(entry, "/vault/read/ready"));

    SUBCASE("at the node beside the target")
    {
        checkEveryCut(mesh, vault.member.callers);
    }
    SUBCASE("over a link from another node")
    {
        checkEveryCut(mesh, entry.callers);
    }
}

TEST_CASE("A response without a status from 100 to 599 is no answer on the caller's connection")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", {"vault"}));
    RunningMember &entry = addEntry(mesh);
    const CuttingMember vault = addCutting(mesh, "vault", "vault");
    REQUIRE(mesh.waitUntilAnswered(vault.member, "/vault/read/ready"));
    REQUIRE(mesh.waitUntilAnswered(entry, "/vault/read/ready"));

    const auto check = [&](const Endpoint &server) {
        for (const std::string status : {"000", "099", "1000", "abc", "600", "0200"}) {
            // The second request follows an answer, so that its connection to the target is kept.
            for (const std::string use : {"first", "second"}) {
                const std::string path = "/write/" + use + "?status=" + status;
                const RawResponse response = callRaw(server, "POST", "/vault" + path);
                CAPTURE(path);
                CAPTURE(response.bytes);
                CHECK(response.status() == 502);
                CHECK(response.isFramedWhole());
                CHECK(response.header("Chive-Execution") == "may-have-run");
                CHECK(runsOf(mesh, path) == 1);
                CHECK(mesh.waitUntilAnswered(vault.member, "/vault/read/ready"));
            }
        }
    };
    SUBCASE("at the node beside the target")
    {
        check(vault.member.callers);
    }
    SUBCASE("over a link from another node")
    {
        check(entry.callers);
    }
}

TEST_CASE("After a response that was cut in its head, another target answers idempotent requests "
          "only")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", {"vault"}));
    RunningMember &entry = addEntry(mesh);
    const CuttingMember cutting = addCutting(mesh, "cutting", "vault");
    MemberSpec spec;
    spec.name = "sound";
    spec.service = "vault";
    RunningMember &sound = mesh.add(spec);
    for (const RunningMember *member : {&cutting.member, &sound}) {
        REQUIRE(mesh.caller().waitUntil([&] {
            mesh.caller().get(entry.callers, "/vault/read/ready");
            return !Mesh::executions(*member).empty();
        }));
    }

    int readsAnsweredElsewhere = 0;
    int writesCut = 0;
    std::size_t next = 0;
    const auto send = [&](bool isRead) {
        const std::size_t number = next++;
        const std::string path = (isRead ? "/read/" : "/write/") + std::to_string(number)
                                 + std::string("?").append(cuts.at(number % cuts.size()))
                                 + (number / cuts.size() % 2 == 0 ? "&by=close" : "&by=reset");
        const RawResponse response
                = callRaw(entry.callers, isRead ? "GET" : "POST", "/vault" + path);
        const int runs = runsOf(mesh, path);
        CAPTURE(path);
        CAPTURE(response.bytes);
        CHECK(response.isFramedWhole());
        if (response.status() == 200) {
            CHECK(response.header("Answer-Digest") == digest(response.body()));
            CHECK((runs == 1 || (isRead && runs == 2)));
            readsAnsweredElsewhere += runs == 2 ? 1 : 0;
        } else {
            CHECK(response.status() >= leastFailure);
            CHECK(response.header("Chive-Execution") == "may-have-run");
            CHECK(runs == 1);
            writesCut += isRead ? 0 : 1;
        }
    };
    // Nodes avoid a target for a while after it failed.
    constexpr int enough = 4;
    CHECK(mesh.caller().waitUntil([&] {
        send(writesCut >= enough);
        return readsAnsweredElsewhere >= enough && writesCut >= enough;
    }));
}

TEST_CASE("A response that is cut in its head is no answer to a target's own call")
{
    Mesh mesh;
    mesh.startLog();
    mesh.publish("first", "", releaseNote("first", {"vault", "front"}));
    const CuttingMember vault = addCutting(mesh, "vault", "vault");
    MemberSpec spec;
    spec.name = "front";
    spec.service = "front";
    for (const std::string by : {"close", "reset"}) {
        for (const std::string_view cut : cuts)
            spec.calls.push_back(std::string("vault/read/x?").append(cut) + "&by=" + by);
    }
    spec.calls.emplace_back("vault/read/whole");
    RunningMember &front = mesh.add(spec);
    REQUIRE(mesh.waitUntilAnswered(vault.member, "/vault/read/ready"));
    REQUIRE(mesh.waitUntilAnswered(front, "/vault/read/ready"));
    REQUIRE(mesh.caller().waitUntil(
            [&] { return mesh.caller().get(front.callers, "/front/read/ready").isAnswer(); }));

    const RawResponse response = callRaw(front.callers, "GET", "/front/read/all");
    CAPTURE(response.bytes);
    REQUIRE(response.isFramedWhole());
    const auto calls = nlohmann::json::parse(response.body(), nullptr, false)
                               .value("calls", nlohmann::json());
    REQUIRE(calls.size() == spec.calls.size());
    for (std::size_t i = 0; i + 1 < calls.size(); ++i) {
        CAPTURE(calls[i].dump());
        CHECK(calls[i].value("status", 0) >= leastFailure);
    }
    CHECK(calls.back().value("status", 0) == 200);
}
