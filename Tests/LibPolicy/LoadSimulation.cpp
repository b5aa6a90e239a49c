#include "LoadSimulation.h"
#include "SimulationState.h"

#include <LibPolicy/Choice.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <numbers>
#include <numeric>
#include <queue>
#include <random>

namespace chive {

namespace {

class Simulation
{
public:
    explicit Simulation(const SimulationSettings &settings)
        : settings_(settings)
        , random_(settings.seed)
        , plugin_(Registry<ChoicePlugin>::find(settings.policy))
        , choosers_(settings.choosers)
    {
        for (std::size_t i = 0; i < settings.speeds.size(); ++i) {
            SimulatedTarget target;
            target.id = "t" + std::to_string(i);
            target.speed = settings.speeds[i];
            target.dataCentre = i % settings.dataCentres;
            target.slowFrom = uniform(0.0, noisePause + noiseLength);
            targets_.push_back(std::move(target));
        }
        for (std::size_t i = 0; i < choosers_.size(); ++i)
            choosers_[i].random.seed(settings.seed * 1'000 + static_cast<std::uint32_t>(i));
    }

    SimulationResult run()
    {
        for (std::size_t i = 0; i < settings_.dataCentres; ++i)
            scheduleRequest(i);
        events_.push({1.0, Event::Type::Window, 0});
        const double end = settings_.warmUp + settings_.duration;
        while (!events_.empty() && events_.top().at < end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            handle(event);
        }
        return result();
    }

private:
    double uniform(double from, double until)
    {
        return std::uniform_real_distribution<double>(from, until)(random_);
    }

    [[nodiscard]] TimePoint time(double seconds) const
    {
        return TimePoint(std::chrono::hours(1))
               + std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9));
    }

    [[nodiscard]] bool isFaulty(std::size_t target) const
    {
        return settings_.fault && settings_.fault->target == target && now_ >= settings_.fault->from
               && now_ < settings_.fault->until;
    }

    [[nodiscard]] bool isAbsent(std::size_t target) const
    {
        return isFaulty(target) && settings_.fault->type == SimulatedFault::Type::Absent;
    }

    /// The present speed of a target, without its variation near its limit.
    [[nodiscard]] double speedAt(std::size_t index) const
    {
        const SimulatedTarget &target = targets_[index];
        double speed = target.speed;
        const double phase = std::fmod(now_ + target.slowFrom, noisePause + noiseLength);
        if (settings_.hasNoise && phase < noiseLength)
            speed /= noiseFactor;
        if (!settings_.fault || settings_.fault->target != index)
            return speed;
        const SimulatedFault &fault = *settings_.fault;
        const bool isSlow = fault.type == SimulatedFault::Type::Slow
                            || fault.type == SimulatedFault::Type::FalseLoad;
        if (isSlow && isFaulty(index))
            speed /= 5.0;
        if (fault.type == SimulatedFault::Type::Absent && now_ >= fault.until
            && now_ < fault.until + coldTime)
            speed /= 2.0;
        return speed;
    }

    /// Poisson arrivals whose rate follows the demand of the data centre.
    void scheduleRequest(std::size_t dataCentre)
    {
        const double mean
                = requestsPerSecond(settings_) / static_cast<double>(settings_.dataCentres);
        const double largest = mean * (1.0 + settings_.swing);
        double at = now_;
        double demand = 0.0;
        do {
            at += std::exponential_distribution<double>(largest)(random_);
            const double phase = at / swingPeriod
                                 + static_cast<double>(dataCentre)
                                           / static_cast<double>(settings_.dataCentres);
            demand = mean * (1.0 + settings_.swing * std::sin(2.0 * std::numbers::pi * phase));
        } while (uniform(0.0, largest) > demand);
        events_.push({at, Event::Type::Request, dataCentre});
    }

    void handle(const Event &event)
    {
        switch (event.type) {
        case Event::Type::Request:
            scheduleRequest(event.index);
            send(event.index);
            return;
        case Event::Type::Arrival:
            arrive(event.index);
            return;
        case Event::Type::End:
            end(event.index);
            return;
        case Event::Type::Answer:
            answer(event.index);
            return;
        case Event::Type::Window:
            endWindow();
            return;
        }
    }

    void send(std::size_t dataCentre)
    {
        SimulatedCall call;
        const std::size_t perCentre = settings_.choosers / settings_.dataCentres;
        call.chooser = dataCentre + settings_.dataCentres * (random_() % perCentre);
        call.kind = drawKind(settings_.kinds, random_);
        call.work = drawWork(settings_.kinds[call.kind], random_);
        call.sentAt = now_;
        call.target = plugin_ == nullptr ? chooseWithPerfectKnowledge(dataCentre, call.kind)
                                         : chooseByPolicy(dataCentre, call);
        SimulatedTarget &target = targets_[call.target];
        ++target.coming;
        noteSent(choosers_[call.chooser], target.id, Duration::Short, time(now_));
        countSent(call, dataCentre);
        calls_.push_back(call);
        events_.push({now_ + delay(dataCentre, target), Event::Type::Arrival, calls_.size() - 1});
    }

