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

/// What the router knows of the targets, service by service, and the decisions that rest on it:
/// whether to take a call on at all, which target runs it, and whether to try again.
class TargetChooser
{
public:
    TargetChooser(const ChoicePlugin &plugin, const Settings &settings);

    void setMembers(const std::vector<Member> &members);

    /// Tells which services the calls of each service lead to; a repeated run repeats its calls.
    void setMeshPressure(std::shared_ptr<const MeshPressure> mesh)
    {
        meshPressure_ = std::move(mesh);
    }

    /// Whether to refuse the call here because every target would. Counts the call as offered.
    [[nodiscard]] bool shouldShed(const Call &call, TimePoint now);

    /// The target for the next attempt, or null. Valid until the members change.
    [[nodiscard]] const Member *choose(const Call &call, const std::set<std::string> &tried,
                                       TimePoint now);

    /// An attempt is sent to a target.
    void noteSent(const Call &call, const std::string &nodeId, TimePoint now);

    /// One attempt that is over.
    struct EndedAttempt
    {
        std::string nodeId;
        TimePoint sentAt;
        const CallOutcome *outcome = nullptr;
        bool hasLoadReport = false; ///< The outcome came from the target's node.
    };
    void noteEnded(const Call &call, const EndedAttempt &ended, TimePoint now);

    /// The attempt was given up without an outcome.
    void noteAbandoned(const Call &call, const std::string &nodeId, TimePoint sentAt,
                       TimePoint now);

    /// Whether to try again elsewhere. True takes a retry from `left` and from the budget.
    [[nodiscard]] bool takeRetry(const Call &call, const CallOutcome &outcome,
                                 const std::set<std::string> &tried, Allowance &left,
                                 TimePoint now);

    /// Retries that may be made now towards each service, beyond the calls' own allowances.
    [[nodiscard]] std::map<std::string, double> retryBudgets() const;

private:
    struct ServiceState
    {
        ChoiceState choice;
        EntryShedState shed;
        RetryBudget budget;
    };

    /// The budgets that a repeated run of the call draws on besides that of its own service. None
    /// where nodes share no bound.
    [[nodiscard]] std::vector<RetryBudget *> downstreamBudgets(const Call &call);

    [[nodiscard]] std::vector<const Member *>
    usableMembersOf(const std::string &service, const std::set<std::string> &tried) const;
    [[nodiscard]] std::vector<Candidate>
    candidatesOf(const std::vector<const Member *> &members) const;

    const ChoicePlugin &plugin_;
    std::string dataCentre_;
    std::optional<Settings::RetryBound> retryBound_;
    std::optional<RetryBudgetLimits> retryLimits_; ///< From the bound and the count of members.
    std::shared_ptr<const MeshPressure> meshPressure_ = std::make_shared<const MeshPressure>();
    std::vector<Member> members_;
    std::map<std::string, ServiceState, std::less<>> services_;
};

} // namespace chive
