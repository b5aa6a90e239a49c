#include <LibCore/Verdict.h>

#include <array>
#include <utility>

namespace chive {

namespace {

template<typename Value>
using NameEntry = std::pair<Value, std::string_view>;

constexpr std::array<NameEntry<Execution>, 3> executionNames{{
        {Execution::NotRun, "not-run"},
        {Execution::MayHaveRun, "may-have-run"},
        {Execution::HasRun, "has-run"},
}};

constexpr std::array<NameEntry<Reason>, 21> reasonNames{{
        {Reason::BadRequest, "bad-request"},
        {Reason::UnknownService, "unknown-service"},
        {Reason::UnknownKind, "unknown-kind"},
        {Reason::MissingKey, "missing-key"},
        {Reason::BodyTooLarge, "body-too-large"},
        {Reason::Overloaded, "overloaded"},
        {Reason::NoTarget, "no-target"},
        {Reason::DeadlineExceeded, "deadline-exceeded"},
        {Reason::AllowanceSpent, "allowance-spent"},
        {Reason::Leaving, "leaving"},
        {Reason::LogUnavailable, "log-unavailable"},
        {Reason::DuplicateKey, "duplicate-key"},
        {Reason::Quarantined, "quarantined"},
        {Reason::TargetUnreachable, "target-unreachable"},
        {Reason::TargetFailed, "target-failed"},
        {Reason::IncompleteAnswer, "incomplete-answer"},
        {Reason::LinkLost, "link-lost"},
        {Reason::Cancelled, "cancelled"},
        {Reason::NotReady, "not-ready"},
        {Reason::UnknownKey, "unknown-key"},
        {Reason::QuotaExceeded, "quota-exceeded"},
}};

template<typename Table, typename Value>
std::string_view lookUp(const Table &table, Value value)
{
    for (const auto &[candidate, name] : table) {
        if (candidate == value)
            return name;
    }
    return "unknown";
}

template<typename Value, typename Table>
std::optional<Value> valueOf(const Table &table, std::string_view text)
{
    for (const auto &[value, name] : table) {
        if (name == text)
            return value;
    }
    return std::nullopt;
}

} // namespace

Verdict notRun(Reason reason, std::string detail)
{
    return {Execution::NotRun, reason, std::nullopt, false, false, std::move(detail)};
}

Verdict mayHaveRun(Reason reason, std::string detail)
{
    return {Execution::MayHaveRun, reason, std::nullopt, false, false, std::move(detail)};
}

std::string_view nameOf(Execution execution)
{
    return lookUp(executionNames, execution);
}

std::string_view nameOf(Reason reason)
{
    return lookUp(reasonNames, reason);
}

std::optional<Execution> executionFromString(std::string_view text)
{
    return valueOf<Execution>(executionNames, text);
}

std::optional<Reason> reasonFromString(std::string_view text)
{
    return valueOf<Reason>(reasonNames, text);
}

} // namespace chive