    void countSent(const SimulatedCall &call, std::size_t dataCentre)
    {
        if (now_ >= settings_.warmUp) {
            ++sent_;
            if (targets_[call.target].dataCentre != dataCentre)
                ++sentToOthers_;
        }
        if (settings_.fault && isFaulty(settings_.fault->target)
            && now_ > settings_.fault->from + 1.0) {
            ++sentInFault_;
            if (call.target == settings_.fault->target)
                ++sentToFaulty_;
        }
    }

    [[nodiscard]] double delay(std::size_t dataCentre, const SimulatedTarget &target) const
    {
        return (target.dataCentre == dataCentre ? settings_.nearDelay : settings_.otherDelay)
               / 1000.0;
    }

    std::size_t chooseByPolicy(std::size_t dataCentre, const SimulatedCall &call)
    {
        std::vector<Candidate> candidates;
        std::vector<std::size_t> indices;
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            if (isAbsent(i))
                continue;
            candidates.push_back({targets_[i].id, targets_[i].dataCentre == dataCentre, false});
            indices.push_back(i);
        }
        ChoiceState &state = choosers_[call.chooser];
        if (state.targets.size() > candidates.size())
            retainTargets(state, candidates);
        ChoiceRequest request;
        request.kind = settings_.kinds[call.kind].name;
        return indices.at(*plugin_->choose(state, candidates, request, time(now_)));
    }

    /// Exact time until a call that is sent now would start, if the speed does not change.
    [[nodiscard]] double exactWait(std::size_t index) const
    {
        const SimulatedTarget &target = targets_[index];
        if (target.running.size() + target.queue.size() + target.coming < settings_.slots)
            return 0.0;
        std::priority_queue<double, std::vector<double>, std::greater<>> freeAt;
        for (std::size_t i = target.running.size(); i < settings_.slots; ++i)
            freeAt.push(now_);
        for (const std::size_t call : target.running)
            freeAt.push(calls_[call].endsAt);
        const auto add = [&](double work) {
            const double start = freeAt.top();
            freeAt.pop();
            freeAt.push(start + work / speedAt(index) / 1000.0);
        };
        for (const std::size_t call : target.queue)
            add(calls_[call].work);
        for (std::size_t i = 0; i < target.coming; ++i)
            add(settings_.kinds.front().meanWork);
        return freeAt.top() - now_;
    }

    [[nodiscard]] static double heldBy(const SimulatedTarget &target)
    {
        return static_cast<double>(target.running.size() + target.queue.size() + target.coming);
    }

    [[nodiscard]] double meanHeld() const
    {
        double held = 0.0;
        for (const SimulatedTarget &target : targets_)
            held += heldBy(target);
        return held / static_cast<double>(targets_.size());
    }

