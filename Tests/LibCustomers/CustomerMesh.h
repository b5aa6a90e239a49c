#pragma once

#include <LibCustomers/CustomerCredits.h>
#include <LibCustomers/CustomerDemand.h>
#include <LibPolicy/RootAdmission.h>

#include <cstddef>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace chive {

struct KindOfLoad
{
    std::string name;
    Importance importance = Importance::Normal;
    double work = 0.1; ///< Mean slot seconds of one request at the deep service.
};

struct CustomerOfLoad
{
    std::string name;
    std::vector<double> perSecond; ///< Requests a second of each kind.
    int repeats = 0;               ///< Times that a refused request is sent again at once.
};

struct CustomerTotals
{
    double offered = 0.0;      ///< Requests, without repeats.
    double offeredWork = 0.0;  ///< Slot seconds of these.
    double admittedWork = 0.0; ///< Slot seconds of those that were admitted.
};

/// Simulates requests of customers that enter at several nodes and lead to one deep service, which
/// serves its queue in order of arrival. Nodes and collector exchange their encoded messages at the
/// pace of 87 nodes.
class CustomerMesh
{
public:
    CustomerMesh(std::vector<KindOfLoad> kinds, double slots, bool hasShares, unsigned seed);

    void setLoad(std::vector<CustomerOfLoad> customers);
    void runFor(double seconds);
    void resetTotals();

    [[nodiscard]] double busyShare() const { return busySeconds_ / (slots_ * seconds_); }
    [[nodiscard]] const std::vector<CustomerTotals> &totals() const { return totals_; }
    [[nodiscard]] const MeshPressure &mesh() const { return mesh_; }
    [[nodiscard]] std::size_t largestReport() const { return largestReport_; }
    [[nodiscard]] std::size_t largestSummary() const { return largestSummary_; }

    /// The shares of each summary since the totals were reset.
    std::vector<CustomerAmounts> history;

private:
    struct Node
    {
        CustomerCounts counts;
        CustomerCredits credits;
        RootAdmissionCredits kindCredits;
        std::map<std::string, RootCount, std::less<>> roots;
        std::size_t reportAt = 0; ///< Tick of the next report.
    };

    struct Request
    {
        std::size_t customer = 0;
        std::size_t kind = 0;
        int repeats = 0;
    };

    struct Work
    {
        std::size_t kind = 0;
        double seconds = 0.0;
        std::size_t node = 0;
    };

    void tick();
    void offer(const Request &request);
    bool decide(Node &node, const KindOfLoad &kind, const std::string &customer);
    double drawWork(const KindOfLoad &kind);
    void serve();
    void report(std::size_t index);
    void summarizeReports();

    std::vector<KindOfLoad> kinds_;
    double slots_;
    bool hasShares_;
    std::mt19937 random_;
    std::vector<Node> nodes_;
    std::vector<CustomerOfLoad> customers_;
    std::vector<CustomerTotals> totals_;
    std::vector<Request> choices_; ///< The requests that customers make, in the order of weights.
    std::discrete_distribution<std::size_t> nextRequest_;
    double perSecond_ = 0.0;
    std::vector<Request> repeated_;
    std::deque<Work> queue_;
    double queuedWork_ = 0.0;
    WorkByKind done_;
    RootStatistics statistics_;
    CustomerTable table_;
    MeshPressure mesh_;
    std::size_t ticks_ = 0;
    std::size_t largestReport_ = 0;
    std::size_t largestSummary_ = 0;
    double seconds_ = 0.0;
    double busySeconds_ = 0.0;
    TimePoint now_{std::chrono::hours(1)};
};

} // namespace chive
