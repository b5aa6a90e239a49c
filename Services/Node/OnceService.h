#pragma once

#include <LibKernel/EventLoop.h>
#include <LibNode/Messages.h>
#include <LibOnce/AppendPacer.h>
#include <LibOnce/PermissionArbiter.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace prometheus {
class Gauge;
class Histogram;
template<typename T>
class Family;
class Counter;
} // namespace prometheus

namespace chive {

class Kernel;

/// The metrics of the once task, shared by its services.
struct OnceMetrics
{
    prometheus::Family<prometheus::Counter> &decisions;
    prometheus::Family<prometheus::Histogram> &waitSeconds;
    prometheus::Family<prometheus::Gauge> &keys;
    prometheus::Family<prometheus::Gauge> &lag;
    prometheus::Family<prometheus::Gauge> &complete;
};

/// Transfers records between the log and the arbiter of one service, and writes its snapshots.
class OnceService
{
public:
    OnceService(Kernel &kernel, OnceMetrics &metrics, std::string service, std::uint64_t holder);

    void start();
    void handleAsk(const AskPermission &ask);
    void handleEnded(const GrantedCallEnded &ended);
    void handleRead(const LogRead &read);
    /// Returns false if the append does not belong to this service.
    bool handleAppended(const AppendedToLog &appended);
    void handleLogState(bool isReachable);

    /// Sets this node's position among the live nodes of the service, from 0. The first node writes
    /// snapshots; each later one does so after a longer delay if none was written.
    void setRank(std::size_t rank) { rank_ = rank; }

    [[nodiscard]] std::string_view stream() const { return stream_; }

    /// Count of appends to finish before the process exits; 0 while the log is unreachable.
    [[nodiscard]] std::size_t pendingAppends() const;

    [[nodiscard]] nlohmann::json status() const;

private:
    void tick();
    void flush();
    void scheduleFlush();
    void deliverDecisions();
    void countDecision(const PermissionDecision &decision);
    void writeSnapshotIfDue(TimePoint now);
    void sendSnapshotPart();
    void handleSnapshotAppended(bool isWritten);
    void follow(std::uint64_t from);
    [[nodiscard]] double jitter();

    Kernel &kernel_;
    OnceMetrics &metrics_;
    std::string service_;
    std::string stream_;
    PermissionArbiter arbiter_;
    AppendPacer pacer_;
    bool isLogReachable_ = true;
    bool isFlushPosted_ = false;
    std::map<Token, OnceBatch> batchesInFlight_; ///< Appends without an outcome yet.
    std::map<Token, TimePoint> askedAt_;
    std::map<std::string, std::uint64_t, std::less<>> decisions_; ///< By outcome.

    std::size_t rank_ = 0;
    TimePoint lastSnapshotAt_;
    std::optional<TimePoint> snapshotMissingSince_;
    std::vector<std::string> snapshotParts_; ///< Still to be written, the next one last.
    Token snapshotAppend_ = 0;               ///< The append of a part; 0 if none is in flight.

    Timer tickTimer_;
    std::mt19937_64 random_;
};

} // namespace chive
