#pragma once

#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace chive {

/// Asks the quota task for a token of the customer's quota on behalf of the entry task, and holds
/// the requests that wait for one.
class QuotaGate
{
public:
    /// Called with the request's token, and with the refusal if it has none. Not called after
    /// cancel().
    using Continuation = std::function<void(Token, const std::optional<Verdict> &)>;

    explicit QuotaGate(Kernel &kernel);

    /// Whether this request of a caller is of a customer with a rate.
    [[nodiscard]] bool needsToken(const Call &call, const Catalogue &catalogue) const;

    /// Returns the token of the request, under which it continues when it is granted.
    Token ask(const std::string &customer, std::size_t bytes, Continuation continuation);

    /// The caller of a waiting request is gone.
    void cancel(Token token);

    /// The request was refused after its token had been granted, or has ended without having run.
    void giveBack(const Call &call, const Catalogue &catalogue, Token token);

    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
    /// Bytes of the bodies of waiting requests.
    [[nodiscard]] std::size_t bytesHeld() const { return bytesHeld_; }

private:
    struct Waiting
    {
        std::string customer;
        std::size_t bytes = 0;
        Continuation continuation;
    };

    void handleDecision(const TokensDecided &decided);
    [[nodiscard]] std::optional<Waiting> take(Token token);

    Kernel &kernel_;
    std::map<Token, Waiting> waiting_;
    std::size_t bytesHeld_ = 0;
};

} // namespace chive
