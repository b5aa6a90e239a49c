#include <LibPolicy/ServicePressure.h>

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace chive;

namespace {

/// The call chain is catalogue, orders, proofs. Callers on every VM send the kinds `browse` and
/// `status`; targets send the nested kinds `order` and `stock`.
PressureTable sampleMesh(TimePoint now, double proofsPressure)
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
    noteReport(table, "c", {"proofs", proofsPressure + 0.2, roots}, now);
    noteReport(table, "d", {"proofs", proofsPressure - 0.2, roots}, now);
    return table;
}

} // namespace

TEST_CASE("The pressure of a service includes the services that it leads to")
{
    const TimePoint now{std::chrono::hours(1)};
    const PressureTable table = sampleMesh(now, 0.9);
    const MeshPressure mesh = summarize(table, now);

    SUBCASE("kinds that enter beside some services only are nested")
    {
        CHECK(mesh.nestedKinds == std::set<std::string, std::less<>>{"order", "stock"});
    }
    SUBCASE("the fullest service counts, with the mean over its targets")
    {
        CHECK(mesh.services.at("catalogue").below == doctest::Approx(0.9));
        CHECK(mesh.services.at("catalogue").own == doctest::Approx(0.3));
        CHECK(mesh.services.at("catalogue").servicesBelow
              == std::set<std::string>{"orders", "proofs"});
        CHECK(mesh.services.at("proofs").servicesBelow.empty());
    }
    SUBCASE("expired reports are ignored")
    {
        const MeshPressure later = summarize(table, now + std::chrono::seconds(2));
        CHECK(later.services.empty());
        CHECK(later.nestedKinds.empty());
        CHECK_FALSE(mesh.services.contains("unknown"));
    }
}
