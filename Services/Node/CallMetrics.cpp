#include <Node/CallMetrics.h>

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace chive {

namespace {

/// Upper bounds of the latency buckets, in seconds.
const prometheus::Histogram::BucketBoundaries latencyBuckets{
        0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30,
};

std::string label(std::string_view text)
{
    return std::string(text);
}

} // namespace

CallMetrics::CallMetrics(prometheus::Registry &registry)
    : latency_(prometheus::BuildHistogram()
                       .Name("chiverouter_request_duration_seconds")
                       .Help("Time from a request's arrival to its answer or refusal.")
                       .Register(registry))
    , refusals_(prometheus::BuildCounter()
                        .Name("chiverouter_refusals_total")
                        .Help("Requests that got a verdict in place of an answer.")
                        .Register(registry))
{}

void CallMetrics::countRefusedRequest(const Verdict &verdict)
{
    refusals_
            .Add({{"service", ""},
                  {"kind", ""},
                  {"reason", label(nameOf(verdict.reason))},
                  {"execution", label(nameOf(verdict.execution))}})
            .Increment();
}

void CallMetrics::countFinishedCall(const Call &call, const Judged<Answer> &result,
                                    std::chrono::nanoseconds latency)
{
    const bool isAnswer = result.has_value();
    const std::string outcome = isAnswer ? "answer" : label(nameOf(result.error().reason));
    latency_.Add({{"service", call.service},
                  {"kind", call.kind},
                  {"importance", label(nameOf(call.importance))},
                  {"outcome", outcome}},
                 latencyBuckets)
            .Observe(std::chrono::duration<double>(latency).count());
    if (isAnswer)
        return;
    refusals_
            .Add({{"service", call.service},
                  {"kind", call.kind},
                  {"reason", outcome},
                  {"execution", label(nameOf(result.error().execution))}})
            .Increment();
}

} // namespace chive
