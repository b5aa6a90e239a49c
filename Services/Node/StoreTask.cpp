#include <LibHttp/HttpClient.h>
#include <LibKernel/Kernel.h>
#include <LibLog/StorePosition.h>
#include <LibLog/StoreProtocol.h>
#include <LibNode/Messages.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <utility>

namespace chive {

namespace {

constexpr std::size_t maximumResponseSize = 8 * 1024 * 1024; // bytes; a page is at most 1 MB
/// How long the store may delay its answer while nothing changes. Each call to the store is
/// billed.
constexpr Milliseconds longestWait{25'000};
/// Time allowed for an answer, in addition to the requested wait.
constexpr Milliseconds answerTimeout{4'000};
/// A read that the store has not answered for this long is sent once more, on another connection.
/// An answer that was lost in an outage never comes, however soon the store is back.
constexpr Milliseconds secondReadDelay{1'000};
constexpr std::size_t maximumOpenCalls = 8; ///< For one topic.
/// Retry delays. Changes missed during an outage must be known within 2 s of the store's return.
constexpr Milliseconds firstRetryDelay{200};
constexpr Milliseconds longestRetryDelay{1'000};
/// Interval between the first reads of the directory, in which nodes that start together find each
/// other.
constexpr Milliseconds directoryReadInterval{1'000};
constexpr std::size_t firstDirectoryReads = 3;
/// Interval between later reads. A new node reads the directory itself, and the nodes listed there
/// learn of it from its membership messages.
constexpr Milliseconds laterDirectoryReadInterval{10'000};

/// The node's only client of the store. For each followed topic it reads the newest values, then
/// waits for changes from that offset on. When the store was restored from an older copy, it reads
/// the newest values of all followed topics again. On request it checks that the waiting read of a
/// topic has missed nothing.
class StoreTask final : public Task
{
public:
    explicit StoreTask(Kernel &kernel)
        : kernel_(kernel)
        , protocol_(storeProtocolOf(kernel.settings()))
        , client_(kernel.loop(), kernel.settings().store, maximumResponseSize)
        , calls_(prometheus::BuildCounter()
                         .Name("chiverouter_store_calls_total")
                         .Help("Calls to the store, by call and outcome.")
                         .Register(kernel.metrics()))
        , reachableGauge_(prometheus::BuildGauge()
                                  .Name("chiverouter_store_reachable")
                                  .Help("1 while the store answers this node.")
                                  .Register(kernel.metrics())
                                  .Add({}))
        , restores_(prometheus::BuildCounter()
                            .Name("chiverouter_store_restores_total")
                            .Help("Restores of the store from an older copy seen by this node.")
                            .Register(kernel.metrics())
                            .Add({}))
        , missedChanges_(prometheus::BuildCounter()
                                 .Name("chiverouter_store_missed_changes_total")
                                 .Help("Changes that the waiting reads of this node missed.")
                                 .Register(kernel.metrics())
                                 .Add({}))
    {
        client_.trustServer();
        client_.detectSilentConnections();
        Bus &bus = kernel.bus();
        bus.subscribe<FollowTopic>([this](const FollowTopic &message) { follow(message.topic); });
        bus.subscribe<CheckStore>([this](const CheckStore &message) { check(message.topic); });
        bus.subscribe<ReadStoreAgain>(
                [this](const ReadStoreAgain &message) { readAgain(message.topic); });
        bus.subscribe<PutInStore>([this](const PutInStore &message) { put(message); });
        bus.subscribe<MembersChanged>([this](const MembersChanged &changed) {
            knowsOthers_ = changed.members->size() > 1;
        });
        kernel.addStatus("store", [this] {
            return nlohmann::json{{"reachable", isReachable_}, {"topics", topics_.size()}};
        });
    }

    void start() override { client_.countIn(kernel_.descriptors().platform); }

private:
    struct FollowedTopic
    {
        StorePosition position;
        bool isLoading = false; ///< The newest values are being read, or will be after a delay.
        /// The open calls by number. Answers to others, which were abandoned, are ignored.
        std::map<std::uint64_t, HttpClient::RequestId> calls;
        std::vector<StoreEntry> pageEntries;
        std::size_t reads = 0; ///< Successful reads since the start.
        Milliseconds retryDelay = firstRetryDelay;
        Timer timer;
    };

    /// Why changes are read.
    enum class ChangesRead : std::uint8_t {
        Waiting, ///< To hear of the next change.
        Check,   ///< To see whether the waiting read has missed one.
    };

    void follow(StoreTopic topic)
    {
        if (topics_.try_emplace(topic).second)
            loadNewest(topic, {});
    }

    /// Sends a call for the topic. Its answer is ignored once the call was abandoned.
    template<typename Handler>
    void call(StoreTopic topic, const HttpRequest &request, Milliseconds timeout, Handler handle)
    {
        const std::uint64_t number = ++lastCall_;
        const HttpClient::RequestId id
                = client_.send(request, timeout,
                               [this, topic, number, handle](const HttpClient::Outcome &outcome) {
                                   if (topics_.at(topic).calls.erase(number) == 0)
                                       return;
                                   handle(outcome);
                                   reloadStaleTopics();
                               });
        topics_.at(topic).calls.emplace(number, id);
    }

    void abandonCalls(StoreTopic topic)
    {
        for (const auto &[number, id] : std::exchange(topics_.at(topic).calls, {}))
            client_.cancel(id);
    }

    /// Reads a page of the newest values, with a second call while the first one has no answer.
    void loadNewest(StoreTopic topic, const std::string &afterKey)
    {
        FollowedTopic &followed = topics_.at(topic);
        followed.isLoading = true;
        followed.timer = kernel_.loop().after(
                secondReadDelay, [this, topic, afterKey] { loadNewest(topic, afterKey); });
        if (followed.calls.size() >= maximumOpenCalls)
            return;
        call(topic, protocol_.newestRequest(topic, afterKey), answerTimeout,
             [this, topic, afterKey](const HttpClient::Outcome &outcome) {
                 handleNewest(topic, afterKey, outcome);
             });
    }

    void reload(StoreTopic topic)
    {
        topics_.at(topic).pageEntries.clear();
        abandonCalls(topic);
        loadNewest(topic, {});
    }

    /// Reads the topics again whose position the store's restore has made invalid. Their long polls
    /// would wait at offsets that now belong to other records.
    void reloadStaleTopics()
    {
        for (auto &[topic, followed] : topics_) {
            if (!followed.isLoading && needsReload(followed.position, era_))
                reload(topic);
        }
    }

    /// Another node has a change that this node's waiting read did not report.
    void readAgain(StoreTopic topic)
    {
        const auto found = topics_.find(topic);
        if (found == topics_.end() || found->second.isLoading)
            return;
        missedChanges_.Increment();
        LOG(WARNING) << "task=store event=missed-change found-by=peer from="
                     << found->second.position.nextOffset;
        reload(topic);
        restartWaitingReads();
    }

    /// After one waiting read lost its answer, as those of the other topics may have lost theirs.
    void restartWaitingReads()
    {
        for (auto &[topic, followed] : topics_) {
            if (followed.isLoading || followed.calls.empty())
                continue;
            abandonCalls(topic);
            awaitChanges(topic);
        }
    }

    void handleNewest(StoreTopic topic, const std::string &afterKey,
                      const HttpClient::Outcome &outcome)
    {
        FollowedTopic &followed = topics_.at(topic);
        auto page = readOutcome("newest", outcome, [&](const HttpResponse &response) {
            return protocol_.readNewest(response);
        });
        if (!page.has_value()) {
            if (!followed.calls.empty())
                return;
            followed.pageEntries.clear();
            retryLater(topic, [this, topic] { loadNewest(topic, {}); });
            return;
        }
        abandonCalls(topic);
        StorePage &read = page.value();
        // Changes made while the pages are read start at the end offset of the first page.
        if (afterKey.empty())
            followed.position = positionAt(era_, read.end);
        if (needsReload(followed.position, era_)) {
            followed.pageEntries.clear();
            loadNewest(topic, {});
            return;
        }
        std::move(read.entries.begin(), read.entries.end(),
                  std::back_inserter(followed.pageEntries));
        if (read.nextAfter) {
            loadNewest(topic, *read.nextAfter);
            return;
        }
        followed.isLoading = false;
        followed.timer.cancel();
        kernel_.bus().post(
                StoreRead{topic, std::exchange(followed.pageEntries, {}), StoreReadKind::Whole});
        kernel_.bus().post(StoreConfirmed{topic});
        continueFollowing(topic);
    }

    void awaitChanges(StoreTopic topic) { readChanges(topic, longestWait, ChangesRead::Waiting); }

    void check(StoreTopic topic)
    {
        const auto found = topics_.find(topic);
        if (found == topics_.end() || found->second.isLoading
            || found->second.calls.size() >= maximumOpenCalls)
            return;
        readChanges(topic, Milliseconds(0), ChangesRead::Check);
    }

    void readChanges(StoreTopic topic, Milliseconds wait, ChangesRead kind)
    {
        const std::uint64_t from = topics_.at(topic).position.nextOffset;
        call(topic, protocol_.changesRequest(topic, from, wait), wait + answerTimeout,
             [this, topic, from, kind](const HttpClient::Outcome &outcome) {
                 handleChanges(topic, from, kind, outcome);
             });
    }

    void handleChanges(StoreTopic topic, std::uint64_t from, ChangesRead kind,
                       const HttpClient::Outcome &outcome)
    {
        FollowedTopic &followed = topics_.at(topic);
        const bool isCheck = kind == ChangesRead::Check;
        auto changes = readOutcome(isCheck ? "check" : "changes", outcome,
                                   [&](const HttpResponse &response) {
                                       return protocol_.readChanges(response, from);
                                   });
        if (!changes.has_value()) {
            if (isCheck)
                return;
            // Reads the newest values, as the store may no longer retain the offset.
            followed.isLoading = true;
            abandonCalls(topic);
            retryLater(topic, [this, topic] { loadNewest(topic, {}); });
            return;
        }
        if (changes.value().isTruncated || needsReload(followed.position, era_)) {
            reload(topic);
            return;
        }
        const std::size_t count = changes.value().entries.size();
        if (isCheck && count == 0) {
            kernel_.bus().post(StoreConfirmed{topic});
            return;
        }
        abandonCalls(topic);
        followed.position.nextOffset = from + count;
        if (count > 0) {
            const auto reported = isCheck ? StoreReadKind::Missed : StoreReadKind::Change;
            kernel_.bus().post(StoreRead{topic, std::move(changes.value().entries), reported});
        }
        kernel_.bus().post(StoreConfirmed{topic});
        if (isCheck) {
            missedChanges_.Increment(static_cast<double>(count));
            LOG(WARNING) << "task=store event=missed-change found-by=check from=" << from
                         << " changes=" << count;
            restartWaitingReads();
        }
        continueFollowing(topic);
    }

    /// Waits for the next changes, for the directory after a pause. Nodes that start together write
    /// one entry each. Without the pause each node would get one answer per entry, so that the
    /// number of calls would grow with the square of the number of nodes.
    void continueFollowing(StoreTopic topic)
    {
        if (topic != StoreTopic::Directory) {
            awaitChanges(topic);
            return;
        }
        FollowedTopic &followed = topics_.at(topic);
        const bool isEarly = ++followed.reads <= firstDirectoryReads || !knowsOthers_;
        const Milliseconds longest = isEarly ? directoryReadInterval : laterDirectoryReadInterval;
        std::uniform_int_distribution<std::int64_t> spread(longest.count() / 2, longest.count());
        followed.timer = kernel_.loop().after(Milliseconds(spread(random_)),
                                              [this, topic] { awaitChanges(topic); });
    }

    void put(const PutInStore &message)
    {
        client_.send(protocol_.putRequest(message.topic, message.key, message.value), answerTimeout,
                     [this, token = message.token](const HttpClient::Outcome &outcome) {
                         const auto written
                                 = readOutcome("put", outcome, [&](const HttpResponse &response) {
                                       return protocol_.readPut(response);
                                   });
                         kernel_.bus().post(StorePutEnded{token, written.has_value()});
                         reloadStaleTopics();
                     });
    }

    /// Returns the value in the response, or the error of the connection or the store. An answer
    /// from before the last restore is an error. Updates the call counter, the reachability and the
    /// era.
    template<typename Read>
    auto readOutcome(std::string_view call, const HttpClient::Outcome &outcome, Read read)
            -> decltype(read(std::declval<const HttpResponse &>()))
    {
        using Value = decltype(read(std::declval<const HttpResponse &>()));
        Value value = outcome.has_value()
                              ? read(outcome.value())
                              : Value(Error{Error::Kind::Unknown, outcome.error().message});
        calls_.Add({{"call", std::string(call)}, {"outcome", value.has_value() ? "ok" : "error"}})
                .Increment();
        setReachable(value.has_value(), value.has_value() ? "" : value.error().message);
        if (outcome.has_value() && isLate(outcome.value()))
            return Error{Error::Kind::Unknown, "the answer is older than the store's last restore"};
        return value;
    }

    /// Whether the response was made before the store's last restore. Updates the era.
    bool isLate(const HttpResponse &response)
    {
        const EraOrder order = noteEra(era_, protocol_.readEra(response));
        if (order == EraOrder::Restored) {
            LOG(WARNING) << "task=store event=restored era=" << *era_;
            restores_.Increment();
        }
        return order == EraOrder::Late;
    }

    void setReachable(bool isReachable, std::string_view cause)
    {
        if (isReachable == isReachable_)
            return;
        isReachable_ = isReachable;
        reachableGauge_.Set(isReachable ? 1.0 : 0.0);
        if (isReachable)
            LOG(INFO) << "task=store event=reachable";
        else
            LOG(WARNING) << "task=store event=unreachable error=\"" << cause << '"';
    }

    void retryLater(StoreTopic topic, std::function<void()> retry)
    {
        FollowedTopic &followed = topics_.at(topic);
        std::uniform_int_distribution<std::int64_t> spread(followed.retryDelay.count() / 2,
                                                           followed.retryDelay.count());
        followed.timer = kernel_.loop().after(Milliseconds(spread(random_)), std::move(retry));
        followed.retryDelay = isReachable_ ? firstRetryDelay
                                           : std::min(followed.retryDelay * 2, longestRetryDelay);
    }

    Kernel &kernel_;
    const StoreProtocol &protocol_;
    HttpClient client_;
    prometheus::Family<prometheus::Counter> &calls_;
    prometheus::Gauge &reachableGauge_;
    prometheus::Counter &restores_;
    prometheus::Counter &missedChanges_;
    StoreEra era_; ///< The newest one seen in any answer.
    std::map<StoreTopic, FollowedTopic> topics_;
    std::uint64_t lastCall_ = 0; ///< Number of the newest call.
    bool isReachable_ = false;
    bool knowsOthers_ = false; ///< Another member is known.
    std::mt19937_64 random_{std::random_device{}()};
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "store",
        [](Kernel &kernel) -> std::unique_ptr<Task> { return std::make_unique<StoreTask>(kernel); },
        usesStore,
}};

} // namespace

} // namespace chive
