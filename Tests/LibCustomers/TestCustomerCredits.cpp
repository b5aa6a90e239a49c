#include <LibCustomers/CustomerCredits.h>
#include <LibPolicy/RootAdmission.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

using namespace chive;

namespace {

struct Requests
{
    int admittedOf(const std::string &customer, int requests, double share)
    {
        int admitted = 0;
        for (int i = 0; i < requests; ++i)
            admitted += admitCustomer(credits, {"query", "front", customer}, share, draw(random));
        return admitted;
    }

    CustomerCredits credits;
    std::mt19937 random{1};
    std::uniform_real_distribution<double> draw{0.0, 1.0};
};

} // namespace

TEST_CASE("The share of a customer is spread evenly over its requests")
{
    Requests requests;
    CHECK(requests.admittedOf("a", 100, 1.0) == 100);
    CHECK(std::abs(requests.admittedOf("b", 100, 0.5) - 50) <= 2);
    CHECK(std::abs(requests.admittedOf("c", 1'000, 0.02) - 20) <= 2);
    CHECK(std::abs(requests.admittedOf("d", 1'000, 0.9) - 900) <= 2);
}

TEST_CASE("Customers with one request each get their share together")
{
    // Failure: with a credit that starts at 0, the first request of each would be refused.
    for (const double share : {0.3, 0.5, 0.9}) {
        CAPTURE(share);
        Requests requests;
        int admitted = 0;
        for (int i = 0; i < 10'000; ++i)
            admitted += requests.admittedOf("customer-" + std::to_string(i), 1, share);
        CHECK(admitted == doctest::Approx(10'000 * share).epsilon(0.02));
    }
}

TEST_CASE("The state is bounded with more customers than the table holds")
{
    Requests requests;
    int admitted = 0;
    for (int i = 0; i < 200'000; ++i)
        admitted += requests.admittedOf("customer-" + std::to_string(i), 1, 0.5);
    CHECK(requests.credits.entries.size() == CustomerCredits::entryCount);
    CHECK(sizeof(CustomerCredits::Entry) * CustomerCredits::entryCount <= 1'048'576);
    CHECK(admitted == doctest::Approx(100'000).epsilon(0.02));
}

TEST_CASE("A decision among 10,000 customers takes less than 2 microseconds")
{
    constexpr std::size_t customerCount = 10'000;
    MeshPressure mesh;
    std::vector<std::string> names;
    for (std::size_t i = 0; i < customerCount; ++i)
        names.push_back("customer-" + std::to_string(i));
    for (const std::string kind : {"search-query", "pin-snapshot", "file-view", "repo-browse"}) {
        mesh.rootShares[kind] = 0.5;
        mesh.customerShares[kind][""] = 0.7;
        for (std::size_t i = 0; i < 64; ++i)
            mesh.customerShares[kind][names[i]] = 0.1;
    }
    CustomerCredits credits;
    std::mt19937 random(1);
    std::uniform_int_distribution<std::size_t> next(0, customerCount - 1);
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    const auto decide = [&](const std::string &customer) {
        const double share = rootShareOf(mesh, "pin-snapshot", customer);
        return admitCustomer(credits, {"pin-snapshot", "front", customer}, share, draw(random));
    };
    // The fastest of several rounds, so that a busy machine does not decide.
    double fastest = 1.0;
    std::size_t admitted = 0;
    for (int round = 0; round < 20; ++round) {
        constexpr int decisions = 20'000;
        const auto begin = std::chrono::steady_clock::now();
        for (int i = 0; i < decisions; ++i)
            admitted += decide(names[next(random)]) ? 1U : 0U;
        const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begin;
        fastest = std::min(fastest, taken.count() / decisions);
    }
    MESSAGE("microseconds a decision: " << fastest * 1e6 << ", admitted " << admitted);
    CHECK(fastest < 2e-6);
}
