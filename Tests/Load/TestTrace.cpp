#include <Load/Scenario.h>
#include <Load/Trace.h>

#include <doctest/doctest.h>

using namespace chive;
using namespace chive::load;

TEST_CASE("Traces")
{
    for (const Scenario &scenario : scenarios()) {
        CAPTURE(std::string(scenario.name));
        const Trace trace = scenario.build(7);

        SUBCASE("a scenario yields the same trace for the same seed, and another for another")
        {
            CHECK(format(scenario.build(7)) == format(trace));
            CHECK(format(scenario.build(8)) != format(trace));
        }

        SUBCASE("a trace reads back as it was written")
        {
            const auto parsed = parseTrace(format(trace));
            REQUIRE(parsed.has_value());
            CHECK(format(parsed.value()) == format(trace));
        }

        SUBCASE("calls are in order of time, and outcomes are stated for both deployments")
        {
            Milliseconds last{0};
            for (const TraceCall &call : trace.calls) {
                REQUIRE(call.at >= last);
                last = call.at;
            }
            CHECK_FALSE(trace.expectations.empty());
        }
    }

    SUBCASE("a line that is no JSON is named")
    {
        const auto parsed = parseTrace(format(scenarios()[0].build(1)).substr(0, 40));
        REQUIRE_FALSE(parsed.has_value());
        CHECK(parsed.error().message.starts_with("line 1:"));
        CHECK_FALSE(parseTrace("").has_value());
    }
}
