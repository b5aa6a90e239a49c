#include <LibQuota/TokenPool.h>

#include <LibQuota/Allocators.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chive {

namespace {

/// Time constant of the demand estimate.
constexpr double demandSeconds = 1.0;
/// Tokens are held for the demand of this time.
constexpr double aheadSeconds = 0.2;
/// With less demand than this, more than half of the tokens would be returned unused.
constexpr double fewestAhead = 0.5;
/// The state of a customer without requests is kept this long.
constexpr std::chrono::seconds idleLifetime{3};
/// Without an answer of the allocator: long enough for another one to take its place.
constexpr Milliseconds retryWithoutAnswer{500};
constexpr Milliseconds shortestRetryAfter{50};

double decayed(double value, TimePoint since, TimePoint now)
{
    return value * std::exp(-std::chrono::duration<double>(now - since).count() / demandSeconds);
}

} // namespace

void TokenPool::setAllocators(std::span<const Member> allocators)
{
    allocators_.assign(allocators.begin(), allocators.end());
    for (auto &[customer, state] : customers_) {
        const Member *member = allocatorOf(customer, allocators_);
        std::optional<Endpoint> endpoint;
        if (member != nullptr)
            endpoint = member->links;
        if (endpoint == state.allocator)
            continue;
        state.allocator = endpoint;
        state.emptyUntil = TimePoint{};
        state.pending = 0; // The old allocator may be gone.
        state.returned.clear();
    }
}

std::uint32_t TokenPool::available(const CustomerState &state, TimePoint now)
{
    std::uint32_t count = 0;
    for (const Lease &lease : state.leases) {
        if (now - lease.askedAt < tokenLifetime)
            count += lease.count;
    }
    return count;
}

std::uint64_t TokenPool::tokens(TimePoint now) const
{
    std::uint64_t count = 0;
    for (const auto &[customer, state] : customers_)
        count += available(state, now);
    return count;
}

/// Returns the tokens to hold for coming requests. A customer with few requests here is asked for
/// only when one comes, as most of its tokens would expire.
std::uint32_t TokenPool::targetOf(const CustomerState &state, TimePoint now)
{
    const double ahead = decayed(state.demand, state.demandAt, now) / demandSeconds * aheadSeconds;
    return ahead < fewestAhead ? 0 : static_cast<std::uint32_t>(std::ceil(ahead));
}

/// Returns how many tokens to ask for: those that waiting requests need and, once less than half of
/// the target is left or if a question is sent anyway, the rest of the target.
std::uint32_t TokenPool::missing(const CustomerState &state, TimePoint now, bool isTopUp)
{
    const auto waiting = static_cast<std::uint32_t>(state.waiting.size());
    const std::uint32_t held = available(state, now) + state.pending;
    const std::uint32_t target = targetOf(state, now);
    const bool isLow = held < waiting + target / 2 + target % 2;
    const std::uint32_t wanted = waiting + (isLow || isTopUp ? target : 0);
    return wanted > held ? wanted - held : 0;
}

bool TokenPool::isNeeded(const CustomerState &state, TimePoint now)
{
    if (!state.allocator.has_value())
        return false;
    return !state.returned.empty() || (now >= state.emptyUntil && missing(state, now, false) > 0);
}

bool TokenPool::isLow(std::string_view customer, TimePoint now) const
{
    const auto found = customers_.find(customer);
    return found != customers_.end() && isNeeded(found->second, now);
}

void TokenPool::noteDemand(CustomerState &state, TimePoint now)
{
    state.demand = decayed(state.demand, state.demandAt, now) + 1.0;
    state.demandAt = now;
}

bool TokenPool::takeToken(const std::string &customer, CustomerState &state, Token token,
                          TimePoint now)
{
    while (!state.leases.empty()
           && (state.leases.front().count == 0
               || now - state.leases.front().askedAt >= tokenLifetime))
        state.leases.pop_front();
    if (state.leases.empty())
        return false;
    Lease &lease = state.leases.front();
    --lease.count;
    Granted granted{customer, lease};
    granted.lease.count = 1;
    granted_.insert_or_assign(token, std::move(granted));
    grantedOrder_.emplace_back(now, token);
    forgetGranted(now);
    return true;
}

void TokenPool::forgetGranted(TimePoint now)
{
    while (!grantedOrder_.empty() && now - grantedOrder_.front().first >= tokenLifetime) {
        granted_.erase(grantedOrder_.front().second);
        grantedOrder_.pop_front();
    }
}

