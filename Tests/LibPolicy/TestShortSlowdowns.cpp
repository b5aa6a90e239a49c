#include "LoadComparison.h"

#include <doctest/doctest.h>

using namespace chive;

// Perfect knowledge includes a slowdown of 0.6 s from its first moment. Here a node learns of it
// from the calls that end, and a chooser from answers that are some 0.3 s apart.
TEST_CASE("Short slowdowns of targets raise p99 little above that of perfect knowledge")
{
    for (const std::size_t targets : {7, 28}) {
        for (const double load : {0.5, 0.85}) {
            CAPTURE(targets);
            CAPTURE(load);
            const Comparison comparison = compare(settingsFor(Work::ColdChain, targets, load));
            CHECK(comparison.leastWork.p99 <= 1.25 * comparison.perfect.p99);
        }
    }
}
