#include <LibPolicy/Admission.h>

#include <algorithm>

namespace chive {

namespace {

constexpr double latencyGain = 0.1;

void smooth(double &average, Microseconds latency)
{
    const double sample = std::chrono::duration<double, std::milli>(latency).count();
    average = average == 0.0 ? sample : average + latencyGain * (sample - average);
}

/// Returns how long the work was meant to run, or nothing if it was not running.
std::optional<Duration> removeRunning(AdmissionState &state, WorkToken token)
{
    const auto entry = state.running.find(token);
    if (entry == state.running.end())
        return std::nullopt;
    const Duration duration = entry->second;
    state.running.erase(entry);
    if (duration == Duration::Long)
        --state.longRunning;
    return duration;
}

} // namespace

AdmissionState makeAdmissionState(const AdmissionSettings &settings)
{
    AdmissionState state;
    state.settings = settings;
    setCeiling(state.limit, settings.slots);
    return state;
}

void resize(AdmissionState &state, const AdmissionSettings &settings)
{
    state.settings = settings;
    setCeiling(state.limit, settings.slots);
}

void finished(AdmissionState &state, WorkToken token, const WorkOutcome &end, TimePoint now)
{
    const std::optional<Duration> duration = removeRunning(state, token);
    if (!duration)
        return;
    const bool isShort = *duration == Duration::Short;
    if (!end.wasOverloaded && !end.hasFailed) {
        smooth(isShort ? state.shortLatency : state.longLatency, end.latency);
        KindLatency &ofKind = state.latencyByKind[{*duration, end.importance, end.kind}];
        smooth(ofKind.mean, end.latency);
        addSample(ofKind.lowerQuartile,
                  std::chrono::duration<double, std::milli>(end.latency).count());
    }
    addSample(state.limit, end.wasOverloaded ? LimitSample::Overloaded : LimitSample::Finished,
              now);
}

void cancel(AdmissionState &state, WorkToken token)
{
    if (removeRunning(state, token))
        return;
    std::erase_if(state.queue, [token](const QueuedWork &work) { return work.token == token; });
}

TargetLoad loadOf(const AdmissionState &state, TimePoint now)
{
    TargetLoad load;
    load.inFlight = static_cast<std::uint32_t>(state.running.size());
    load.queued = static_cast<std::uint32_t>(state.queue.size());
    load.limit = currentLimit(state.limit);
    if (now < state.admittedLevelUntil)
        load.admitted = state.admittedLevel;
    return load;
}

KindLatency latencyOf(const AdmissionState &state, const WorkAttributes &attributes)
{
    const auto known = state.latencyByKind.find(
            {attributes.duration, attributes.importance, attributes.kind});
    return known == state.latencyByKind.end() ? KindLatency{} : known->second;
}

std::chrono::nanoseconds queueWait(const AdmissionState &state)
{
    double milliseconds = 0.0;
    for (const QueuedWork &work : state.queue) {
        const KindLatency known = latencyOf(state, work.attributes);
        milliseconds += known.mean == 0.0 ? state.shortLatency : known.mean;
    }
    return std::chrono::nanoseconds(
            static_cast<std::int64_t>(milliseconds * 1e6 / currentLimit(state.limit)));
}

void markRunning(AdmissionState &state, WorkToken token, Duration duration)
{
    state.running.emplace(token, duration);
    if (duration == Duration::Long)
        ++state.longRunning;
}

} // namespace chive
