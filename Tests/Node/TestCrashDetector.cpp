#include <Harness/NoFreeDescriptor.h>
#include <LibHttp/HttpServer.h>
#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>
#include <Node/CrashDetector.h>

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace chive;

namespace {

const Endpoint target{"127.0.0.1", 19'487};
constexpr std::size_t bodyLimit = 1024;
constexpr std::size_t descriptors = 64;
/// Longer than a probe takes.
constexpr Milliseconds observed{800};

Settings settings()
{
    Settings settings;
    settings.maximumDescriptors = descriptors;
    return settings;
}

/// A node whose target answers, and the crashes that it reports.
struct Node
{
    SystemClock clock;
    Kernel kernel{settings(), clock};
    CrashDetector detector{kernel};
    std::unique_ptr<HttpServer> server;
    std::vector<std::string> suspects;

    Node()
    {
        auto listening = HttpServer::listen(
                kernel.loop(), target, bodyLimit,
                [](const HttpRequest &, const auto &exchange) { exchange->respond({}); });
        REQUIRE(listening.has_value());
        server = std::move(listening.value());
        kernel.bus().subscribe<TargetCrashed>(
                [this](const TargetCrashed &crashed) { suspects = crashed.fingerprints; });
    }

    void loseConnection()
    {
        detector.noteConnectionLost("request", target);
        const Timer end = kernel.loop().after(observed, [this] { kernel.loop().stop(); });
        kernel.loop().run();
    }
};

} // namespace

TEST_CASE("A lost connection is taken for a crash of the target only if the target refuses another")
{
    Node node;

    SUBCASE("the target still answers")
    {
        node.loseConnection();
        CHECK(node.suspects.empty());
    }

    SUBCASE("the target is gone")
    {
        node.server.reset();
        node.loseConnection();
        CHECK(node.suspects == std::vector<std::string>{"request"});
    }

    SUBCASE("the process has no descriptor to ask the target")
    {
        const NoFreeDescriptor shortage;
        node.loseConnection();
        CHECK(node.suspects.empty());
    }

    SUBCASE("the connections of the target have used up their share")
    {
        DescriptorShare &share = node.kernel.descriptors().target;
        std::vector<DescriptorLease> leases;
        while (!share.isFull())
            leases.emplace_back(share);
        node.loseConnection();
        CHECK(node.suspects.empty());
        CHECK(share.refused() == 1);
    }
}
