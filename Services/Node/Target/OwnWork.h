#pragma once

#include <LibNode/Call.h>
#include <LibPolicy/Admission.h>
#include <LibPolicy/TargetWork.h>
#include <Node/CallContexts.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace chive {

/// The work of the local target, learned from its calls and reported with its answers. Inactive
/// unless the node chooses targets by work; then it takes no time and reports nothing.
class OwnWork
{
public:
    OwnWork(bool isActive, CallContexts &contexts);

    void noteStarted(WorkToken token, std::shared_ptr<const Call> call,
                     const std::string &contextId, TimePoint now);

    enum class EndedRun : std::uint8_t {
        Served,
        NotServed, ///< Its time does not show the work of its kind.
    };
    /// Must be called while the context is open. Ignored if the call has not started.
    void noteEnded(WorkToken token, EndedRun end, TimePoint now);

    [[nodiscard]] std::optional<WorkReport> report(const AdmissionState &admission,
                                                   std::string_view kind, TimePoint now) const;

private:
    struct Run
    {
        std::shared_ptr<const Call> call;
        std::string contextId;
        TimePoint startedAt;
    };

    [[nodiscard]] RunningCall measure(const Run &run, TimePoint now) const;

    bool isActive_;
    const CallContexts &contexts_;
    WorkEstimate estimate_;
    std::map<WorkToken, Run> runs_;
};

} // namespace chive
