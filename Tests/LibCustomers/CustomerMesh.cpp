#include <LibCustomers/CustomerMesh.h>

#include <LibPolicy/MeshReport.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

namespace chive {

namespace {

constexpr Milliseconds tickLength{10};
constexpr double tickSeconds = 0.01;
constexpr std::size_t nodeCount = 26;
/// Reports and summaries of 87 nodes come every 263 ms.
constexpr std::size_t ticksBetweenReports = 26;
/// A customer's callers are at three nodes.
constexpr std::size_t nodesOfCustomer = 3;

} // namespace

CustomerMesh::CustomerMesh(std::vector<KindOfLoad> kinds, double slots, bool hasShares,
                           unsigned seed)
    : kinds_(std::move(kinds))
    , slots_(slots)
    , hasShares_(hasShares)
    , random_(seed)
    , nodes_(nodeCount)
{}

void CustomerMesh::setLoad(std::vector<CustomerOfLoad> customers)
{
    customers_ = std::move(customers);
    choices_.clear();
    perSecond_ = 0.0;
    std::vector<double> weights;
    for (std::size_t i = 0; i < customers_.size(); ++i) {
        for (std::size_t kind = 0; kind < kinds_.size(); ++kind) {
            choices_.push_back({i, kind, customers_[i].repeats});
            weights.push_back(customers_[i].perSecond.at(kind));
            perSecond_ += weights.back();
        }
    }
    nextRequest_ = {weights.begin(), weights.end()};
    totals_.resize(customers_.size());
}

void CustomerMesh::runFor(double seconds)
{
    for (double passed = 0.0; passed < seconds - tickSeconds / 2; passed += tickSeconds)
        tick();
}

void CustomerMesh::resetTotals()
{
    totals_.assign(customers_.size(), {});
    history.clear();
    seconds_ = busySeconds_ = 0.0;
    largestReport_ = largestSummary_ = 0;
}

void CustomerMesh::tick()
{
    for (const Request &request : std::exchange(repeated_, {}))
        offer(request);
    const int arrivals = std::poisson_distribution<int>(perSecond_ * tickSeconds)(random_);
    for (int i = 0; i < arrivals; ++i) {
        const Request &request = choices_[nextRequest_(random_)];
        totals_[request.customer].offered += 1.0;
        totals_[request.customer].offeredWork += kinds_[request.kind].work;
        offer(request);
    }
    serve();
    now_ += tickLength;
    seconds_ += tickSeconds;
    ++ticks_;
    // The clocks of nodes drift, so that the order of their reports changes.
    std::uniform_int_distribution<std::size_t> reportDelay(ticksBetweenReports - 3,
                                                           ticksBetweenReports + 3);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (ticks_ < nodes_[i].reportAt)
            continue;
        nodes_[i].reportAt = ticks_ + reportDelay(random_);
        report(i);
    }
    if (ticks_ % ticksBetweenReports == 0)
        summarizeReports();
}

void CustomerMesh::offer(const Request &request)
{
    const std::size_t entry
            = std::uniform_int_distribution<std::size_t>(0, nodesOfCustomer - 1)(random_);
    const std::size_t index = (request.customer + entry * 7) % nodes_.size();
    const KindOfLoad &kind = kinds_[request.kind];
    if (!decide(nodes_[index], kind, customers_[request.customer].name)) {
        if (request.repeats > 0)
            repeated_.push_back({request.customer, request.kind, request.repeats - 1});
        return;
    }
    const double work = drawWork(kind);
    totals_[request.customer].admittedWork += kind.work;
    queue_.push_back({request.kind, work, index});
    queuedWork_ += work;
}

bool CustomerMesh::decide(Node &node, const KindOfLoad &kind, const std::string &customer)
{
    const double share = rootShareOf(mesh_, kind.name, customer);
    const double draw = std::uniform_real_distribution<double>(0.0, 1.0)(random_);
    const bool isAdmitted
            = mesh_.customerShares.contains(kind.name)
                      ? admitCustomer(node.credits, {kind.name, "front", customer}, share, draw)
                      : admitRoot(node.kindCredits, {kind.name, "front"}, share);
    noteRequest(node.counts, kind.name, customer, isAdmitted, now_);
    RootCount &count = node.roots[kind.name];
    count.service = "front";
    count.importance = kind.importance;
    count.objective = 2.0;
    count.lowerQuartileLatency = 0.4;
    count.offered += 1.0;
    count.admitted += isAdmitted ? 1.0 : 0.0;
    count.inFlight += isAdmitted ? 1.0 : 0.0;
    return isAdmitted;
}

/// One in a hundred requests costs four times as much, as in the search deployment.
double CustomerMesh::drawWork(const KindOfLoad &kind)
{
    const bool isCostly = std::uniform_int_distribution<int>(0, 99)(random_) == 0;
    return kind.work * (isCostly ? 4.0 : 0.97);
}

void CustomerMesh::serve()
{
    double available = slots_ * tickSeconds;
    while (available > 0.0 && !queue_.empty()) {
        Work &first = queue_.front();
        const double part = std::min(available, first.seconds);
        done_[kinds_[first.kind].name] += part;
        available -= part;
        first.seconds -= part;
        queuedWork_ -= part;
        busySeconds_ += part;
        if (first.seconds > 0.0)
            continue;
        nodes_[first.node].roots[kinds_[first.kind].name].inFlight -= 1.0;
        queue_.pop_front();
    }
}

void CustomerMesh::report(std::size_t index)
{
    Node &node = nodes_[index];
    forgetIdle(node.counts, now_);
    MeshReport own;
    own.nodeId = "node-" + std::to_string(index);
    own.roots = node.roots;
    for (auto &[kind, count] : node.roots)
        count.offered = count.admitted = 0.0;
    const bool isRefusing = std::ranges::any_of(
            mesh_.rootShares, [](const auto &share) { return share.second < 1.0; });
    if (hasShares_ && isRefusing)
        own.customers = reportOf(node.counts, now_);
    const std::string bytes = encodeReport(own);
    largestReport_ = std::max(largestReport_, bytes.size());
    auto received = decodeReport(bytes);
    REQUIRE(received.has_value());
    for (const auto &[kind, count] : received.value().roots)
        noteRoots(statistics_, own.nodeId, kind, count, now_);
    noteCustomers(table_, own.nodeId, std::move(received.value().customers), now_);
}

void CustomerMesh::summarizeReports()
{
    noteWork(statistics_, "deep", std::exchange(done_, {}), now_);
    KindDemands kinds = admittedKinds(
            statistics_, {{"deep", {slots_, std::max(0.0, queuedWork_) / slots_}}}, {}, now_);
    MeshSummary summary{"node-0", nodes_.size(), {}};
    for (const auto &[kind, demand] : kinds)
        summary.mesh.rootShares.emplace(kind, demand.admittedShare);
    forgetOld(table_, Milliseconds(1'500), now_);
    CustomerReport total = totalOf(table_);
    for (auto &[kind, customers] : total.offered)
        kinds.at(kind).offered = customers;
    if (!total.offered.empty())
        summary.mesh.customerShares = fairShares(kinds, estimatedSize(total.others));
    const std::string bytes = encodeSummary(summary);
    largestSummary_ = std::max(largestSummary_, bytes.size());
    auto received = decodeSummary(bytes);
    REQUIRE(received.has_value());
    mesh_ = std::move(received.value().mesh);
    history.push_back(mesh_.customerShares);
}

} // namespace chive
