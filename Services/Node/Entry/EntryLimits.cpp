#include <Node/Entry/EntryLimits.h>

#include <string>
#include <utility>

namespace chive {

namespace {

constexpr Milliseconds limitRetryAfter{1'000};

Verdict limitVerdict(std::string detail)
{
    Verdict verdict = notRun(Reason::Overloaded, std::move(detail));
    verdict.retryAfter = limitRetryAfter;
    return verdict;
}

} // namespace

Verdict connectionLimitVerdict()
{
    return limitVerdict("the limit for requests in progress is reached");
}

Verdict memoryLimitVerdict()
{
    return limitVerdict("the limit for request bodies in memory is reached");
}

} // namespace chive
