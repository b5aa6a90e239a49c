#pragma once

#include <LibCore/Clock.h>
#include <LibHttp/HttpClient.h>
#include <StandIns/Executions.h>

#include <cstdint>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace chive {

/// One request of the demonstration and the caller's view of its end.
struct DemoCall
{
    std::string kind;
    std::string requestId;
    std::size_t second = 0; ///< Since the start, when it was sent.
};

/// What callers saw, judged: each request must end with its own whole answer or a truthful refusal.
class DemoReport
{
public:
    void countSent(const DemoCall &call);
    void countEnd(const DemoCall &call, const HttpClient::Outcome &outcome);

    /// Holds refusals and idempotency keys against what the targets began to run.
    void judge(const std::vector<RunRecord> &runs);

    /// Time from `second` until at least 95 percent of the requests succeed for three seconds in a
    /// row; negative when that never happened.
    [[nodiscard]] int recoverySeconds(std::size_t second) const;

    void print(std::ostream &stream) const;

    [[nodiscard]] bool isTruthful() const { return faults_.empty(); }

private:
    struct KindCounts
    {
        std::uint64_t sent = 0;
        std::uint64_t good = 0;
        std::uint64_t failedByTarget = 0; ///< Whole answers of the target with an error status.
        std::map<std::string, std::uint64_t> refusals; ///< By execution and reason.
    };
    struct SecondCounts
    {
        std::uint64_t sent = 0;
        std::uint64_t good = 0;
    };

    void countAnswer(const DemoCall &call, const HttpResponse &response);
    void addFault(const DemoCall &call, const std::string &what);

    std::map<std::string, KindCounts> kinds_;
    std::vector<SecondCounts> seconds_;
    std::set<std::string> notRun_; ///< Request ids that were refused as not run.
    std::vector<std::string> faults_;
};

} // namespace chive
