#include <Node/Entry/QuotaGate.h>

#include <utility>

namespace chive {

QuotaGate::QuotaGate(Kernel &kernel)
    : kernel_(kernel)
{
    kernel.bus().subscribe<TokensDecided>(
            [this](const TokensDecided &decided) { handleDecision(decided); });
}

bool QuotaGate::needsToken(const Call &call, const Catalogue &catalogue) const
{
    // Without the setting there is no quota task to answer.
    if (call.isNested || call.customer.empty() || !kernel_.settings().quotaBound)
        return false;
    const auto customer = catalogue.customers.find(call.customer);
    return customer != catalogue.customers.end() && customer->second.quota.ratePerSecond > 0.0;
}

Token QuotaGate::ask(const std::string &customer, std::size_t bytes, Continuation continuation)
{
    const Token token = nextToken();
    waiting_.emplace(token, Waiting{customer, bytes, std::move(continuation)});
    bytesHeld_ += bytes;
    kernel_.bus().post(TokensWanted{token, customer});
    return token;
}

std::optional<QuotaGate::Waiting> QuotaGate::take(Token token)
{
    auto node = waiting_.extract(token);
    if (node.empty())
        return std::nullopt;
    bytesHeld_ -= node.mapped().bytes;
    return std::move(node.mapped());
}

void QuotaGate::cancel(Token token)
{
    // The quota task may have granted the token already; it takes back either.
    if (const auto waiting = take(token))
        kernel_.bus().post(TokensReturned{waiting->customer, token});
}

void QuotaGate::giveBack(const Call &call, const Catalogue &catalogue, Token token)
{
    if (needsToken(call, catalogue))
        kernel_.bus().post(TokensReturned{call.customer, token});
}

void QuotaGate::handleDecision(const TokensDecided &decided)
{
    const auto waiting = take(decided.token);
    if (!waiting)
        return;
    if (decided.isGranted) {
        waiting->continuation(decided.token, std::nullopt);
        return;
    }
    Verdict verdict = notRun(Reason::QuotaExceeded, "the quota of the customer is used up");
    verdict.retryAfter = decided.retryAfter;
    waiting->continuation(decided.token, verdict);
}

} // namespace chive
