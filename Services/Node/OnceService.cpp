#include <Node/OnceService.h>

#include <LibKernel/Kernel.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace chive {

namespace {

constexpr Milliseconds tickInterval{10};
constexpr Milliseconds pollInterval{250};
constexpr Milliseconds snapshotInterval{120'000};
constexpr Milliseconds snapshotIntervalPerPart{2'000};
/// The second node by rank waits this long for the first one to write a snapshot, the third twice
/// as long.
constexpr Milliseconds snapshotDelayPerRank{5'000};
const prometheus::Histogram::BucketBoundaries waitSecondsBuckets{0.01, 0.03, 0.1, 0.3, 1, 3, 10};

/// Returns a token with bit 62 set and a counter below it, unlike the tokens of other tasks'
/// appends.
Token nextAppendToken()
{
    static Token next = (Token(1) << 62) + 1;
    return next++;
}

AppendPacer::Outcome pacerOutcome(const AppendedToLog &appended)
{
    if (appended.offset.has_value())
        return AppendPacer::Outcome::Written;
    if (appended.isRateLimited)
        return AppendPacer::Outcome::RateLimited;
    return appended.offset.error().kind == Error::Kind::Unknown ? AppendPacer::Outcome::Unknown
                                                                : AppendPacer::Outcome::Unavailable;
}

AppendEffect effectOf(const AppendedToLog &appended)
{
    if (appended.offset.has_value())
        return AppendEffect::Written;
    return appended.offset.error().kind == Error::Kind::Unknown ? AppendEffect::Unknown
                                                                : AppendEffect::None;
}

} // namespace

OnceService::OnceService(Kernel &kernel, OnceMetrics &metrics, std::string service,
                         std::uint64_t holder)
    : kernel_(kernel)
    , metrics_(metrics)
    , service_(std::move(service))
    , stream_("once-" + service_)
    , arbiter_([holder] {
        ArbiterOptions options;
        options.holder = holder;
        return options;
    }())
    , random_(std::random_device{}())
{}

void OnceService::start()
{
    lastSnapshotAt_ = kernel_.clock().now();
    follow(0);
    tickTimer_ = kernel_.loop().every(tickInterval, [this] { tick(); });
}

void OnceService::follow(std::uint64_t from)
{
    kernel_.bus().post(FollowStream{stream_, from, pollInterval});
}

double OnceService::jitter()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

void OnceService::handleAsk(const AskPermission &ask)
{
    const TimePoint now = kernel_.clock().now();
    askedAt_[ask.token] = now;
    arbiter_.handleRequest({ask.token, ask.key, ask.fingerprint, ask.deadline}, now);
    deliverDecisions();
    scheduleFlush();
}

void OnceService::handleEnded(const GrantedCallEnded &ended)
{
    arbiter_.handleEnded(ended.token, ended.result);
    scheduleFlush();
}

void OnceService::handleRead(const LogRead &read)
{
    const TimePoint now = kernel_.clock().now();
    arbiter_.handlePage({read.firstRetained, read.end, read.records}, now);
    if (const auto from = arbiter_.takeSeekOffset())
        follow(*from);
    const StreamFold &fold = arbiter_.fold();
    metrics_.keys.Add({{"service", service_}}).Set(static_cast<double>(fold.table().size()));
    metrics_.lag.Add({{"service", service_}}).Set(static_cast<double>(fold.lag()));
    metrics_.complete.Add({{"service", service_}}).Set(fold.isComplete() ? 1 : 0);
    deliverDecisions();
    scheduleFlush();
    writeSnapshotIfDue(now);
}

void OnceService::tick()
{
    arbiter_.handleTimeouts(kernel_.clock().now());
    deliverDecisions();
    flush();
}

void OnceService::scheduleFlush()
{
    if (isFlushPosted_)
        return;
    isFlushPosted_ = true;
    kernel_.loop().post([this] {
        isFlushPosted_ = false;
        flush();
    });
}

void OnceService::flush()
{
    const TimePoint now = kernel_.clock().now();
    if (!pacer_.maySend(now))
        return;
    OnceBatch batch = arbiter_.takeBatch();
    if (batch.isEmpty())
        return;
    const Token token = nextAppendToken();
    kernel_.bus().post(AppendToLog{token, stream_, encodeOnceRecord(batch)});
    pacer_.handleSent(now);
    batchesInFlight_.emplace(token, std::move(batch));
}

bool OnceService::handleAppended(const AppendedToLog &appended)
{
    if (appended.token == snapshotAppend_ && snapshotAppend_ != 0) {
        handleSnapshotAppended(appended.offset.has_value());
        return true;
    }
    const auto found = batchesInFlight_.find(appended.token);
    if (found == batchesInFlight_.end())
        return false;
    const OnceBatch batch = std::move(found->second);
    batchesInFlight_.erase(found);
    const TimePoint now = kernel_.clock().now();
    pacer_.handleOutcome(pacerOutcome(appended), now, jitter());
    arbiter_.handleAppended(batch, effectOf(appended), now);
    deliverDecisions();
    return true;
}

void OnceService::handleLogState(bool isReachable)
{
    isLogReachable_ = isReachable;
    if (isReachable)
        pacer_.handleReachable(kernel_.clock().now(), jitter());
}

void OnceService::deliverDecisions()
{
    for (PermissionDecision &decision : arbiter_.takeDecisions()) {
        countDecision(decision);
        kernel_.bus().post(
                PermissionDecided{decision.token, decision.isGranted, std::move(decision.result)});
    }
}

void OnceService::countDecision(const PermissionDecision &decision)
{
    std::string outcome = "granted";
    if (!decision.isGranted && decision.result.has_value())
        outcome = "first-answer";
    else if (!decision.isGranted)
        outcome = nameOf(decision.result.error().reason);
    ++decisions_[outcome];
    metrics_.decisions.Add({{"service", service_}, {"outcome", outcome}}).Increment();
    const auto asked = askedAt_.find(decision.token);
    if (asked == askedAt_.end())
        return;
    const auto waited = kernel_.clock().now() - asked->second;
    metrics_.waitSeconds.Add({{"service", service_}}, waitSecondsBuckets)
            .Observe(std::chrono::duration<double>(waited).count());
    askedAt_.erase(asked);
}

void OnceService::writeSnapshotIfDue(TimePoint now)
{
    const StreamFold &fold = arbiter_.fold();
    if (fold.batchesSinceSnapshot() == 0)
        lastSnapshotAt_ = now;
    if (!fold.isSnapshotMissing())
        snapshotMissingSince_.reset();
    else if (!snapshotMissingSince_.has_value())
        snapshotMissingSince_ = now;
    if (!fold.isComplete() || fold.lag() != 0 || !snapshotParts_.empty() || snapshotAppend_ != 0)
        return;

    const Milliseconds rankDelay = snapshotDelayPerRank * static_cast<Milliseconds::rep>(rank_);
    const bool isMissing
            = snapshotMissingSince_.has_value() && now - *snapshotMissingSince_ >= rankDelay;
    constexpr std::size_t keysPerPart = 256;
    const auto parts = static_cast<Milliseconds::rep>(fold.table().size() / keysPerPart + 1);
    const Milliseconds interval
            = std::max<Milliseconds>(snapshotInterval, snapshotIntervalPerPart * parts);
    const bool isDue = now - lastSnapshotAt_ >= interval + rankDelay;
    if (!isMissing && !isDue)
        return;
    lastSnapshotAt_ = now;
    snapshotMissingSince_ = now;
    const auto snapshot = makeSnapshot(fold.table(), random_(), fold.nextOffset(), now);
    for (auto part = snapshot.rbegin(); part != snapshot.rend(); ++part)
        snapshotParts_.push_back(encodeOnceRecord(*part));
    sendSnapshotPart();
}

void OnceService::sendSnapshotPart()
{
    if (snapshotParts_.empty())
        return;
    snapshotAppend_ = nextAppendToken();
    kernel_.bus().post(AppendToLog{snapshotAppend_, stream_, snapshotParts_.back()});
}

void OnceService::handleSnapshotAppended(bool isWritten)
{
    snapshotAppend_ = 0;
    if (!isWritten) {
        // Gives up this snapshot. A new one is due soon, and the parts already written do no harm.
        snapshotParts_.clear();
        return;
    }
    snapshotParts_.pop_back();
    sendSnapshotPart();
}

std::size_t OnceService::pendingAppends() const
{
    if (!isLogReachable_)
        return 0;
    return batchesInFlight_.size() + (arbiter_.hasOutgoing() ? 1 : 0);
}

nlohmann::json OnceService::status() const
{
    const StreamFold &fold = arbiter_.fold();
    return {{"complete", fold.isComplete()},
            {"keys", fold.table().size()},
            {"waiting", arbiter_.waiting()},
            {"running", arbiter_.running()},
            {"next_offset", fold.nextOffset()},
            {"lag_records", fold.lag()},
            {"unreadable_records", fold.unreadableRecords()},
            {"snapshot_missing", fold.isSnapshotMissing()},
            {"append_interval_ms", pacer_.interval().count()},
            {"appends_out", pacer_.inFlight()},
            {"decisions", decisions_}};
}

} // namespace chive
