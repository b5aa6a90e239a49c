#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibNode/Call.h>
#include <LibNode/Messages.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace chive {

/// What remains of a call's context after the target has finished the call.
struct ClosedContext
{
    Allowance unspent;
    bool hasNestedFailure = false; ///< A nested call got no answer or a server error.
};

/// The calls that the local target is running, each with its remaining allowance. The allowance is
/// kept here and never sent in headers, so a target that drops, forges or repeats the Chive-Call
/// header cannot increase it.
class CallContexts
{
public:
    /// Opens the context of a call that is about to run. Returns the context id, which is the value
    /// of the call's Chive-Call header.
    [[nodiscard]] std::string open(std::shared_ptr<const Call> call);

    /// Closes the context. A nested call that names it later is treated like one with an unknown
    /// id. Returns an empty result for an unknown id.
    ClosedContext close(std::string_view contextId);

    /// Adds `nested` to the call tree of the context `contextId` and reserves part of the context's
    /// allowance for it. A nested call with the fingerprint of an earlier one counts as a retry. An
    /// unknown or empty id charges the running call with the fewest remaining nested calls; if no
    /// call is running, the nested call becomes the root of a new tree without retries. Returns the
    /// id of the charged context, empty for a new tree, or the verdict AllowanceSpent.
    [[nodiscard]] Judged<std::string> beginNestedCall(std::string_view contextId, Call &nested);

    /// Records the end of a nested call and returns the unspent part of `reserved` to the context.
    void endNestedCall(std::string_view contextId, const Allowance &reserved,
                       const CallOutcome &outcome);

    /// Measures from now on how long calls wait for their nested calls. Nothing is measured before.
    void measureWaits() { measuresWaits_ = true; }

    /// A nested call of the context is on its way, or has ended. Nested calls that overlap count
    /// once.
    void beginWait(std::string_view contextId, TimePoint now);
    void endWait(std::string_view contextId, TimePoint now);

    /// How long the call has waited for nested calls; zero for an unknown id.
    [[nodiscard]] std::chrono::nanoseconds waitOf(std::string_view contextId, TimePoint now) const;

    /// The number of open contexts.
    [[nodiscard]] std::size_t size() const { return contexts_.size(); }

private:
    struct Context
    {
        std::shared_ptr<const Call> call;
        Allowance remaining;
        std::set<std::string> nestedFingerprints;
        bool hasNestedFailure = false;
        std::uint32_t nestedInFlight = 0;
        TimePoint waitingSince; ///< While a nested call is in flight.
        std::chrono::nanoseconds waited{0};
    };

    using Contexts = std::map<std::string, Context, std::less<>>;

    /// The context with this id, otherwise the one with the fewest remaining nested calls.
    [[nodiscard]] Contexts::iterator findContextToCharge(std::string_view contextId);

    Contexts contexts_;
    bool measuresWaits_ = false;
};

} // namespace chive
