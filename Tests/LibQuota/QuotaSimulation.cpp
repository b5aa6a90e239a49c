#include "QuotaSimulation.h"

#include <utility>

namespace chive {

namespace {

constexpr Milliseconds allocatorTick{100};
const Settings::QuotaBound bound{Milliseconds(5'000), 0.1, 20.0};

Member memberOf(std::size_t number)
{
    Member member;
    member.nodeId = "node-" + std::to_string(number);
    member.incarnation = 1;
    member.links = {"127.0.0.1", static_cast<std::uint16_t>(10'000 + number)};
    return member;
}

} // namespace

QuotaSimulation::QuotaSimulation(const Options &options)
    : options_(options)
    , random_(options.seed)
    , nodes_(options.nodes)
    , isCut_(options.nodes, std::vector<char>(options.nodes))
    , sent_(options.nodes)
{
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        nodes_[i].member = memberOf(i);
        nodes_[i].catalogue = std::make_shared<const Catalogue>();
        byEndpoint_[nodes_[i].member.links] = i;
        create(nodes_[i]);
    }
    std::vector<std::size_t> all(nodes_.size());
    for (std::size_t i = 0; i < all.size(); ++i)
        all[i] = i;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        setView(i, all);
        tick(i, 0);
    }
}

void QuotaSimulation::create(Node &node)
{
    node.pool = std::make_unique<TokenPool>((random_() >> 33U) + 1);
    node.allocator = std::make_unique<QuotaAllocator>(node.member.nodeId, bound, now_);
    node.allocator->setCatalogue(node.catalogue, now_);
}

double QuotaSimulation::draw(double from, double until)
{
    return std::uniform_real_distribution<double>(from, until)(random_);
}

void QuotaSimulation::after(std::chrono::nanoseconds delay, std::function<void()> action)
{
    events_.push({now_ + delay, nextEvent_++, std::move(action)});
}

void QuotaSimulation::run(std::chrono::nanoseconds duration)
{
    const TimePoint end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end) {
        // The heap gives const access only; the element is removed at once.
        auto action = std::move(const_cast<Event &>(events_.top()).action);
        now_ = events_.top().at;
        events_.pop();
        action();
    }
    now_ = end;
}

void QuotaSimulation::request(std::size_t node, const std::string &customer)
{
    Node &entry = nodes_[node];
    if (entry.isFrozen)
        return;
    const Token token = nextToken_++;
    const auto decided = entry.pool->want(token, customer, draw(0.0, 1.0), now_);
    customers_.emplace(token, customer);
    if (decided)
        decide(node, *decided);
    else
        ++records_[customer].waited;
    act(node);
}

void QuotaSimulation::decide(std::size_t node, const TokenDecision &decided)
{
    const auto request = customers_.extract(decided.token);
    Record &record = records_[request.mapped()];
    if (!decided.isGranted) {
        ++record.refused;
        record.longestRetryAfter = std::max(record.longestRetryAfter, decided.retryAfter);
        return;
    }
    const bool hasRun = notRun_ == 0.0 || draw(0.0, 1.0) >= notRun_;
    record.uses.push_back({now_, hasRun});
    if (hasRun)
        return;
    const Token token = decided.token;
    const std::uint64_t start = nodes_[node].start;
    after(Milliseconds(static_cast<int>(draw(0, 600))), [this, node, token, start] {
        if (nodes_[node].start != start || nodes_[node].isFrozen)
            return;
        nodes_[node].pool->giveBack(token, now_);
        act(node);
    });
}

void QuotaSimulation::act(std::size_t node)
{
    Node &entry = nodes_[node];
    for (QuotaSend &send : entry.pool->takeQuestions(now_))
        this->send(node, byEndpoint_.at(send.allocator), std::move(send.question));
    for (const TokenDecision &decided : entry.pool->takeDecisions(now_))
        decide(node, decided);
    const auto next = entry.pool->nextActionAt(now_);
    if (!next || *next >= entry.actionAt)
        return;
    entry.actionAt = std::max(*next, now_ + Milliseconds(1));
    const TimePoint at = entry.actionAt;
    after(at - now_, [this, node, at] {
        if (nodes_[node].actionAt != at)
            return;
        nodes_[node].actionAt = TimePoint::max();
        if (!nodes_[node].isFrozen)
            act(node);
    });
}

void QuotaSimulation::send(std::size_t from, std::size_t to, QuotaMessage message)
{
    if (from != to && options_.isMeasured) {
        ++sent_[from].messages;
        sent_[from].bytes += encodeQuotaMessage(message).size();
    }
    if (isCut_[from][to] != 0 || (from != to && options_.loss > 0 && draw(0, 1) < options_.loss))
        return;
    const double milliseconds = from == to
                                        ? 0.0
                                        : draw(static_cast<double>(options_.shortestDelay.count()),
                                               static_cast<double>(options_.longestDelay.count()));
    const auto delay = std::chrono::nanoseconds(static_cast<std::int64_t>(milliseconds * 1e6));
    const std::uint64_t start = nodes_[to].start;
    after(delay, [this, from, to, start, message = std::move(message)] {
        if (nodes_[to].start == start)
            deliver(from, to, message);
    });
}

void QuotaSimulation::deliver(std::size_t from, std::size_t to, const QuotaMessage &message)
{
    Node &node = nodes_[to];
    if (node.isFrozen) {
        node.queued.emplace_back([this, from, to, message] { deliver(from, to, message); });
        return;
    }
    if (const auto *question = std::get_if<TokenQuestion>(&message)) {
        TokenAnswer answer = node.allocator->answer(*question, now_);
        sendProbes(to);
        if (question->id != 0)
            send(to, from, std::move(answer));
        return;
    }
    if (const auto *probe = std::get_if<ContactProbe>(&message)) {
        if (node.allocator->agreesWith(*probe))
            send(to, from, ContactEcho{probe->round});
        return;
    }
    if (const auto *echo = std::get_if<ContactEcho>(&message)) {
        node.allocator->receive(*echo);
        return;
    }
    node.pool->receive(std::get<TokenAnswer>(message), now_);
    act(to);
}

void QuotaSimulation::sendProbes(std::size_t node)
{
    const ContactProbe probe = nodes_[node].allocator->contactProbe();
    for (const Endpoint &peer : nodes_[node].allocator->takeProbes())
        send(node, byEndpoint_.at(peer), probe);
}

void QuotaSimulation::tick(std::size_t node, std::uint64_t start)
{
    if (nodes_[node].start != start)
        return;
    if (!nodes_[node].isFrozen) {
        nodes_[node].allocator->tick(now_);
        sendProbes(node);
    }
    after(allocatorTick, [this, node, start] { tick(node, start); });
}

void QuotaSimulation::setCatalogue(std::size_t node, std::shared_ptr<const Catalogue> catalogue)
{
    nodes_[node].catalogue = std::move(catalogue);
    nodes_[node].allocator->setCatalogue(nodes_[node].catalogue, now_);
}

void QuotaSimulation::cut(std::size_t from, std::size_t to, bool isCut)
{
    isCut_[from][to] = static_cast<char>(isCut);
}

void QuotaSimulation::freeze(std::size_t node)
{
    nodes_[node].isFrozen = true;
}

void QuotaSimulation::thaw(std::size_t node)
{
    nodes_[node].isFrozen = false;
    for (const auto &action : std::exchange(nodes_[node].queued, {}))
        action();
    act(node);
}

void QuotaSimulation::restart(std::size_t node)
{
    Node &entry = nodes_[node];
    ++entry.start;
    ++entry.member.incarnation;
    entry.isFrozen = false;
    entry.queued.clear();
    entry.actionAt = TimePoint::max();
    create(entry);
    for (const Node &other : nodes_) // As the directory lists them.
        entry.allocator->noteContact(other.member.links, now_);
    setView(node, entry.view);
    tick(node, entry.start);
}

void QuotaSimulation::setView(std::size_t node, const std::vector<std::size_t> &alive)
{
    Node &entry = nodes_[node];
    entry.view = alive;
    std::vector<Member> members;
    members.reserve(alive.size());
    for (const std::size_t other : alive)
        members.push_back(nodes_[other].member);
    entry.allocator->setMembers(members, now_);
    entry.pool->setAllocators(entry.allocator->allocators());
}

std::size_t QuotaSimulation::allocatorFor(std::size_t node, const std::string &customer) const
{
    const Member *member = allocatorOf(customer, nodes_[node].allocator->allocators());
    return byEndpoint_.at(member->links);
}

} // namespace chive