TokenDecision TokenPool::refusal(const std::string &customer, CustomerState &state,
                                 const Waiting &waiting, TimePoint now)
{
    ++state.refused;
    Milliseconds room = retryWithoutAnswer;
    if (state.roomAt > now)
        room = std::chrono::ceil<Milliseconds>(state.roomAt - now);
    room = std::clamp(room, shortestRetryAfter, longestRetryAfter);
    const std::chrono::duration<double, std::milli> spread = room * (1.0 + waiting.draw / 2);
    return {waiting.token, customer, false, std::chrono::ceil<Milliseconds>(spread)};
}

std::optional<TokenDecision> TokenPool::want(Token token, const std::string &customer, double draw,
                                             TimePoint now)
{
    const auto [found, isNew] = customers_.try_emplace(customer);
    CustomerState &state = found->second;
    if (isNew) {
        const Member *member = allocatorOf(customer, allocators_);
        if (member != nullptr)
            state.allocator = member->links;
        state.demandAt = now;
    }
    noteDemand(state, now);
    if (state.waiting.empty() && takeToken(customer, state, token, now))
        return TokenDecision{token, customer, true, Milliseconds(0)};
    const Waiting waiting{token, now, draw};
    if (now < state.emptyUntil && state.roomAt > now + longestTokenWait)
        return refusal(customer, state, waiting, now);
    state.waiting.push_back(waiting);
    ++waitingTotal_;
    return std::nullopt;
}

void TokenPool::cancel(Token token)
{
    if (waitingTotal_ == 0)
        return;
    for (auto &[customer, state] : customers_)
        waitingTotal_ -= std::erase_if(
                state.waiting, [token](const Waiting &waiting) { return waiting.token == token; });
}

void TokenPool::giveBack(Token token, TimePoint now)
{
    auto node = granted_.extract(token);
    if (node.empty() || now - node.mapped().lease.askedAt >= tokenLifetime)
        return;
    const auto found = customers_.find(node.mapped().customer);
    if (found == customers_.end())
        return;
    std::deque<Lease> &leases = found->second.leases;
    const auto position = std::ranges::upper_bound(leases, node.mapped().lease.askedAt,
                                                   std::ranges::less{}, &Lease::askedAt);
    leases.insert(position, node.mapped().lease);
    decideWaiting(found->first, found->second, now);
}

TimePoint TokenPool::deadlineOf(const CustomerState &state, const Waiting &waiting)
{
    const bool isAnswered = state.answeredFor >= waiting.since;
    return waiting.since + (isAnswered ? longestTokenWait : longestAnswerWait);
}

void TokenPool::decideWaiting(const std::string &customer, CustomerState &state, TimePoint now)
{
    while (!state.waiting.empty()) {
        const Waiting waiting = state.waiting.front();
        if (takeToken(customer, state, waiting.token, now))
            decisions_.push_back({waiting.token, customer, true, Milliseconds(0)});
        else if (now >= deadlineOf(state, waiting)
                 || state.emptyUntil >= waiting.since + longestTokenWait)
            decisions_.push_back(refusal(customer, state, waiting, now));
        else
            break;
        state.waiting.pop_front();
        --waitingTotal_;
    }
}

void TokenPool::receive(const TokenAnswer &answer, TimePoint now)
{
    const auto found = std::ranges::find(questions_, answer.id, &Question::id);
    if (found == questions_.end())
        return;
    const Question question = std::move(*found);
    questions_.erase(found);
    for (std::size_t i = 0; i < question.wanted.size() && i < answer.lent.size(); ++i) {
        const WantedTokens &wanted = question.wanted[i];
        const auto customer = customers_.find(wanted.customer);
        if (customer == customers_.end())
            continue;
        CustomerState &state = customer->second;
        const LentTokens &lent = answer.lent[i];
        const bool isCurrent = state.allocator == question.allocator;
        if (isCurrent)
            state.answeredFor = std::max(state.answeredFor, question.askedAt);
        if (!question.isGivenUp && isCurrent)
            state.pending -= std::min(state.pending, wanted.count);
        const std::uint32_t count = std::min(lent.count, wanted.count);
        if (count > 0 && now - question.askedAt < tokenLifetime) {
            const auto position = std::ranges::upper_bound(state.leases, question.askedAt,
                                                           std::ranges::less{}, &Lease::askedAt);
            state.leases.insert(position,
                                {question.askedAt, answer.stamp, question.allocator, count});
        }
        if (lent.retryAfter.count() > 0 && isCurrent)
            state.roomAt = now + lent.retryAfter;
        if (count < wanted.count && isCurrent)
            state.emptyUntil = now + lent.nextIn;
        decideWaiting(wanted.customer, state, now);
    }
}

