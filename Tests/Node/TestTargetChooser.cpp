#include <Node/TargetChooser.h>

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace chive;

namespace {

const ChoicePlugin firstTarget{
        "first",
        [](ChoiceState &, std::span<const Candidate> candidates, const ChoiceRequest &,
           TimePoint) -> std::optional<std::size_t> {
            return candidates.empty() ? std::nullopt : std::optional<std::size_t>(0);
        },
};

CallOutcome rejection()
{
    Verdict verdict = notRun(Reason::Overloaded);
    verdict.hasReachedTarget = true;
    CallOutcome outcome;
    outcome.result = verdict;
    return outcome;
}

} // namespace

// A tree whose call is given up for want of a token has lost the work and the retries spent on it.
TEST_CASE("A nested call that targets reject waits for a retry token")
{
    const TimePoint now{std::chrono::hours(1)};
    Settings settings;
    settings.retryBound
            = Settings::RetryBound{0.2, 93.0, Milliseconds(10'000), RetryPlanning::Trees};
    TargetChooser chooser(firstTarget, settings);
    Member member;
    member.nodeId = "n1";
    member.service = "leaf";
    chooser.setMembers({member});
    Call call;
    call.service = "leaf";
    call.isNested = true;
    call.repetition = Repetition::Idempotent;
    call.deadline = now + Milliseconds(700);
    Allowance left{4, 4};
    TargetChooser::Attempts attempts;
    REQUIRE(chooser.choose(call, attempts, now) != nullptr);
    attempts = {1, {"n1"}, {"n1"}};
    const auto plan = [&] { return chooser.takeRetry(call, rejection(), attempts, left, now); };

    // Without a summary the roots are not limited, and there would never be enough tokens.
    CHECK(plan() == TargetChooser::RetryPlan::None);

    MeshPressure mesh;
    mesh.rejectedShares["leaf"] = 0.55;
    chooser.setMeshPressure(std::make_shared<const MeshPressure>(mesh));
    CHECK(plan() == TargetChooser::RetryPlan::AwaitToken);

    SUBCASE("but not past its deadline")
    {
        call.deadline = now + Milliseconds(20);
        CHECK(plan() == TargetChooser::RetryPlan::None);
    }
    SUBCASE("but not as a caller's request")
    {
        call.isNested = false;
        CHECK(plan() == TargetChooser::RetryPlan::None);
    }
    SUBCASE("but not after too many attempts")
    {
        attempts.count = 12;
        CHECK(plan() == TargetChooser::RetryPlan::None);
    }
}