    std::size_t chooseWithPerfectKnowledge(std::size_t dataCentre, std::size_t kind)
    {
        const double bound = settings_.policy == "perfect" ? evenness * meanHeld() : infinity;
        std::size_t best = 0;
        bool isBestEven = false;
        double least = infinity;
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            if (isAbsent(i))
                continue;
            const double cost = exactWait(i) + settings_.kinds[kind].meanWork / speedAt(i) / 1000.0
                                + 2.0 * delay(dataCentre, targets_[i]);
            const bool isEven = heldBy(targets_[i]) < std::max(bound, 1.0);
            if (std::pair(!isEven, cost) < std::pair(!isBestEven, least)) {
                least = cost;
                best = i;
                isBestEven = isEven;
            }
        }
        return best;
    }

    void arrive(std::size_t index)
    {
        SimulatedTarget &target = targets_[calls_[index].target];
        integrate(target);
        --target.coming;
        if (target.running.size() < settings_.slots)
            start(index);
        else
            target.queue.push_back(index);
    }

    void start(std::size_t index)
    {
        SimulatedCall &call = calls_[index];
        SimulatedTarget &target = targets_[call.target];
        call.startedAt = now_;
        call.endsAt = now_ + call.work / speedAt(call.target) / 1000.0;
        if (now_ >= settings_.warmUp)
            target.workDone += call.work;
        target.running.push_back(index);
        events_.push({call.endsAt, Event::Type::End, index});
    }

    void end(std::size_t index)
    {
        SimulatedCall &call = calls_[index];
        SimulatedTarget &target = targets_[call.target];
        integrate(target);
        std::erase(target.running, index);
        addServiceTime(target.estimate, settings_.kinds[call.kind].name,
                       (now_ - call.startedAt) * 1000.0, 0.0, time(now_));
        if (!target.queue.empty()) {
            const std::size_t next = target.queue.front();
            target.queue.pop_front();
            start(next);
        }
        call.load = reportOf(call);
        events_.push({now_ + delay(call.chooser % settings_.dataCentres, target),
                      Event::Type::Answer, index});
    }

    [[nodiscard]] TargetLoad reportOf(const SimulatedCall &call) const
    {
        const SimulatedTarget &target = targets_[call.target];
        std::vector<RunningCall> running;
        for (const std::size_t index : target.running)
            running.push_back({settings_.kinds[calls_[index].kind].name,
                               (now_ - calls_[index].startedAt) * 1000.0, 0.0});
        std::vector<std::string_view> queued;
        for (const std::size_t index : target.queue)
            queued.emplace_back(settings_.kinds[calls_[index].kind].name);
        TargetLoad load;
        load.inFlight = static_cast<std::uint32_t>(running.size());
        load.queued = static_cast<std::uint32_t>(queued.size());
        load.limit = static_cast<std::uint32_t>(settings_.slots);
        load.work = reportWork(target.estimate, running, queued, load.limit,
                               settings_.kinds[call.kind].name, time(now_));
        if (isFaulty(call.target) && settings_.fault->type == SimulatedFault::Type::FalseLoad) {
            load.inFlight = load.queued = 0;
            load.work = WorkReport{0, 100};
        }
        if (isFaulty(call.target) && settings_.fault->type == SimulatedFault::Type::NoReports)
            load.work.reset();
        return load;
    }

    void answer(std::size_t index)
    {
        const SimulatedCall &call = calls_[index];
        ObservedOutcome end{time(call.sentAt), Duration::Short, true, false, call.load, {}};
        end.kind = settings_.kinds[call.kind].name;
        if (plugin_ != nullptr)
            noteEnded(choosers_[call.chooser], targets_[call.target].id, end, time(now_));
        if (call.sentAt >= settings_.warmUp)
            latencies_.push_back((now_ - call.sentAt) * 1000.0);
    }

    void integrate(SimulatedTarget &target) const
    {
        const auto held = static_cast<double>(target.running.size() + target.queue.size());
        target.occupied += held * (now_ - target.occupiedAt);
        target.occupiedAt = now_;
    }

    void endWindow()
    {
        double sum = 0.0;
        double largest = 0.0;
        for (SimulatedTarget &target : targets_) {
            integrate(target);
            sum += target.occupied;
            largest = std::max(largest, target.occupied);
            target.occupied = 0.0;
        }
        const double ratio = largest * static_cast<double>(targets_.size()) / sum;
        if (settings_.fault && now_ > settings_.fault->until + 1.0
            && now_ < settings_.fault->until + 6.0)
            peakAfterFault_ = std::max(peakAfterFault_, ratio);
        events_.push({now_ + 1.0, Event::Type::Window, 0});
    }

    SimulationResult result()
    {
        SimulationResult result;
        result.calls = latencies_.size();
        result.mean = std::accumulate(latencies_.begin(), latencies_.end(), 0.0)
                      / static_cast<double>(latencies_.size());
        const auto position
                = latencies_.begin() + static_cast<std::ptrdiff_t>(latencies_.size() * 99 / 100);
        std::nth_element(latencies_.begin(), position, latencies_.end());
        result.p99 = *position;
        double sum = 0.0;
        for (const SimulatedTarget &target : targets_) {
            sum += target.workDone / target.speed;
            result.busiest = std::max(result.busiest, target.workDone / target.speed);
        }
        result.busiest *= static_cast<double>(targets_.size()) / sum;
        result.otherShare = static_cast<double>(sentToOthers_) / static_cast<double>(sent_);
        result.peakAfterFault = peakAfterFault_;
        if (sentInFault_ > 0)
            result.shareInFault = static_cast<double>(sentToFaulty_ * targets_.size())
                                  / static_cast<double>(sentInFault_);
        return result;
    }

    const SimulationSettings &settings_;
    std::minstd_rand random_;
    const ChoicePlugin *plugin_ = nullptr; ///< Null for perfect knowledge.
    std::vector<ChoiceState> choosers_;
    std::vector<SimulatedTarget> targets_;
    std::vector<SimulatedCall> calls_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<double> latencies_;
    double now_ = 0.0;
    std::size_t sent_ = 0;
    std::size_t sentToOthers_ = 0;
    std::size_t sentInFault_ = 0;
    std::size_t sentToFaulty_ = 0;
    double peakAfterFault_ = 0.0;
};

} // namespace

SimulationResult simulate(const SimulationSettings &settings)
{
    return Simulation(settings).run();
}

} // namespace chive
