#include <LibPolicy/TargetSpeed.h>

#include <algorithm>
#include <cmath>

namespace chive {

namespace {

constexpr std::size_t maximumKinds = 32;
constexpr double meanGain = 0.02;
constexpr double loadGain = 0.02;
constexpr double latencyGain = 0.1;
/// A single probe may have been a short call.
constexpr double probeGain = 0.5;
/// Ratio of a reported speed to the one that the latency shows, above which it is not believed. A
/// wait for a slot also raises the latency, so it is not close to 1.
constexpr double believedSpeedRatio = 2.5;
/// Seconds. Longer than a cold start (3 s), which the recent speed follows.
constexpr double lastingSpeedLifetime = 8.0;
/// Seconds. About the length of the disturbances that recent speeds have (0.6 s).
constexpr double recentSpeedLifetime = 0.5;
constexpr double usualBusyLifetime = 1.0; ///< Seconds.
/// Before the first report a target is taken for one that has just started and is still cold.
constexpr double coldSpeed = 0.5;
constexpr double slowestSpeed = 0.05;
constexpr double fastestSpeed = 5.0;
constexpr double tenthsPerMillisecond = 10.0;

/// Averages evenly over the first samples, and exponentially after them.
void addToMean(double &mean, double sample, double gain)
{
    mean += gain * (sample - mean);
}

void addSample(KindMeans &means, double ownTime, std::optional<double> latency)
{
    means.samples += 1.0;
    const double gain = std::max(meanGain, 1.0 / means.samples);
    addToMean(means.ownTime, ownTime, gain);
    if (latency)
        addToMean(means.latency, *latency, gain);
}

KindMeans &meansFor(ServiceWork &service, std::string_view kind)
{
    const auto found = service.kinds.find(kind);
    if (found != service.kinds.end())
        return found->second;
    const bool hasRoom = service.kinds.size() + 1 < maximumKinds;
    return service.kinds[hasRoom ? std::string(kind) : std::string()];
}

double busyOf(const TargetLoad &load)
{
    return static_cast<double>(load.inFlight + load.queued) / std::max(load.limit, 1U);
}

void learnLoad(ServiceWork &service, TargetWorkView &target, const TargetLoad &load, bool isFirst,
               double elapsed)
{
    const double gain = isFirst ? 1.0 : 1.0 - std::exp(-elapsed / usualBusyLifetime);
    const double busy = busyOf(load);
    addToMean(target.usualBusy, busy, gain);
    addToMean(target.usualWait, load.work->untilStart, gain);
    addToMean(service.limit, load.limit, service.all.samples == 0.0 ? 1.0 : loadGain);
}

/// Moves the estimate up by most of a step for a longer latency and down by the rest of it for any
/// other, which balances where one in a hundred is longer.
void learnLongLatency(ServiceWork &service, double latency)
{
    constexpr double shorterShare = 0.99;
    constexpr double stepPart = 0.1;
    if (service.longLatency == 0.0) {
        service.longLatency = 2.0 * latency;
        return;
    }
    const double step = stepPart * service.longLatency;
    const bool isLonger = latency > service.longLatency;
    service.longLatency += step * (isLonger ? shorterShare : shorterShare - 1.0);
}

void learnLatency(TargetWorkView &target, const KindMeans &means, const WorkSample &sample)
{
    if (!sample.latency || means.latency <= 0.0)
        return;
    const double ratio = *sample.latency / means.latency;
    if (target.latencyRatio == 0.0)
        target.latencyRatio = ratio;
    addToMean(target.latencyRatio, ratio, sample.isProbe ? probeGain : latencyGain);
}

} // namespace

void learnWork(ServiceWork &service, TargetWorkView &target, const WorkSample &sample,
               TimePoint now)
{
    if (!sample.load.work)
        return;
    const bool isFirst = target.updatedAt == TimePoint{};
    const double elapsed
            = isFirst ? 0.0 : std::chrono::duration<double>(now - target.updatedAt).count();
    target.updatedAt = now;
    learnLoad(service, target, sample.load, isFirst, elapsed);

    const double ownTime = sample.load.work->ownTime / tenthsPerMillisecond;
    if (ownTime <= 0.0)
        return;
    KindMeans &means = meansFor(service, sample.kind);
    addSample(means, ownTime, sample.latency);
    addSample(service.all, ownTime, sample.latency);
    learnLatency(target, means, sample);
    if (sample.latency)
        learnLongLatency(service, *sample.latency);
    double speed = means.ownTime / ownTime;
    if (target.latencyRatio > 0.0)
        speed = std::min(speed, believedSpeedRatio / target.latencyRatio);
    target.recentSpeed = std::clamp(speed, slowestSpeed, fastestSpeed);
    if (target.lastingSpeed == 0.0)
        target.lastingSpeed = target.recentSpeed;
    addToMean(target.lastingSpeed, target.recentSpeed,
              std::min(0.3, 1.0 - std::exp(-elapsed / lastingSpeedLifetime)));
}

double speedOf(const TargetWorkView &target, TimePoint now)
{
    if (target.lastingSpeed == 0.0)
        return coldSpeed;
    const double age = std::chrono::duration<double>(now - target.updatedAt).count();
    const double weight = std::exp(-age / recentSpeedLifetime);
    return target.lastingSpeed + weight * (target.recentSpeed - target.lastingSpeed);
}

double meanWork(const ServiceWork &service, std::string_view kind)
{
    auto found = service.kinds.find(kind);
    if (found == service.kinds.end())
        found = service.kinds.find(std::string_view());
    return found == service.kinds.end() ? service.all.ownTime : found->second.ownTime;
}

} // namespace chive
