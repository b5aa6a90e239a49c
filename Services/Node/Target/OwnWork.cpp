#include <Node/Target/OwnWork.h>

#include <utility>
#include <vector>

namespace chive {

namespace {

double inMilliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

OwnWork::OwnWork(bool isActive, CallContexts &contexts)
    : isActive_(isActive)
    , contexts_(contexts)
{
    if (isActive)
        contexts.measureWaits();
}

void OwnWork::noteStarted(WorkToken token, std::shared_ptr<const Call> call,
                          const std::string &contextId, TimePoint now)
{
    if (isActive_)
        runs_.insert_or_assign(token, Run{std::move(call), contextId, now});
}

void OwnWork::noteEnded(WorkToken token, EndedRun end, TimePoint now)
{
    const auto found = runs_.find(token);
    if (found == runs_.end())
        return;
    const RunningCall call = measure(found->second, now);
    if (end == EndedRun::Served)
        addServiceTime(estimate_, call.kind, call.ownMilliseconds, call.waitedMilliseconds, now);
    runs_.erase(found);
}

RunningCall OwnWork::measure(const Run &run, TimePoint now) const
{
    const std::chrono::nanoseconds waited = contexts_.waitOf(run.contextId, now);
    return {run.call->kind, inMilliseconds(now - run.startedAt - waited), inMilliseconds(waited)};
}

std::optional<WorkReport> OwnWork::report(const AdmissionState &admission, std::string_view kind,
                                          TimePoint now) const
{
    if (!isActive_)
        return std::nullopt;
    std::vector<RunningCall> running;
    running.reserve(runs_.size());
    for (const auto &[token, run] : runs_)
        running.push_back(measure(run, now));
    std::vector<std::string_view> queuedKinds;
    queuedKinds.reserve(admission.queue.size());
    for (const QueuedWork &work : admission.queue)
        queuedKinds.emplace_back(work.attributes.kind);
    return reportWork(estimate_, running, queuedKinds, currentLimit(admission.limit), kind, now);
}

} // namespace chive
