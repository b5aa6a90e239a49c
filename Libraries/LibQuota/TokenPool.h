#pragma once

#include <LibNode/Messages.h>
#include <LibQuota/QuotaMessage.h>
#include <LibQuota/QuotaTiming.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chive {

/// A question to send to an allocator.
struct QuotaSend
{
    Endpoint allocator;
    TokenQuestion question;
};

/// The decision on a request.
struct TokenDecision
{
    Token token = 0; ///< Of the request, as in TokensWanted.
    std::string customer;
    bool isGranted = false;
    Milliseconds retryAfter{0}; ///< When there will be room, unless it is granted.
};

/// The tokens that an entry node holds, and the requests that wait for one. Takes the time and the
/// messages, and returns decisions and the questions to send.
class TokenPool
{
public:
    /// Question ids begin at `firstId`, random, so that answers to an earlier process are void.
    explicit TokenPool(std::uint64_t firstId)
        : nextId_(firstId)
    {}

    void setAllocators(std::span<const Member> allocators);

    /// Decides on a request at once if it can; otherwise the request waits. `draw` is a random
    /// number from 0 to 1 that spreads the times of return.
    [[nodiscard]] std::optional<TokenDecision> want(Token token, const std::string &customer,
                                                    double draw, TimePoint now);

    /// A request with a granted token has not run. Its token is used again while it is valid.
    void giveBack(Token token, TimePoint now);

    /// The caller of a waiting request is gone, or the request no longer needs a token.
    void cancel(Token token);

    /// Whether tokens for coming requests of the customer must be asked for.
    [[nodiscard]] bool isLow(std::string_view customer, TimePoint now) const;

    /// Returns the questions that are due: at most one for each allocator in an interval.
    [[nodiscard]] std::vector<QuotaSend> takeQuestions(TimePoint now);
    void receive(const TokenAnswer &answer, TimePoint now);

    /// Returns the decisions on waiting requests that have been made since the last call.
    [[nodiscard]] std::vector<TokenDecision> takeDecisions(TimePoint now);

    /// Returns when takeQuestions() or takeDecisions() have something to do without a message or
    /// request in between; nothing if never.
    [[nodiscard]] std::optional<TimePoint> nextActionAt(TimePoint now) const;

    [[nodiscard]] std::size_t waiting() const { return waitingTotal_; }
    [[nodiscard]] std::size_t customers() const { return customers_.size(); }
    /// The unexpired tokens of all customers.
    [[nodiscard]] std::uint64_t tokens(TimePoint now) const;

private:
    struct Lease
    {
        TimePoint askedAt;
        LeaseStamp stamp = 0;
        Endpoint allocator;
        std::uint32_t count = 0;
    };

    struct Waiting
    {
        Token token = 0;
        TimePoint since;
        double draw = 0.0;
    };

    struct CustomerState
    {
        std::optional<Endpoint> allocator;
        std::deque<Lease> leases; ///< In order of time.
        std::deque<Waiting> waiting;
        std::vector<UnusedTokens> returned;
        std::uint32_t pending = 0; ///< Tokens asked for and not answered yet.
        std::uint32_t refused = 0; ///< Without the allocator's knowledge.
        double demand = 0.0;       ///< Decaying number of requests, as of `demandAt`.
        TimePoint demandAt;
        TimePoint answeredFor; ///< When the latest question that was answered was asked.
        TimePoint emptyUntil;  ///< The allocator has no token before.
        TimePoint roomAt;      ///< The allocator has room for a request that is refused now.
    };

    struct Question
    {
        std::uint64_t id = 0;
        TimePoint askedAt;
        Endpoint allocator;
        std::vector<WantedTokens> wanted;
        bool isGivenUp = false; ///< Its tokens no longer count as pending.
    };

    struct Granted
    {
        std::string customer;
        Lease lease;
    };

    [[nodiscard]] static std::uint32_t available(const CustomerState &state, TimePoint now);
    [[nodiscard]] static std::uint32_t targetOf(const CustomerState &state, TimePoint now);
    [[nodiscard]] static std::uint32_t missing(const CustomerState &state, TimePoint now,
                                               bool isTopUp);
    [[nodiscard]] static TimePoint deadlineOf(const CustomerState &state, const Waiting &waiting);
    [[nodiscard]] static bool isNeeded(const CustomerState &state, TimePoint now);
    [[nodiscard]] static TokenDecision refusal(const std::string &customer, CustomerState &state,
                                               const Waiting &waiting, TimePoint now);
    [[nodiscard]] bool takeToken(const std::string &customer, CustomerState &state, Token token,
                                 TimePoint now);
    void noteDemand(CustomerState &state, TimePoint now);
    void returnOldTokens(const std::string &customer, CustomerState &state, TimePoint now);
    void giveUpQuestions(TimePoint now);
    void forgetGranted(TimePoint now);
    void decideWaiting(const std::string &customer, CustomerState &state, TimePoint now);
    void addToQuestion(const std::string &customer, CustomerState &state, Question &question,
                       TokenQuestion &message, TimePoint now);

    std::uint64_t nextId_;
    std::vector<Member> allocators_;
    std::map<std::string, CustomerState, std::less<>> customers_;
    std::size_t waitingTotal_ = 0;
    std::deque<Question> questions_; ///< Unanswered, in order of time.
    std::map<Endpoint, TimePoint> askedAt_;
    std::unordered_map<Token, Granted> granted_;           ///< Within the lifetime of the token.
    std::deque<std::pair<TimePoint, Token>> grantedOrder_; ///< By the time of the grant.
    std::vector<TokenDecision> decisions_;
};

} // namespace chive
