#pragma once

#include <LibPolicy/Choice.h>

/// The estimate behind the load balancing policy "least-work".
namespace chive {

/// What a chooser expects of a call at one target.
struct TargetEstimate
{
    double reportAge = 0.0; ///< Seconds; negative without a report.
    double busy = 0.0;      ///< Running and queued calls by slots.
    double speed = 1.0;     ///< Relative to the mean of the service.
    double wait = 0.0;      ///< Milliseconds until the call starts.
    double cost = 0.0;      ///< Milliseconds until it ends, and the charges of the policy.
    double weight = 0.0;    ///< Free capacity; the sample is drawn in proportion to it.
};

[[nodiscard]] TargetEstimate estimateTarget(const ChoiceState &state, const TargetView &view,
                                            const ChoiceRequest &request, bool isNear,
                                            TimePoint now);

/// Why a target gets less work than others; empty if nothing keeps work from it.
[[nodiscard]] std::string_view reasonForLittleWork(const ChoiceState &state, const TargetView &view,
                                                   const TargetEstimate &estimate, TimePoint now);

} // namespace chive
