#pragma once

#include <LibCore/Result.h>
#include <LibNode/Call.h>
#include <LibNode/Messages.h>

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace chive {

/// What a call that the target ran leaves behind.
struct ClosedContext
{
    Allowance unspent;
    bool hasNestedFailure = false; ///< A nested call got no answer, or a server error.
};

/// The calls that the target beside this node runs now, each with what is left of its allowance.
/// The allowance stays here and never in headers, so a target that drops, forges or repeats the
/// Chive-Call header cannot gain any.
class CallContexts
{
public:
    /// Opens the context of a call that is about to run. Returns its Chive-Call header.
    [[nodiscard]] std::string open(std::shared_ptr<const Call> call);

    /// Closes it; nested calls that come later are refused.
    ClosedContext close(std::string_view contextId);

    /// Makes `nested` part of the tree of the call that `name` names, and lends it a part of the
    /// allowance. A nested call equal to an earlier one counts as a retry. An unknown or empty
    /// name is charged to the running call that has least left; without any running call the
    /// nested call starts a tree of its own that may not retry. Returns the name that was charged,
    /// empty for a tree of its own; the verdict is AllowanceSpent.
    [[nodiscard]] Judged<std::string> beginNestedCall(std::string_view contextId, Call &nested);

    /// A nested call ended: takes back what it did not spend.
    void endNestedCall(std::string_view contextId, const Allowance &lent,
                       const CallOutcome &outcome);

    [[nodiscard]] std::size_t size() const { return contexts_.size(); }

private:
    struct Context
    {
        std::shared_ptr<const Call> call;
        Allowance remaining;
        std::set<std::string> nestedFingerprints;
        bool hasNestedFailure = false;
    };

    using Contexts = std::map<std::string, Context, std::less<>>;

    [[nodiscard]] Contexts::iterator findContextToCharge(std::string_view contextId);

    Contexts contexts_;
};

} // namespace chive
