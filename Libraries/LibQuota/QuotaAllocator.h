#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibNode/Messages.h>
#include <LibQuota/Allocators.h>
#include <LibQuota/ContactShare.h>
#include <LibQuota/QuotaBucket.h>
#include <LibQuota/QuotaMessage.h>
#include <LibSettings/Settings.h>

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chive {

/// Lends the tokens of the customers whose allocator this node is. Takes the time and the messages,
/// and returns the answers.
class QuotaAllocator
{
public:
    QuotaAllocator(std::string nodeId, Settings::QuotaBound bound, TimePoint now);

    void setCatalogue(std::shared_ptr<const Catalogue> catalogue, TimePoint now);
    void setMembers(std::span<const Member> members, TimePoint now);
    void noteContact(const Endpoint &contact, TimePoint now) { known_.noteContact(contact, now); }

    /// To be called regularly. A node that did not run for some time may have lost its role without
    /// knowing, so its buckets start again.
    void tick(TimePoint now);

    /// Returns nothing to lend for customers of other allocators.
    [[nodiscard]] TokenAnswer answer(const TokenQuestion &question, TimePoint now);

    /// Returns the members to send a ContactProbe of contactRound() to.
    [[nodiscard]] std::vector<Endpoint> takeProbes() { return contact_.takeProbes(); }
    [[nodiscard]] std::uint64_t contactRound() const { return contact_.round(); }
    void receive(const ContactEcho &echo) { contact_.noteEcho(echo.round); }
    [[nodiscard]] ContactProbe contactProbe() const;
    /// Whether to answer: the sender and this node have the same list of allocators. A node counts
    /// for one list only, so while lists merge after a partition, the allocators that both sides
    /// had do not count the same nodes.
    [[nodiscard]] bool agreesWith(const ContactProbe &probe) const;

    [[nodiscard]] const std::vector<Member> &allocators() const { return allocators_; }
    [[nodiscard]] bool isAllocator() const { return isAllocator_; }
    [[nodiscard]] std::size_t buckets() const { return buckets_.size(); }
    [[nodiscard]] double aliveShare() const { return share_; }
    /// Returns the tokens left for a customer, or nothing if this node has no bucket for it.
    [[nodiscard]] std::optional<double> tokensLeft(std::string_view customer, TimePoint now) const;

private:
    [[nodiscard]] bool isAllocatorOf(std::string_view customer) const;
    [[nodiscard]] LentTokens lend(const WantedTokens &wanted, LeaseStamp stamp, TimePoint now);
    [[nodiscard]] QuotaBucket *bucketOf(const std::string &customer);
    void updateShare(TimePoint now);
    void applyLimits(TimePoint now);
    void setLimits(QuotaBucket &bucket, const CustomerQuota &quota, TimePoint now) const;
    void startAgain(TimePoint now);
    void noteRunning(TimePoint now);

    std::string nodeId_;
    Settings::QuotaBound bound_;
    std::shared_ptr<const Catalogue> catalogue_;
    KnownMembers known_;
    ContactShare contact_;
    std::vector<Member> allocators_;
    bool isAllocator_ = false;
    double share_ = 0.0;
    TimePoint createdAt_;
    TimePoint lastRunAt_;
    TimePoint lastQuestionAt_;
    TimePoint lendsFrom_; ///< Customers without a bucket here are lent nothing before.
    std::map<std::string, QuotaBucket, std::less<>> buckets_;
};

} // namespace chive
