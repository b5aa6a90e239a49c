#pragma once

#include <LibNode/Call.h>
#include <LibNode/Messages.h>
#include <LibPolicy/Choice.h>
#include <LibPolicy/EntryShed.h>
#include <LibPolicy/Retry.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chive {

/// The state of the targets of each service as this node observes it, and the decisions based on
/// it: whether to shed a call, which target gets an attempt, and whether to retry.
class TargetChooser
{
public:
    TargetChooser(const ChoicePlugin &plugin, const Settings &settings);

    void setMembers(const std::vector<Member> &members);

    /// Sets the downstream services of each service; a repeated call repeats its nested calls
    /// there.
    void setMeshPressure(std::shared_ptr<const MeshPressure> mesh)
    {
        meshPressure_ = std::move(mesh);
    }

    /// Whether to refuse the call at this node because every target would refuse it. Counts the
    /// call as offered. Always false for nested calls.
    [[nodiscard]] bool shouldShed(const Call &call, TimePoint now);

    /// The target for the next attempt, or null if there is none. Valid until setMembers() is
    /// called.
    [[nodiscard]] const Member *choose(const Call &call, const std::set<std::string> &tried,
                                       TimePoint now);

    /// Records that an attempt is sent to a target.
    void noteSent(const Call &call, const std::string &nodeId, TimePoint now);

    /// An attempt that has an outcome.
    struct EndedAttempt
    {
        std::string nodeId;
        TimePoint sentAt;
        const CallOutcome *outcome = nullptr;
        bool hasLoadReport = false; ///< The outcome holds a load report of the target's node.
    };
    void noteEnded(const Call &call, const EndedAttempt &ended, TimePoint now);

    /// Records that an attempt was abandoned without an outcome.
    void noteAbandoned(const Call &call, const std::string &nodeId, TimePoint sentAt,
                       TimePoint now);

    /// Whether to retry on another target. If true, one retry is taken from `left` and from the
    /// service's budget, and if the call may have run, tokens from the downstream budgets.
    [[nodiscard]] bool takeRetry(const Call &call, const CallOutcome &outcome,
                                 const std::set<std::string> &tried, Allowance &left,
                                 TimePoint now);

    /// The number of retries that the budget of each service allows now. A retry also needs the
    /// allowance of its call.
    [[nodiscard]] std::map<std::string, double> retryBudgets() const;

private:
    struct ServiceState
    {
        ChoiceState choice;
        EntryShedState shed;
        RetryBudget budget;
    };

    /// The budgets of the downstream services, which a repeated call also draws on. Empty if no
    /// retry bound is set.
    [[nodiscard]] std::vector<RetryBudget *> downstreamBudgets(const Call &call);

    [[nodiscard]] std::vector<const Member *>
    usableMembersOf(const std::string &service, const std::set<std::string> &tried) const;
    [[nodiscard]] std::vector<Candidate>
    candidatesOf(const std::vector<const Member *> &members) const;

    const ChoicePlugin &plugin_;
    std::string dataCentre_;
    std::optional<Settings::RetryBound> retryBound_;
    std::optional<RetryBudgetLimits> retryLimits_; ///< From the bound and the number of members.
    std::shared_ptr<const MeshPressure> meshPressure_ = std::make_shared<const MeshPressure>();
    std::vector<Member> members_;
    std::map<std::string, ServiceState, std::less<>> services_;
};

} // namespace chive
