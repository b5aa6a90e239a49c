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

/// Metrics of the requests of callers: latency by service, kind, importance and outcome, and
/// refusals by reason.
class CallMetrics
{
public:
    explicit CallMetrics(prometheus::Registry &registry);

    /// Counts a request that was refused before it was routed as a call.
    void countRefusedRequest(const Verdict &verdict);

    /// Records the latency of a routed call, and the verdict if it has no answer.
    void countFinishedCall(const Call &call, const Judged<Answer> &result,
                           std::chrono::nanoseconds latency);

private:
    prometheus::Family<prometheus::Histogram> &latency_;
    prometheus::Family<prometheus::Counter> &refusals_;
};

} // namespace chive
