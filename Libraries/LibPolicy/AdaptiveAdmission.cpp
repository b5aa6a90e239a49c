#include <LibPolicy/Admission.h>

#include <algorithm>
#include <array>

/// The default admission policy: an adaptive concurrency limit, a short queue for each duration
/// ordered by importance and then deadline, a share of the slots for long work, and immediate
/// refusal of work that cannot finish before its deadline.
namespace chive {

namespace {

constexpr std::size_t smallestQueue = 4;
/// Maximum queue lengths of short work by importance, in multiples of the concurrency limit.
/// Important work may wait longer, so that a burst of its own kind does not cause refusals.
constexpr std::array<std::size_t, importanceLevels> queueRounds{6, 4, 3, 2};
/// Refusing a nested call wastes the work already done for its call tree, so nested work waits as
/// long as its deadline allows. This bound only limits memory.
constexpr std::size_t nestedQueueRounds = 20;
/// One round of long work takes much of the deadline; work that waits for a second round would
/// finish too late.
constexpr std::size_t longQueueRounds = 1;
constexpr Milliseconds admittedLevelHold{100}; ///< How long a lowered level is reported.
constexpr Milliseconds shortestRetryAfter{100};
constexpr Milliseconds longestRetryAfter{5'000};

bool isLong(const WorkAttributes &attributes)
{
    return attributes.duration == Duration::Long;
}

std::uint32_t longSlots(const AdmissionState &state)
{
    return std::max(1U, currentLimit(state.limit) * state.settings.longSharePercent / 100);
}

/// Slots left for short work while the running long work keeps its slots.
std::uint32_t shortSlots(const AdmissionState &state)
{
    const std::uint32_t limit = currentLimit(state.limit);
    return std::max(1U, limit - std::min(limit - 1, state.longRunning));
}

bool hasFreeSlot(const AdmissionState &state, Duration duration)
{
    if (state.running.size() >= currentLimit(state.limit))
        return false;
    return duration == Duration::Short || state.longRunning < longSlots(state);
}

bool comesBefore(const QueuedWork &left, const QueuedWork &right)
{
    if (left.attributes.importance != right.attributes.importance)
        return left.attributes.importance < right.attributes.importance;
    if (left.attributes.isNested != right.attributes.isNested)
        return left.attributes.isNested;
    if (left.attributes.deadline != right.attributes.deadline)
        return left.attributes.deadline < right.attributes.deadline;
    return left.arrival < right.arrival;
}

std::chrono::nanoseconds fromMilliseconds(double milliseconds)
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(milliseconds * 1e6));
}

/// An optimistic estimate of the time that work of this kind takes on the target; 0 before the
/// first sample. The lower quartile is used because latencies of one kind vary widely: nested calls
/// of important requests are preferred by the services below.
std::chrono::nanoseconds leastServiceTime(const AdmissionState &state,
                                          const WorkAttributes &attributes)
{
    return fromMilliseconds(latencyOf(state, attributes).lowerQuartile.value);
}

/// Whether no work of this duration is running. An idle target accepts work whatever the estimate
/// says; otherwise a wrong estimate would never be corrected.
bool isIdle(const AdmissionState &state, Duration duration)
{
    const std::size_t shortRunning = state.running.size() - state.longRunning;
    return duration == Duration::Long ? state.longRunning == 0 : shortRunning == 0;
}

/// Estimated wait before this work starts: the work ahead of it, in rounds of the slots of its
/// duration, times the average latency.
std::chrono::nanoseconds waitingTime(const AdmissionState &state, const QueuedWork &work)
{
    std::size_t ahead = 0;
    for (const QueuedWork &other : state.queue) {
        if (other.attributes.duration == work.attributes.duration && comesBefore(other, work))
            ++ahead;
    }
    const double slots = isLong(work.attributes) ? longSlots(state) : shortSlots(state);
    const double latency = isLong(work.attributes) ? state.longLatency : state.shortLatency;
    return fromMilliseconds(static_cast<double>(ahead + 1) * latency / slots);
}

/// Maximum number of queued items of at least this importance.
std::size_t queueCapacity(const AdmissionState &state, const WorkAttributes &attributes)
{
    if (isLong(attributes))
        return longQueueRounds * std::max<std::size_t>(smallestQueue, longSlots(state));
    const std::size_t rounds
            = attributes.isNested ? nestedQueueRounds
                                  : queueRounds[static_cast<std::size_t>(attributes.importance)];
    return rounds * std::max<std::size_t>(smallestQueue, currentLimit(state.limit));
}

/// Number of queued items of the same duration that are at least as important.
std::size_t queuedAtLeast(const AdmissionState &state, const WorkAttributes &attributes)
{
    return static_cast<std::size_t>(std::ranges::count_if(state.queue, [&](const QueuedWork &work) {
        return work.attributes.duration == attributes.duration
               && work.attributes.importance <= attributes.importance;
    }));
}

std::size_t queuedCount(const AdmissionState &state, Duration duration)
{
    return static_cast<std::size_t>(std::ranges::count_if(state.queue, [=](const QueuedWork &work) {
        return work.attributes.duration == duration;
    }));
}

Verdict overloaded(const AdmissionState &state, const WorkAttributes &attributes)
{
    Verdict verdict = notRun(Reason::Overloaded, "the target is at its limit");
    const auto estimate = std::chrono::duration_cast<Milliseconds>(
            10 * fromMilliseconds(latencyOf(state, attributes).mean));
    verdict.retryAfter = std::clamp(estimate, shortestRetryAfter, longestRetryAfter);
    return verdict;
}

/// Reports, after work of this importance was refused, that only more important work is admitted.
void lowerAdmittedLevel(AdmissionState &state, const WorkAttributes &attributes, TimePoint now)
{
    if (isLong(attributes))
        return;
    const auto importance = static_cast<std::uint8_t>(attributes.importance);
    const std::uint8_t level = importance == 0 ? 0 : importance - 1;
    if (now >= state.admittedLevelUntil || level <= state.admittedLevel) {
        state.admittedLevel = level;
        state.admittedLevelUntil = now + admittedLevelHold;
    }
}

OfferDecision refuse(AdmissionState &state, const WorkAttributes &attributes, TimePoint now)
{
    lowerAdmittedLevel(state, attributes, now);
    return {AdmissionAction::Refuse, overloaded(state, attributes), {}};
}

/// The queued work of this duration that would start last, or end().
std::vector<QueuedWork>::iterator lastQueuedOf(AdmissionState &state, Duration duration)
{
    const auto found
            = std::find_if(state.queue.rbegin(), state.queue.rend(), [=](const QueuedWork &work) {
                  return work.attributes.duration == duration;
              });
    return found == state.queue.rend() ? state.queue.end() : std::prev(found.base());
}

void enqueue(AdmissionState &state, const QueuedWork &work)
{
    const auto position
            = std::upper_bound(state.queue.begin(), state.queue.end(), work, comesBefore);
    state.queue.insert(position, work);
}

OfferDecision offerAdaptive(AdmissionState &state, const WorkAttributes &attributes,
                            WorkToken token, TimePoint now)
{
    if (attributes.deadline <= now)
        return {AdmissionAction::Refuse, notRun(Reason::DeadlineExceeded), {}};

    const QueuedWork work{token, attributes, state.arrivals++};
    const Duration duration = attributes.duration;
    if (!isIdle(state, duration) && now + leastServiceTime(state, attributes) > attributes.deadline)
        return {AdmissionAction::Refuse,
                notRun(Reason::DeadlineExceeded, "it would end too late"),
                {}};
    if (hasFreeSlot(state, duration) && queuedCount(state, duration) == 0) {
        markRunning(state, token, duration);
        return {};
    }

    const auto end = now + waitingTime(state, work) + leastServiceTime(state, attributes);
    if (end > attributes.deadline)
        return refuse(state, attributes, now);

    if (queuedAtLeast(state, attributes) >= queueCapacity(state, attributes))
        return refuse(state, attributes, now);
    OfferDecision decision{AdmissionAction::Queue, {}, {}};
    const auto last = lastQueuedOf(state, duration);
    const bool isLastLessImportant
            = last != state.queue.end() && last->attributes.importance > attributes.importance;
    if (isLastLessImportant
        && queuedCount(state, duration) >= queueCapacity(state, {Importance::Low, duration, {}})) {
        lowerAdmittedLevel(state, last->attributes, now);
        decision.evicted.push_back({last->token, overloaded(state, last->attributes)});
        state.queue.erase(last);
    }
    enqueue(state, work);
    return decision;
}

void dropExpired(AdmissionState &state, StartDecision &decision, TimePoint now)
{
    std::erase_if(state.queue, [&](const QueuedWork &work) {
        const Duration duration = work.attributes.duration;
        const auto needed = isIdle(state, duration) ? std::chrono::nanoseconds(0)
                                                    : leastServiceTime(state, work.attributes);
        if (now + needed < work.attributes.deadline)
            return false;
        lowerAdmittedLevel(state, work.attributes, now);
        decision.expired.push_back(
                {work.token, notRun(Reason::DeadlineExceeded, "expired in the queue")});
        return true;
    });
}

/// The next queued work that has a free slot, or end(). Long work below its share precedes short
/// work of the same importance; otherwise a steady load of short work would starve it.
std::vector<QueuedWork>::iterator nextToStart(AdmissionState &state)
{
    const auto firstOf = [&](Duration duration) {
        if (!hasFreeSlot(state, duration))
            return state.queue.end();
        return std::ranges::find_if(state.queue, [=](const QueuedWork &work) {
            return work.attributes.duration == duration;
        });
    };
    const auto longWork = firstOf(Duration::Long);
    const auto shortWork = firstOf(Duration::Short);
    if (longWork == state.queue.end())
        return shortWork;
    if (shortWork == state.queue.end())
        return longWork;
    const bool isShortMoreImportant
            = shortWork->attributes.importance < longWork->attributes.importance;
    return isShortMoreImportant ? shortWork : longWork;
}

StartDecision startAdaptive(AdmissionState &state, TimePoint now)
{
    StartDecision decision;
    dropExpired(state, decision, now);
    for (auto next = nextToStart(state); next != state.queue.end(); next = nextToStart(state)) {
        markRunning(state, next->token, next->attributes.duration);
        decision.started.push_back(next->token);
        state.queue.erase(next);
    }
    return decision;
}

const Registration<AdmissionPlugin> registration{{"adaptive", offerAdaptive, startAdaptive}};

} // namespace

} // namespace chive
