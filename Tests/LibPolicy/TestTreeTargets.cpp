#include "SimulatedRejections.h"

#include <doctest/doctest.h>

using namespace chive;

// A target of docs/UNEVEN-LOAD.md, section 5.
TEST_CASE("Trees completed while a leaf rejects 55 of 100 calls")
{
    for (const Deployment &deployment : deployments) {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            CAPTURE(deployment.name);
            CAPTURE(seed);
            const FaultResult now = runFault(deployment, Limits::Used, seed);
            CHECK(now.trees.completed >= 0.8 * now.boundTrees);
        }
    }
}
