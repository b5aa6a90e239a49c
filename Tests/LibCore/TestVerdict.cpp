#include <LibCore/Identifier.h>
#include <LibCore/Result.h>

#include <doctest/doctest.h>

using namespace chive;

TEST_CASE("Names of executions and reasons are unique and can be parsed")
{
    SUBCASE("every execution is parsed from its name")
    {
        for (auto execution : {Execution::NotRun, Execution::MayHaveRun, Execution::HasRun})
            CHECK(executionFromString(nameOf(execution)) == execution);
    }

    SUBCASE("every reason is parsed from its name")
    {
        for (int value = 0; value <= static_cast<int>(Reason::Cancelled); ++value) {
            const auto reason = static_cast<Reason>(value);
            CHECK(nameOf(reason) != "unknown");
            CHECK(reasonFromString(nameOf(reason)) == reason);
        }
    }

    SUBCASE("an unknown name is not a reason")
    {
        CHECK_FALSE(reasonFromString("tired").has_value());
    }
}

TEST_CASE("CHIVE_TRY returns a verdict unchanged")
{
    const auto refuse = []() -> Judged<int> { return notRun(Reason::Overloaded, "queue full"); };
    const auto caller = [&]() -> Judged<int> {
        CHIVE_TRY(value, refuse());
        return value + 1;
    };
    const auto answer = caller();
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().reason == Reason::Overloaded);
    CHECK(answer.error().execution == Execution::NotRun);
}

TEST_CASE("Identifiers and digests")
{
    CHECK(randomIdentifier() != randomIdentifier());
    CHECK(randomIdentifier().size() == 32);
    CHECK(digest("fridge") == digest("fridge"));
    CHECK(digest("fridge") != digest("fridgf"));
}
