#include <LibPolicy/Choice.h>

#include <algorithm>

namespace chive {

namespace {

constexpr Milliseconds loadLifetime{300}; ///< Older load reports are ignored.
constexpr double latencyGain = 0.1;
constexpr double probedLatencyGain = 1.0; ///< A probe result replaces older samples.

void smoothLatency(TargetView &view, TimePoint sentAt, TimePoint now)
{
    const double sample = std::chrono::duration<double, std::milli>(now - sentAt).count();
    const double gain = view.pauseLength > Milliseconds(0) ? probedLatencyGain : latencyGain;
    view.latency = view.latency == 0.0 ? sample : view.latency + gain * (sample - view.latency);
}

void noteWork(ChoiceState &state, TargetView &view, const ObservedOutcome &end, TimePoint now)
{
    WorkSample sample{end.kind, *end.load, {}, view.pauseLength > Milliseconds(0)};
    if (end.wasServed && end.duration == Duration::Short)
        sample.latency = std::chrono::duration<double, std::milli>(now - end.sentAt).count();
    learnWork(state.work, view.work, sample, now);
}

} // namespace

TargetView &viewOf(ChoiceState &state, std::string_view nodeId)
{
    const auto entry = state.targets.find(nodeId);
    if (entry != state.targets.end())
        return entry->second;
    return state.targets.emplace(std::string(nodeId), TargetView{}).first->second;
}

void noteSent(ChoiceState &state, std::string_view nodeId, Duration duration, TimePoint now)
{
    TargetView &view = viewOf(state, nodeId);
    if (duration == Duration::Long)
        ++view.longInFlight;
    else
        view.shortInFlight.insert(now);
}

void noteEnded(ChoiceState &state, std::string_view nodeId, const ObservedOutcome &end,
               TimePoint now)
{
    TargetView &view = viewOf(state, nodeId);
    if (end.duration == Duration::Long) {
        view.longInFlight -= std::min(view.longInFlight, 1U);
    } else {
        const auto sent = view.shortInFlight.find(end.sentAt);
        if (sent != view.shortInFlight.end())
            view.shortInFlight.erase(sent);
        view.isProbing = false;
    }
    if (end.load) {
        view.load = *end.load;
        view.loadReceivedAt = now;
        noteWork(state, view, end, now);
    }
    if (end.hasFailed)
        view.failedAt = now;
    if (end.wasServed && end.duration == Duration::Short)
        smoothLatency(view, end.sentAt, now);
}

void retainTargets(ChoiceState &state, std::span<const Candidate> members)
{
    std::erase_if(state.targets, [&](const auto &entry) {
        return std::ranges::none_of(
                members, [&](const Candidate &member) { return member.nodeId == entry.first; });
    });
}

bool hasFreshLoad(const TargetView &view, TimePoint now)
{
    return view.loadReceivedAt != TimePoint{} && now - view.loadReceivedAt < loadLifetime;
}

bool wouldAdmit(const TargetView &view, Importance importance, TimePoint now)
{
    return !hasFreshLoad(view, now) || view.load.admitted >= static_cast<std::uint8_t>(importance);
}

Microseconds expectedLatency(const ChoiceState &state, std::string_view nodeId)
{
    const auto entry = state.targets.find(nodeId);
    if (entry == state.targets.end())
        return Microseconds(0);
    return Microseconds(static_cast<std::int64_t>(entry->second.latency * 1000.0));
}

} // namespace chive
