#pragma once

#include <LibCore/Result.h>
#include <LibNode/Call.h>

#include <chrono>

namespace prometheus {
class Counter;
class Histogram;
class Registry;
template<typename Metric>
class Family;
} // namespace prometheus

namespace chive {

/// The callers' view of the mesh: latency by service, kind, importance and outcome, and refusals
/// by reason.
class CallMetrics
{
public:
    explicit CallMetrics(prometheus::Registry &registry);

    /// A request that was refused before it could be read as a call.
    void countRefusedRequest(const Verdict &verdict);

    void countFinishedCall(const Call &call, const Judged<Answer> &result,
                           std::chrono::nanoseconds latency);

private:
    prometheus::Family<prometheus::Histogram> &latency_;
    prometheus::Family<prometheus::Counter> &refusals_;
};

} // namespace chive
