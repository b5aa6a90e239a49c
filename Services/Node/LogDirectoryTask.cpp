#include <LibKernel/Kernel.h>
#include <LibNode/Messages.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <string_view>
#include <utility>

namespace chive {

namespace {

constexpr std::string_view membersStream = "members";
constexpr Milliseconds followInterval{10'000};
constexpr Milliseconds minimumAnnounceRetryInterval{1'000};
constexpr Milliseconds maximumAnnounceRetryInterval{30'000};

/// Keeps the directory of nodes in a stream of the log. Each node appends its link endpoint when it
/// starts.
class LogDirectoryTask final : public Task
{
public:
    explicit LogDirectoryTask(Kernel &kernel)
        : kernel_(kernel)
        , announceToken_(nextToken())
    {
        Bus &bus = kernel_.bus();
        bus.subscribe<AnnounceNode>([this](const AnnounceNode &message) {
            self_ = message.self;
            announce();
        });
        bus.subscribe<AppendedToLog>([this](const auto &message) { handleAppended(message); });
        bus.subscribe<LogRead>([this](const auto &message) { handleRead(message); });
    }

    void start() override {}

private:
    void announce()
    {
        const nlohmann::json record{
                {"node_id", self_.nodeId},
                {"incarnation", self_.incarnation},
                {"links", format(self_.links)},
        };
        kernel_.bus().post(AppendToLog{announceToken_, std::string(membersStream), record.dump()});
    }

    void handleAppended(const AppendedToLog &appended)
    {
        if (appended.token != announceToken_)
            return;
        // Reading only after the append ensures that of two nodes that start at the same time, at
        // least one sees the other.
        if (!std::exchange(isFollowing_, true))
            kernel_.bus().post(FollowStream{std::string(membersStream), 0, followInterval});
        if (appended.offset.has_value())
            return;
        // Announcing the same start twice does no harm.
        announceTimer_
                = kernel_.loop().after(withJitter(announceRetryInterval_), [this] { announce(); });
        announceRetryInterval_ = std::min(announceRetryInterval_ * 2, maximumAnnounceRetryInterval);
    }

    Milliseconds withJitter(Milliseconds delay)
    {
        std::uniform_int_distribution<std::int64_t> spread(delay.count() / 2, delay.count());
        return Milliseconds(spread(random_));
    }

    void handleRead(const LogRead &read)
    {
        if (read.stream != membersStream)
            return;
        for (const LogRecord &record : read.records) {
            const auto json = nlohmann::json::parse(record.payload, nullptr, false);
            if (!json.is_object() || !json.contains("links") || !json["links"].is_string())
                continue;
            const auto links = parseEndpoint(json["links"].get<std::string>());
            if (links.has_value())
                kernel_.bus().post(ContactFound{links.value()});
        }
    }

    Kernel &kernel_;
    Member self_;
    std::mt19937_64 random_{std::random_device{}()};
    Token announceToken_;
    bool isFollowing_ = false;
    Milliseconds announceRetryInterval_ = minimumAnnounceRetryInterval;
    Timer announceTimer_;
};

const Registration<TaskPlugin> registration{TaskPlugin{
        "log-directory",
        [](Kernel &kernel) -> std::unique_ptr<Task> {
            return std::make_unique<LogDirectoryTask>(kernel);
        },
        usesLog,
}};

} // namespace

} // namespace chive