std::vector<TokenDecision> TokenPool::takeDecisions(TimePoint now)
{
    if (waitingTotal_ > 0) {
        for (auto &[customer, state] : customers_)
            decideWaiting(customer, state, now);
    }
    return std::exchange(decisions_, {});
}

void TokenPool::giveUpQuestions(TimePoint now)
{
    for (Question &question : questions_) {
        if (now - question.askedAt < answerTimeout)
            break;
        if (std::exchange(question.isGivenUp, true))
            continue;
        for (const WantedTokens &wanted : question.wanted) {
            const auto found = customers_.find(wanted.customer);
            if (found != customers_.end() && found->second.allocator == question.allocator)
                found->second.pending -= std::min(found->second.pending, wanted.count);
        }
    }
    while (!questions_.empty() && now - questions_.front().askedAt >= tokenLifetime)
        questions_.pop_front();
}

void TokenPool::returnOldTokens(const std::string &customer, CustomerState &state, TimePoint now)
{
    for (Lease &lease : state.leases) {
        const auto age = now - lease.askedAt;
        if (age < returnAge)
            break;
        if (lease.count > 0 && age < tokenLifetime && lease.allocator == state.allocator)
            state.returned.push_back({customer, lease.stamp, lease.count});
        lease.count = 0;
    }
    std::erase_if(state.leases, [](const Lease &lease) { return lease.count == 0; });
}

void TokenPool::addToQuestion(const std::string &customer, CustomerState &state, Question &question,
                              TokenQuestion &message, TimePoint now)
{
    for (UnusedTokens &returned : state.returned)
        message.returned.push_back(std::move(returned));
    state.returned.clear();
    const std::uint32_t count = now < state.emptyUntil ? 0 : missing(state, now, true);
    if (count == 0)
        return;
    question.wanted.push_back({customer, count, std::exchange(state.refused, 0)});
    state.pending += count;
}

std::vector<QuotaSend> TokenPool::takeQuestions(TimePoint now)
{
    giveUpQuestions(now);
    std::erase_if(customers_, [now](const auto &entry) {
        const CustomerState &state = entry.second;
        return state.waiting.empty() && state.leases.empty() && state.returned.empty()
               && state.pending == 0 && now - state.demandAt > idleLifetime;
    });
    std::map<Endpoint, bool> isDue;
    for (auto &[customer, state] : customers_) {
        returnOldTokens(customer, state, now);
        if (!isNeeded(state, now))
            continue;
        const auto last = askedAt_.find(*state.allocator);
        if (last == askedAt_.end() || now - last->second >= questionInterval)
            isDue[*state.allocator] = true;
    }
    std::vector<QuotaSend> sends;
    for (const auto &[allocator, due] : isDue) {
        Question question{nextId_++, now, allocator, {}, false};
        TokenQuestion message;
        for (auto &[customer, state] : customers_) {
            if (state.allocator == allocator)
                addToQuestion(customer, state, question, message, now);
        }
        askedAt_[allocator] = now;
        message.wanted = question.wanted;
        if (!question.wanted.empty()) {
            message.id = question.id;
            questions_.push_back(std::move(question));
        }
        sends.push_back({allocator, std::move(message)});
    }
    return sends;
}

std::optional<TimePoint> TokenPool::nextActionAt(TimePoint now) const
{
    std::optional<TimePoint> next;
    const auto consider = [&next](TimePoint at) { next = next ? std::min(*next, at) : at; };
    if (!decisions_.empty())
        consider(now);
    for (const auto &[customer, state] : customers_) {
        if (!state.waiting.empty())
            consider(deadlineOf(state, state.waiting.front()));
        if (!state.leases.empty())
            consider(state.leases.front().askedAt + returnAge);
        if (!state.allocator || (state.returned.empty() && missing(state, now, false) == 0))
            continue;
        const auto last = askedAt_.find(*state.allocator);
        TimePoint due = last == askedAt_.end() ? now : last->second + questionInterval;
        if (state.returned.empty())
            due = std::max(due, state.emptyUntil);
        consider(due);
    }
    return next;
}

} // namespace chive
