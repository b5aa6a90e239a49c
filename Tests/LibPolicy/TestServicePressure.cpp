#include <LibPolicy/RootShed.h>
#include <LibPolicy/ServicePressure.h>

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace chive;

namespace {

/// Browsing leads from the catalogue over orders to the proofs; callers on every VM send the kinds
/// `browse` and `status`, and targets send `order` and `stock`.
PressureTable sampleMesh(TimePoint now, double ofProofs)
{
    PressureTable table;
    const std::map<std::string, std::string, std::less<>> roots{{"browse", "catalogue"},
                                                                {"status", "proofs"}};
    auto besideCatalogue = roots;
    besideCatalogue.emplace("order", "orders");
    auto besideOrders = roots;
    besideOrders.emplace("stock", "proofs");
    noteReport(table, "a", {"catalogue", 0.3, besideCatalogue}, now);
    noteReport(table, "b", {"orders", 0.2, besideOrders}, now);
    noteReport(table, "c", {"proofs", ofProofs + 0.2, roots}, now);
    noteReport(table, "d", {"proofs", ofProofs - 0.2, roots}, now);
    return table;
}

} // namespace

TEST_CASE("What a service leads to decides whether its callers' requests are taken on")
{
    const TimePoint now{std::chrono::hours(1)};
    const PressureTable table = sampleMesh(now, 0.9);
    const MeshPressure mesh = summarize(table, now);

    SUBCASE("kinds that enter beside some services only are the targets' own")
    {
        CHECK(mesh.nestedKinds == std::set<std::string, std::less<>>{"order", "stock"});
    }
    SUBCASE("the fullest service counts, as the mean of its targets")
    {
        CHECK(mesh.services.at("catalogue").below == doctest::Approx(0.9));
        CHECK(mesh.services.at("catalogue").own == doctest::Approx(0.3));
        CHECK(mesh.services.at("catalogue").servicesBelow
              == std::set<std::string>{"orders", "proofs"});
        CHECK(mesh.services.at("proofs").servicesBelow.empty());
    }
    SUBCASE("what is old counts for nothing")
    {
        const MeshPressure later = summarize(table, now + std::chrono::seconds(2));
        CHECK(later.services.empty());
        CHECK(later.nestedKinds.empty());
        CHECK_FALSE(mesh.services.contains("unknown"));
    }
}

TEST_CASE("The less important a request, the earlier it is refused")
{
    for (int step = 0; step <= 20; ++step) {
        const double pressure = 0.1 * step;
        CAPTURE(pressure);
        CHECK(shedShare(pressure, Importance::Critical) <= shedShare(pressure, Importance::High));
        CHECK(shedShare(pressure, Importance::High) <= shedShare(pressure, Importance::Normal));
        CHECK(shedShare(pressure, Importance::Normal) <= shedShare(pressure, Importance::Low));
    }
    CHECK(shedShare(0.5, Importance::Low) == 0.0);
    CHECK(shedShare(1.2, Importance::Normal) == 1.0);
    CHECK(shedShare(1.0, Importance::Critical) == 0.0);

    const Milliseconds objective{1'000};
    CHECK(returnAfter(1.0, objective, 0.0) == Milliseconds(300));
    CHECK(returnAfter(1.0, objective, 1.0) == Milliseconds(800));
    CHECK(returnAfter(2.0, objective, 0.0) == Milliseconds(600));
}
