#include "SimulatedMesh.h"

#include <doctest/doctest.h>

using namespace chive;

namespace {

constexpr Milliseconds never{300'000};

bool isInFirstThird(std::size_t number)
{
    return number % 3 == 0;
}

} // namespace

TEST_CASE("A mesh of sixty nodes that know two others each")
{
    SimulatedMesh mesh(1);
    mesh.lose(0.02);
    mesh.startMany(60);
    const Milliseconds joined = mesh.runUntil([&] { return mesh.isConverged(); }, never);
    REQUIRE(joined < Milliseconds(30'000));
    mesh.run(Milliseconds(5'000));

    SUBCASE("a leaving node is known everywhere within two seconds")
    {
        mesh.leave(7);
        const auto isKnown = [&] { return mesh.everyoneHolds(7, MemberState::Leaving); };
        CHECK(mesh.runUntil(isKnown, never) <= Milliseconds(2'000));

        SUBCASE("and after it stops it is dead and does not become alive again")
        {
            mesh.sayGone(7);
            const auto isDead = [&] { return mesh.everyoneHolds(7, MemberState::Dead); };
            CHECK(mesh.runUntil(isDead, never) <= Milliseconds(2'000));
            mesh.run(Milliseconds(60'000));
            CHECK(isDead());
        }

        SUBCASE("and its death is detected if it is killed meanwhile")
        {
            mesh.kill(7);
            const auto isDead = [&] { return mesh.everyoneHolds(7, MemberState::Dead); };
            CHECK(mesh.runUntil(isDead, never) <= Milliseconds(30'000));
        }
    }

    SUBCASE("the leaving of a node that reaches only some of the others is known everywhere")
    {
        // The node can exchange messages with only five others.
        mesh.cut([](std::size_t number) { return number == 7 || number % 12 == 0; });
        mesh.leave(7);
        mesh.run(Milliseconds(300));
        mesh.heal();
        const auto isKnown = [&] { return mesh.everyoneHolds(7, MemberState::Leaving); };
        CHECK(mesh.runUntil(isKnown, never) <= Milliseconds(4'000));
    }

    SUBCASE("a killed node is unused within seconds and dead soon after")
    {
        mesh.kill(11);
        const auto isSuspect = [&] { return mesh.everyoneHolds(11, MemberState::Suspect); };
        CHECK(mesh.runUntil(isSuspect, never) <= Milliseconds(7'000));
        const auto isDead = [&] { return mesh.everyoneHolds(11, MemberState::Dead); };
        CHECK(mesh.runUntil(isDead, never) <= Milliseconds(10'000));

        SUBCASE("and a restart makes it alive")
        {
            mesh.start(11, {3});
            const auto isBack = [&] { return mesh.isConverged(); };
            CHECK(mesh.runUntil(isBack, never) <= Milliseconds(15'000));
        }
    }

    SUBCASE("a node paused for two seconds stays a member")
    {
        mesh.pause(5, Milliseconds(2'000));
        mesh.run(Milliseconds(15'000));
        CHECK(mesh.isConverged());
        CHECK(mesh.node(5).counters().deaths == 0);
    }

    SUBCASE("a node paused for a minute rejoins by itself")
    {
        mesh.pause(5, Milliseconds(60'000));
        mesh.run(Milliseconds(60'000));
        CHECK(mesh.everyoneHolds(5, MemberState::Dead));
        CHECK(mesh.runUntil([&] { return mesh.isConverged(); }, never) <= Milliseconds(60'000));
    }

    SUBCASE("the two sides of a partition separate and merge again")
    {
        mesh.cut(isInFirstThird);
        mesh.run(Milliseconds(180'000));
        CHECK(mesh.isConverged(isInFirstThird));
        CHECK(mesh.isConverged([](std::size_t number) { return !isInFirstThird(number); }));
        mesh.heal();
        CHECK(mesh.runUntil([&] { return mesh.isConverged(); }, never) <= Milliseconds(60'000));
    }

    SUBCASE("half of the nodes are replaced one after another")
    {
        for (std::size_t number = 0; number < 30; ++number) {
            mesh.kill(number);
            mesh.run(Milliseconds(500));
            mesh.start(number, {number + 30});
        }
        CHECK(mesh.runUntil([&] { return mesh.isConverged(); }, never) <= Milliseconds(60'000));
    }

    SUBCASE("no member is lost while a fifth of all messages are lost")
    {
        mesh.lose(0.2);
        mesh.run(Milliseconds(120'000));
        mesh.lose(0.0);
        CHECK(mesh.runUntil([&] { return mesh.isConverged(); }, never) <= Milliseconds(60'000));
    }
}
