#include <LibKernel/Kernel.h>
#include <LibLog/LogClient.h>
#include <LibNode/Messages.h>
#include <Node/StreamPoller.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <optional>

namespace chive {

namespace {

constexpr Milliseconds appendTimeout{5'000};
constexpr std::size_t maximumAppendsInFlight = 64;
const prometheus::Histogram::BucketBoundaries appendSecondsBuckets{0.001, 0.003, 0.01, 0.03, 0.1,
                                                                   0.3,   1,     3,    10};

std::string_view outcomeLabel(const AppendOutcome &outcome)
{
    if (outcome.offset.has_value())
        return "ok";
    if (outcome.isRateLimited)
        return "rate-limited";
    switch (outcome.offset.error().kind) {
    case Error::Kind::Unavailable:
        return "unavailable";
    case Error::Kind::Unknown:
        return "unknown";
    case Error::Kind::Invalid:
        break;
    }
    return "invalid";
}

/// Connects the node to the platform's log: sends appends and polls each followed stream.
class LogTask final : public Task
{
public:
    explicit LogTask(Kernel &kernel)
        : kernel_(kernel)
        , client_(kernel.loop(), kernel.settings().log)
        , requests_(prometheus::BuildCounter()
                            .Name("chiverouter_log_requests_total")
                            .Help("Requests to the log service by operation and outcome")
                            .Register(kernel.metrics()))
        , appendSeconds_(prometheus::BuildHistogram()
                                 .Name("chiverouter_log_append_seconds")
                                 .Help("Time to the answer of an append")
                                 .Register(kernel.metrics())
                                 .Add({}, appendSecondsBuckets))
    {
        kernel.bus().subscribe<AppendToLog>(
                [this](const AppendToLog &message) { append(message); });
        kernel.bus().subscribe<FollowStream>(
                [this](const FollowStream &message) { follow(message); });
        kernel.bus().subscribe<PaceStream>([this](const PaceStream &message) {
            const auto poller = pollers_.find(message.stream);
            if (poller != pollers_.end())
                poller->second->setInterval(message.interval);
        });
        kernel.addStatus("log", [this] { return status(); });
    }

    void start() override { client_.countIn(kernel_.descriptors().platform); }

private:
    void append(const AppendToLog &message)
    {
        if (appendsInFlight_ >= maximumAppendsInFlight) {
            const Error error{Error::Kind::Unavailable, "log: too many appends in flight"};
            finishAppend(message, {error});
            return;
        }
        ++appendsInFlight_;
        const auto callback
                = [this, message, sentAt = kernel_.clock().now()](const AppendOutcome &outcome) {
                      --appendsInFlight_;
                      const auto elapsed = kernel_.clock().now() - sentAt;
                      appendSeconds_.Observe(std::chrono::duration<double>(elapsed).count());
                      handleAppendOutcome(message, outcome);
                  };
        client_.append(message.stream, message.payload, appendTimeout, callback);
    }

    void handleAppendOutcome(const AppendToLog &message, const AppendOutcome &outcome)
    {
        const bool isUnavailable = !outcome.offset.has_value() && !outcome.isRateLimited
                                   && outcome.offset.error().kind != Error::Kind::Invalid;
        setReachable(!isUnavailable);
        const bool mayBeWritten
                = outcome.offset.has_value() || outcome.offset.error().kind == Error::Kind::Unknown;
        const auto poller = pollers_.find(message.stream);
        if (mayBeWritten && poller != pollers_.end())
            poller->second->readNow();
        finishAppend(message, outcome);
    }

    void finishAppend(const AppendToLog &message, const AppendOutcome &outcome)
    {
        count("append", outcomeLabel(outcome));
        kernel_.bus().post(AppendedToLog{message.token, outcome.offset, outcome.isRateLimited});
    }

    void follow(const FollowStream &message)
    {
        std::unique_ptr<StreamPoller> &poller = pollers_[message.stream];
        if (poller == nullptr) {
            const auto listener = [this, stream = message.stream](const Result<LogPage> &page) {
                handlePage(stream, page);
            };
            poller = std::make_unique<StreamPoller>(kernel_.loop(), client_, message.stream,
                                                    listener);
        }
        poller->follow(message.from, message.interval);
    }

    void handlePage(const std::string &stream, const Result<LogPage> &page)
    {
        setReachable(page.has_value());
        if (!page.has_value()) {
            const bool isInvalid = page.error().kind == Error::Kind::Invalid;
            count("read", isInvalid ? "invalid" : "unavailable");
            if (isInvalid)
                LOG(ERROR) << "task=log stream=" << stream << " error=\"" << page.error().message
                           << '"';
            return;
        }
        count("read", "ok");
        const LogPage &read = page.value();
        kernel_.bus().post(LogRead{stream, read.first, read.end, read.records});
    }

    void setReachable(bool isReachable)
    {
        if (isReachable_ == isReachable)
            return;
        isReachable_ = isReachable;
        LOG(INFO) << "task=log reachable=" << isReachable;
        kernel_.bus().post(LogStateChanged{isReachable});
    }

    void count(std::string_view operation, std::string_view outcome)
    {
        requests_.Add({{"operation", std::string(operation)}, {"outcome", std::string(outcome)}})
                .Increment();
    }

    [[nodiscard]] nlohmann::json status() const
    {
        nlohmann::json streams = nlohmann::json::object();
        for (const auto &[stream, poller] : pollers_)
            streams[stream] = {{"next_offset", poller->nextOffset()}};
        return {{"reachable", isReachable_.value_or(false)},
                {"appends_out", appendsInFlight_},
                {"streams", std::move(streams)}};
    }

    Kernel &kernel_;
    LogClient client_;
    std::map<std::string, std::unique_ptr<StreamPoller>, std::less<>> pollers_;
    std::size_t appendsInFlight_ = 0;
    std::optional<bool> isReachable_; ///< Empty until the first response or failure.

    prometheus::Family<prometheus::Counter> &requests_;
    prometheus::Histogram &appendSeconds_;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "log",
        [](Kernel &kernel) -> std::unique_ptr<Task> { return std::make_unique<LogTask>(kernel); },
        usesLog,
}};

} // namespace

} // namespace chive
