#include <LibPolicy/Admission.h>

/// Two admission policies that serve as baselines in measurements of the default one.
namespace chive {

namespace {

constexpr std::size_t fifoQueuePerSlot = 10;

OfferDecision offerWithoutControl(AdmissionState &state, const WorkAttributes &attributes,
                                  WorkToken token, TimePoint)
{
    markRunning(state, token, attributes.duration);
    return {};
}

StartDecision startNothing(AdmissionState &, TimePoint)
{
    return {};
}

OfferDecision offerFifo(AdmissionState &state, const WorkAttributes &attributes, WorkToken token,
                        TimePoint)
{
    if (state.queue.empty() && state.running.size() < state.settings.slots) {
        markRunning(state, token, attributes.duration);
        return {};
    }
    if (state.queue.size() >= fifoQueuePerSlot * state.settings.slots)
        return {AdmissionAction::Refuse, notRun(Reason::Overloaded, "the queue is full"), {}};
    state.queue.push_back({token, attributes, state.arrivals++});
    return {AdmissionAction::Queue, {}, {}};
}

StartDecision startFifo(AdmissionState &state, TimePoint now)
{
    StartDecision decision;
    while (!state.queue.empty() && state.running.size() < state.settings.slots) {
        const QueuedWork work = state.queue.front();
        state.queue.erase(state.queue.begin());
        if (work.attributes.deadline <= now) {
            decision.expired.push_back(
                    {work.token, notRun(Reason::DeadlineExceeded, "expired in the queue")});
            continue;
        }
        markRunning(state, work.token, work.attributes.duration);
        decision.started.push_back(work.token);
    }
    return decision;
}

const Registration<AdmissionPlugin> none{{"none", offerWithoutControl, startNothing}};
const Registration<AdmissionPlugin> fixedFifo{{"fixed-fifo", offerFifo, startFifo}};

} // namespace

} // namespace chive
