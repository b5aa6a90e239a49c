#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>
#include <LibQuota/QuotaAllocator.h>
#include <LibQuota/QuotaCounts.h>
#include <LibQuota/TokenPool.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <variant>

namespace chive {

namespace {

/// Bounds how long a pause of this process takes to be noticed (QuotaAllocator::tick).
constexpr Milliseconds allocatorTick{100};
/// Customers in the status report.
constexpr std::size_t reportedCustomers = 16;

bool hasQuotas(const Settings &settings)
{
    return settings.quotaBound.has_value();
}

bool hasRate(const Customer &customer)
{
    return customer.quota.ratePerSecond > 0.0;
}

/// Decides whether a customer's request is within its quota over all nodes: asks the allocators for
/// the tokens that this entry node needs, and lends tokens of the customers whose allocator this
/// node is. Without a customer that has a rate it has no timer and sends nothing.
class QuotaTask final : public Task
{
public:
    explicit QuotaTask(Kernel &kernel)
        : kernel_(kernel)
        , catalogue_(std::make_shared<const Catalogue>())
        , pool_(firstQuestionId())
        , allocator_(kernel.settings().nodeId, kernel.settings().quotaBound.value(),
                     kernel.clock().now())
        , decisions_(prometheus::BuildCounter()
                             .Name("chiverouter_quota_decisions_total")
                             .Help("Requests of customers with a rate, by decision.")
                             .Register(kernel.metrics()))
    {
        defineMetrics();
        subscribe();
        kernel.addStatus("quotas", [this] { return status(); });
    }

    void start() override
    {
        for (const Endpoint &peer : kernel_.settings().peers)
            allocator_.noteContact(peer, kernel_.clock().now());
    }

private:
    void subscribe()
    {
        Bus &bus = kernel_.bus();
        bus.subscribe<CatalogueChanged>(
                [this](const CatalogueChanged &changed) { setCatalogue(changed.catalogue); });
        bus.subscribe<MembersChanged>(
                [this](const MembersChanged &changed) { setMembers(*changed.members); });
        bus.subscribe<ContactFound>([this](const ContactFound &found) {
            allocator_.noteContact(found.contact, kernel_.clock().now());
        });
        bus.subscribe<TokensWanted>([this](const TokensWanted &wanted) { decide(wanted); });
        bus.subscribe<TokensReturned>([this](const TokensReturned &returned) {
            pool_.cancel(returned.token);
            pool_.giveBack(returned.token, kernel_.clock().now());
            act();
        });
        bus.subscribe<ReceivedFromPeer>([this](const ReceivedFromPeer &frame) {
            if (frame.topic == Topic::Quota)
                receive(frame);
        });
    }

    /// Answers to questions of an earlier process of this node must not match those of this one.
    static std::uint64_t firstQuestionId()
    {
        return (std::random_device{}() >> 1U) + 1; // Small numbers take less room in messages.
    }

    void defineMetrics()
    {
        prometheus::Registry &registry = kernel_.metrics();
        lent_ = &prometheus::BuildCounter()
                         .Name("chiverouter_quota_tokens_lent_total")
                         .Help("Tokens that this node has lent as an allocator.")
                         .Register(registry)
                         .Add({});
        waiting_ = &prometheus::BuildGauge()
                            .Name("chiverouter_quota_waiting")
                            .Help("Requests that wait for a token.")
                            .Register(registry)
                            .Add({});
        role_ = &prometheus::BuildGauge()
                         .Name("chiverouter_quota_allocator")
                         .Help("1 while this node is an allocator of customers' tokens.")
                         .Register(registry)
                         .Add({});
    }

    void setCatalogue(std::shared_ptr<const Catalogue> catalogue)
    {
        catalogue_ = std::move(catalogue);
        allocator_.setCatalogue(catalogue_, kernel_.clock().now());
        isActive_ = std::ranges::any_of(catalogue_->customers,
                                        [](const auto &entry) { return hasRate(entry.second); });
        updateTimers();
    }

    void setMembers(const std::vector<Member> &members)
    {
        const bool wasAllocator = allocator_.isAllocator();
        allocator_.setMembers(members, kernel_.clock().now());
        pool_.setAllocators(allocator_.allocators());
        if (allocator_.isAllocator() != wasAllocator && isActive_)
            LOG(INFO) << "task=quota event=" << (wasAllocator ? "role-lost" : "role-taken")
                      << " allocators=" << allocator_.allocators().size()
                      << " alive_share=" << allocator_.aliveShare();
        updateTimers();
    }

    void updateTimers()
    {
        role_->Set(isActive_ && allocator_.isAllocator() ? 1.0 : 0.0);
        if (!isActive_ || !allocator_.isAllocator())
            tickTimer_.cancel();
        else if (!tickTimer_.isActive())
            tickTimer_ = kernel_.loop().every(allocatorTick,
                                              [this] { allocator_.tick(kernel_.clock().now()); });
        if (isActive_)
            act();
    }

    void tick()
    {
        allocator_.tick(kernel_.clock().now());
        sendProbes();
    }

    void sendProbes()
    {
        const ContactProbe probe = allocator_.contactProbe();
        for (const Endpoint &peer : allocator_.takeProbes())
            send(peer, probe);
    }

