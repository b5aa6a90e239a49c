#pragma once

#include <LibNode/Call.h>
#include <LibNode/Messages.h>
#include <LibPolicy/Choice.h>
#include <LibPolicy/EntryShed.h>
#include <LibPolicy/Retry.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
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
    /// The attempts of a call until now.
    struct Attempts
    {
        std::size_t count = 0;
        std::set<std::string> excluded; ///< Ids of nodes that do not get the next attempt.
        /// Ids of those of them whose targets rejected the call. It may be sent there again.
        std::set<std::string> rejecting;
    };

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
    [[nodiscard]] const Member *choose(const Call &call, const Attempts &attempts, TimePoint now);

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

    enum class RetryPlan : std::uint8_t {
        None,
        OtherTarget,
        RejectingTargets, ///< Those that have rejected the call, after a pause.
        AwaitToken,       ///< To ask again after a pause, as there is no token for the retry now.
    };

    /// Whether and where to retry. A retry is taken from the service's budget and, at another
    /// target, from `left`; if the call may have run, tokens also from the downstream budgets.
    [[nodiscard]] RetryPlan takeRetry(const Call &call, const CallOutcome &outcome,
                                      const Attempts &attempts, Allowance &left, TimePoint now);

    /// The number of retries that the budget of each service allows now. A retry also needs the
    /// allowance of its call.
    [[nodiscard]] std::map<std::string, double> retryBudgets() const;

    /// For each service what the policy "least-work" knows of its targets; empty with another one.
    [[nodiscard]] nlohmann::json placing(TimePoint now) const;

private:
    struct ServiceState
    {
        ChoiceState choice;
        EntryShedState shed;
        RetryBudget budget;
    };

    /// The state of the service, which is created when it is first needed.
    [[nodiscard]] ServiceState &stateOf(const std::string &service);

    /// Takes a retry at one of the targets, which are those of the plan; false if there is none or
    /// it is not allowed.
    [[nodiscard]] bool takeRetryAt(std::vector<const Member *> targets, RetryPlan plan,
                                   const Call &call, const CallOutcome &outcome, Allowance &left,
                                   TimePoint now);

    /// Whether a call that targets rejected waits for a token, so that its tree is completed. Only
    /// where the roots are limited, since otherwise the tokens do not suffice for those that wait.
    [[nodiscard]] bool mayAwaitToken(const Call &call, TimePoint now);

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
