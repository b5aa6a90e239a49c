#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>
#include <LibPolicy/MeshReport.h>
#include <LibPolicy/RootAdmission.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

using namespace chive;

namespace {

constexpr Milliseconds step{20};
constexpr Milliseconds observed{2'500};
/// Slot seconds of one request: twice the slots of the only target are wanted.
constexpr double work = 0.04;
constexpr double slots = 10.0;

Settings settings()
{
    Settings settings;
    settings.nodeId = "node-1";
    return settings;
}

Member member(const std::string &nodeId)
{
    Member member;
    member.nodeId = member.dataCentre = nodeId; // Each is the collector of its data centre.
    return member;
}

/// The pressure task of a collector, with the requests of one large and twenty small customers.
struct Collector
{
    SystemClock clock;
    Kernel kernel{settings(), clock};
    std::unique_ptr<Task> task = Registry<TaskPlugin>::find("pressure")->create(kernel);
    std::shared_ptr<const MeshPressure> mesh;
    std::vector<std::string> reports;   ///< As sent to the other collector.
    std::vector<std::string> summaries; ///< As sent to the other node.
    std::size_t steps = 0;
    Timer timer;

    explicit Collector(bool hasCustomers)
    {
        Bus &bus = kernel.bus();
        bus.subscribe<PressureChanged>(
                [this](const PressureChanged &changed) { mesh = changed.mesh; });
        bus.subscribe<SendToPeer>([this](const SendToPeer &frame) {
            (frame.topic == Topic::Pressure ? reports : summaries).push_back(*frame.payload);
        });
        bus.post(MembersChanged{std::make_shared<const std::vector<Member>>(
                std::vector<Member>{member("node-1"), member("node-2")})});
        Catalogue catalogue;
        if (hasCustomers)
            catalogue.customers["large"].name = "large";
        bus.post(CatalogueChanged{std::make_shared<const Catalogue>(std::move(catalogue))});
        timer = kernel.loop().every(step, [this, hasCustomers] { offer(hasCustomers); });
        task->start();
        const Timer end = kernel.loop().after(observed, [this] { kernel.loop().stop(); });
        kernel.loop().run();
    }

    void offer(bool hasCustomers)
    {
        ++steps;
        TargetPressure pressure{"search", 1.5, slots, 0.0, {}, {}};
        for (int i = 0; i < 10; ++i) {
            const bool isLarge = i % 2 == 0;
            const std::string small = "small-" + std::to_string((steps * 5 + i / 2) % 20);
            request(hasCustomers ? isLarge ? "large" : small : "");
            pressure.work["query"] += work;
        }
        kernel.bus().post(pressure);
    }

    void request(const std::string &customer)
    {
        kernel.bus().post(RootDecided{"query", "search", Importance::Normal, Milliseconds(2'000),
                                      true, customer});
        kernel.bus().post(RootEnded{"query", {}, false});
    }

    [[nodiscard]] std::size_t framesAboutCustomers() const
    {
        std::size_t count = 0;
        for (const auto *frames : {&reports, &summaries}) {
            for (const std::string &frame : *frames)
                count += frame.find("customers") == std::string::npos ? 0 : 1;
        }
        return count;
    }
};

} // namespace

TEST_CASE("A collector divides the admitted share of a kind among customers")
{
    const Collector collector(true);
    REQUIRE(collector.mesh != nullptr);
    const double ofKind = rootShareOf(*collector.mesh, "query", "");
    REQUIRE(ofKind < 0.8);
    // Failure: all customers are refused alike, however small they are.
    CHECK(rootShareOf(*collector.mesh, "query", "small-3") == 1.0);
    CHECK(rootShareOf(*collector.mesh, "query", "large") < ofKind);
    REQUIRE_FALSE(collector.reports.empty());
    const auto report = decodeReport(collector.reports.back());
    REQUIRE(report.has_value());
    CHECK(report.value().customers.offered.at("query").at("large") > 150.0);
    const nlohmann::json status = collector.kernel.status();
    REQUIRE(status.contains("customers"));
    CHECK(status.at("customers").size() == maximumReportedCustomers + 1);
    CHECK(status.at("customers").at(0).at("customer") == "large");
    CHECK(status.at("customers").back().at("customer") == "others");
}

TEST_CASE("Without customers nothing is sent about them")
{
    const Collector collector(false);
    REQUIRE(collector.mesh != nullptr);
    REQUIRE(rootShareOf(*collector.mesh, "query", "") < 0.8);
    CHECK(collector.mesh->customerShares.empty());
    CHECK(collector.framesAboutCustomers() == 0);
    CHECK_FALSE(collector.kernel.status().contains("customers"));
}