    void decide(const TokensWanted &wanted)
    {
        const auto customer = catalogue_->customers.find(wanted.customer);
        if (customer == catalogue_->customers.end() || !hasRate(customer->second)) {
            kernel_.bus().post(TokensDecided{wanted.token, true, Milliseconds(0)});
            return;
        }
        const double draw = std::uniform_real_distribution<double>(0.0, 1.0)(random_);
        const auto decided = pool_.want(wanted.token, wanted.customer, draw, kernel_.clock().now());
        if (decided)
            post(*decided);
        if (!decided || pool_.isLow(wanted.customer, kernel_.clock().now()))
            act();
    }

    void post(const TokenDecision &decided)
    {
        count(decided);
        kernel_.bus().post(TokensDecided{decided.token, decided.isGranted, decided.retryAfter});
    }

    void count(const TokenDecision &decided)
    {
        counts_.note(decided.customer, decided.isGranted);
        decisions_
                .Add({{"customer", std::string(counts_.labelOf(decided.customer))},
                      {"decision", decided.isGranted ? "granted" : "refused"}})
                .Increment();
    }

    /// Sends the questions and decisions that are due, and sets the timer for the next ones.
    void act()
    {
        const TimePoint now = kernel_.clock().now();
        for (QuotaSend &send : pool_.takeQuestions(now))
            ask(send.allocator, std::move(send.question), now);
        for (const TokenDecision &decided : pool_.takeDecisions(now))
            post(decided);
        waiting_->Set(static_cast<double>(pool_.waiting()));
        const auto next = pool_.nextActionAt(now);
        if (!next) {
            actionTimer_.cancel();
            return;
        }
        const auto delay = std::max(Milliseconds(1), std::chrono::ceil<Milliseconds>(*next - now));
        actionTimer_ = kernel_.loop().after(delay, [this] { act(); });
    }

    void ask(const Endpoint &allocator, TokenQuestion question, TimePoint now)
    {
        if (allocator == kernel_.settings().links) {
            pool_.receive(lend(question, now), now);
            return;
        }
        send(allocator, std::move(question));
    }

    TokenAnswer lend(const TokenQuestion &question, TimePoint now)
    {
        TokenAnswer answer = allocator_.answer(question, now);
        sendProbes();
        for (const LentTokens &lent : answer.lent)
            lent_->Increment(lent.count);
        return answer;
    }

    void send(const Endpoint &peer, const QuotaMessage &message)
    {
        kernel_.bus().post(SendToPeer{peer, LinkClass::Control, Topic::Quota,
                                      makeBody(encodeQuotaMessage(message))});
    }

    void receive(const ReceivedFromPeer &frame)
    {
        auto message = parseQuotaMessage(bytesOf(frame.payload));
        if (!message.has_value()) {
            LOG_EVERY_N(WARNING, 100) << "task=quota peer=" << format(frame.peer) << " error=\""
                                      << message.error().message << '"';
            return;
        }
        const TimePoint now = kernel_.clock().now();
        if (const auto *question = std::get_if<TokenQuestion>(&message.value())) {
            TokenAnswer answer = lend(*question, now);
            if (question->id != 0)
                send(frame.peer, std::move(answer));
            return;
        }
        if (const auto *answer = std::get_if<TokenAnswer>(&message.value())) {
            pool_.receive(*answer, now);
            act();
        }
        if (const auto *probe = std::get_if<ContactProbe>(&message.value())) {
            if (allocator_.agreesWith(*probe))
                send(frame.peer, ContactEcho{probe->round});
        }
        if (const auto *echo = std::get_if<ContactEcho>(&message.value()))
            allocator_.receive(*echo);
    }

    [[nodiscard]] nlohmann::json status() const
    {
        const TimePoint now = kernel_.clock().now();
        nlohmann::json customers = nlohmann::json::object();
        for (const auto &[name, count] : counts_.largest(reportedCustomers))
            customers[name] = statusOf(name, count, now);
        return {{"active", isActive_},
                {"allocator", allocator_.isAllocator()},
                {"alive_share", allocator_.aliveShare()},
                {"buckets", allocator_.buckets()},
                {"waiting", pool_.waiting()},
                {"tokens", pool_.tokens(now)},
                {"customers", std::move(customers)}};
    }

    [[nodiscard]] nlohmann::json statusOf(const std::string &name, const QuotaCounts::Count &count,
                                          TimePoint now) const
    {
        nlohmann::json report{{"used", count.granted}, {"refused", count.refused}};
        const auto customer = catalogue_->customers.find(name);
        if (customer != catalogue_->customers.end())
            report["rate"] = customer->second.quota.ratePerSecond;
        if (const auto left = allocator_.tokensLeft(name, now))
            report["tokens_left"] = *left;
        return report;
    }

    Kernel &kernel_;
    std::shared_ptr<const Catalogue> catalogue_;
    bool isActive_ = false; ///< Some customer has a rate.
    TokenPool pool_;
    QuotaAllocator allocator_;
    QuotaCounts counts_;
    std::minstd_rand random_{std::random_device{}()};
    prometheus::Family<prometheus::Counter> &decisions_;
    prometheus::Counter *lent_ = nullptr;
    prometheus::Gauge *waiting_ = nullptr;
    prometheus::Gauge *role_ = nullptr;
    Timer tickTimer_;
    Timer actionTimer_;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "quota",
        [](Kernel &kernel) -> std::unique_ptr<Task> { return std::make_unique<QuotaTask>(kernel); },
        hasQuotas,
}};

} // namespace

} // namespace chive
