#include "SimulatedRejections.h"

#include <doctest/doctest.h>

using namespace chive;

namespace {

void print(const Deployment &deployment, const FaultResult &result)
{
    MESSAGE(deployment.name, ": trees ", result.trees.completed, " of ", result.trees.offered,
            ", bound ", result.boundTrees, ", failed ", result.trees.failed, " of ",
            result.all.offered, " roots, bound used ", result.usedShareOfBound, ", served after ",
            result.servedAfter);
}

} // namespace

TEST_CASE("A leaf that rejects 55 of 100 calls breaks off few trees")
{
    for (const Deployment &deployment : deployments) {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            CAPTURE(deployment.name);
            CAPTURE(seed);
            const FaultResult before = runFault(deployment, Limits::Ignored, seed);
            const FaultResult now = runFault(deployment, Limits::Used, seed);
            print(deployment, before);
            print(deployment, now);

            // Without limits, most trees break off and fewer are completed.
            CHECK(before.trees.failed > 0.5 * before.all.offered);
            CHECK(now.trees.completed > 1.1 * before.trees.completed);
            CHECK(now.trees.failed < 0.02 * now.all.offered);
            // The target of the page is 0.8, see TestTreeTargets.
            CHECK(now.trees.completed >= 0.35 * now.boundTrees);
            // All is admitted again within a second of the end, and a second fault soon after the
            // first one exceeds the bound no more than the first.
            CHECK(now.servedAfter >= 0.95);
            CHECK(now.usedShareOfBound <= 1.0);
            CHECK(before.usedShareOfBound <= 1.0);
        }
    }
}
